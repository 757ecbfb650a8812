#pragma once

#include "placement/ledger.h"
#include "workflow/dispatch_cost.h"
#include "workflow/worker_view.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <tuple>
#include <vector>

namespace yuccawheel::workflow
{

/// Usable workers by decreasing free CPU, within one dispatch. A step examines only workers that may have capacity for
/// it, so that the cost of a dispatch does not grow with the product of workers and waiting steps.
/// Load pattern: many waiting steps and many workers, nearly all of them full.
class CapacityIndex
{
public:
    /// Returns resources that count as free on a worker beyond what is unreserved.
    using ExtraCapacity = std::function<placement::Resources(WorkerNumber)>;

    CapacityIndex(const WorkerViews &workers,
                  const placement::Ledger &ledger,
                  DispatchCost &cost,
                  base::TimePoint now,
                  const ExtraCapacity &extraCapacity)
    {
        cost.workersExamined += workers.size();
        entries_.reserve(workers.size());
        for (const auto &[number, worker] : workers) {
            if (worker.isUsable(now)) {
                entries_.push_back({ledger.free(number).milliCpu + extraCapacity(number).milliCpu, number});
            }
        }
        std::sort(entries_.begin(), entries_.end(), [](const Entry &left, const Entry &right) {
            return std::tuple(right.milliCpu, left.worker) < std::tuple(left.milliCpu, right.worker);
        });
    }

    /// Calls `visit(WorkerNumber)` for the workers that had at least this much free CPU when the dispatch began, those
    /// with the most first, until it returns false. Free capacity only shrinks within a dispatch, so the visitor has to
    /// check what is left.
    template <typename Visit>
    void visitWithFree(std::int64_t milliCpu, Visit visit) const
    {
        for (const Entry &entry : entries_) {
            if (entry.milliCpu < milliCpu || !visit(entry.worker)) {
                return;
            }
        }
    }

private:
    struct Entry {
        std::int64_t milliCpu = 0;
        WorkerNumber worker = 0;
    };
    std::vector<Entry> entries_;
};

} // namespace yuccawheel::workflow
