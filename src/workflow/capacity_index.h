#pragma once

#include "workflow/dispatch_cost.h"
#include "workflow/worker_view.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <tuple>
#include <utility>
#include <vector>

namespace yuccawheel::workflow
{

/// Usable workers by decreasing free CPU, as of the first use of the index. A step examines only workers that may have
/// capacity for it, so that the cost of a dispatch does not grow with the product of workers and waiting steps.
/// Load pattern: many waiting steps and many workers, nearly all of them full.
class CapacityIndex
{
public:
    /// Returns the CPU that counts as free on a worker.
    using FreeMilliCpu = std::function<std::int64_t(WorkerNumber)>;

    CapacityIndex(const WorkerViews &workers, DispatchCost &cost, base::TimePoint now, FreeMilliCpu freeMilliCpu)
        : workers_(workers)
        , cost_(cost)
        , now_(now)
        , freeMilliCpu_(std::move(freeMilliCpu))
    {
    }

    /// Calls `visit(WorkerNumber)` for the workers that had at least this much free CPU when the index was made, those
    /// with the most first, until it returns false. The visitor has to check what is left.
    template <typename Visit>
    void visitWithFree(std::int64_t milliCpu, Visit visit) const
    {
        build();
        for (const Entry &entry : entries_) {
            if (entry.milliCpu < milliCpu || !visit(entry.worker)) {
                return;
            }
        }
    }

    /// Makes the index now, if it hasn't been used yet. The function for the free CPU is not called later.
    void build() const
    {
        const FreeMilliCpu freeMilliCpu = std::exchange(freeMilliCpu_, nullptr);
        if (!freeMilliCpu) {
            return;
        }
        cost_.workersIndexed += workers_.size();
        entries_.reserve(workers_.size());
        for (const auto &[number, worker] : workers_) {
            if (worker.isUsable(now_)) {
                entries_.push_back({freeMilliCpu(number), number});
            }
        }
        std::sort(entries_.begin(), entries_.end(), [](const Entry &left, const Entry &right) {
            return std::tuple(right.milliCpu, left.worker) < std::tuple(left.milliCpu, right.worker);
        });
    }

private:
    struct Entry {
        std::int64_t milliCpu = 0;
        WorkerNumber worker = 0;
    };

    const WorkerViews &workers_;
    DispatchCost &cost_;
    base::TimePoint now_;
    // Many dispatches place nothing but tasks whose workers are known, so the index is made when it is first used.
    mutable FreeMilliCpu freeMilliCpu_; ///< Null once the index is made.
    mutable std::vector<Entry> entries_;
};

} // namespace yuccawheel::workflow
