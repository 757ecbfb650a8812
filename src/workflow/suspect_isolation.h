#pragma once

#include "base/clock.h"
#include "workflow/crash_count.h"
#include "workflow/job.h"
#include "workflow/worker.h"

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace yuccawheel::workflow
{

/// Keeps tasks that may crash their worker apart, so that a crash costs little and shows which one is to blame.
/// A unit is a task, or a gang: its members end together anyway and may share workers.
class SuspectIsolation
{
public:
    /// Adds a task. The workers that are set aside for its unit are so no longer if it is under high suspicion.
    void add(WorkerNumber worker, const TaskRef &unit, Suspicion suspicion)
    {
        Tenants &tenants = workers_[worker];
        ++tenants.tasksByUnit[unit];
        ++tenants.tasks;
        if (suspicion != Suspicion::None) {
            ++tenants.suspects;
            ++suspects_;
        }
        if (suspicion == Suspicion::High) {
            ++tenants.isolated;
            std::erase_if(waiting_, [&unit](const Waiting &waiting) { return waiting.unit == unit; });
            // It keeps others off by itself from now on, and other suspects may be waiting for a worker.
            std::erase_if(setAside_, [&unit](const auto &item) { return item.second.unit == unit; });
        }
    }
    /// Undoes an `add` with the same arguments. A worker that becomes empty so stays set aside for a moment for
    /// whichever suspect takes it first, if any waits: tasks of others would fill it before, and it would have to drain
    /// again.
    void remove(WorkerNumber worker, const TaskRef &unit, Suspicion suspicion);
    /// Keeps a worker free of new tasks of other units until `until`, so that it becomes empty.
    void setAside(WorkerNumber worker, const TaskRef &unit, base::TimePoint until)
    {
        setAside_[worker] = {unit, until};
    }
    /// Returns whether the worker is set aside for a particular unit.
    bool isSetAside(WorkerNumber worker) const
    {
        const auto found = setAside_.find(worker);
        return found != setAside_.end() && found->second.unit;
    }
    bool isSetAsideFor(WorkerNumber worker, const TaskRef &unit) const
    {
        const auto found = setAside_.find(worker);
        return found != setAside_.end() && found->second.unit == unit;
    }
    /// Returns whether the worker is kept for one unit, or for any that has to run alone.
    bool isIsolated(WorkerNumber worker) const
    {
        const auto found = workers_.find(worker);
        return setAside_.contains(worker) || (found != workers_.end() && found->second.isolated > 0);
    }
    /// Calls `visit` with each worker that is kept for one unit, set aside or running its tasks, and returns how many
    /// these are.
    template <typename Visit>
    std::size_t forEachIsolated(Visit visit) const
    {
        std::size_t count = setAside_.size();
        for (const auto &[worker, aside] : setAside_) {
            visit(worker);
        }
        for (const auto &[worker, tenants] : workers_) {
            if (tenants.isolated > 0 && !setAside_.contains(worker)) {
                visit(worker);
                ++count;
            }
        }
        return count;
    }
    /// Records that a unit waits for workers of its own, for as long as this is called again before `until`. Returns
    /// whether no other that still waits has waited longer.
    bool recordWaiting(const TaskRef &unit, base::TimePoint until);
    /// Records that the limit leaves no room for the unit that has waited longest.
    void recordTooWide()
    {
        waiting_.front().isTooWide = true;
    }
    /// Returns whether the unit that has waited longest needs more workers than others may have.
    bool isFirstTooWide() const
    {
        return !waiting_.empty() && waiting_.front().isTooWide;
    }
    /// Keeps the workers that are set aside for this unit so until `until`, except those that can't run it any more.
    /// Returns whether there are any and all can.
    template <typename CanRun>
    bool extendSetAside(const TaskRef &unit, base::TimePoint until, CanRun canRun)
    {
        bool extended = false;
        for (auto &[worker, aside] : setAside_) {
            if (aside.unit == unit) {
                aside.until = until;
                extended = true;
            }
        }
        const std::size_t lost =
            std::erase_if(setAside_, [&](const auto &item) { return item.second.unit == unit && !canRun(item.first); });
        return extended && lost == 0;
    }
    void endSetAside(base::TimePoint now)
    {
        now_ = now;
        std::erase_if(setAside_, [now](const auto &item) { return item.second.until <= now; });
        std::erase_if(waiting_, [now](const Waiting &waiting) { return waiting.until <= now; });
    }
    /// Returns whether a task of this unit may be placed beside those on the worker.
    bool admits(WorkerNumber worker, const TaskRef &unit, Suspicion suspicion) const;
    bool hasSuspects(WorkerNumber worker) const
    {
        const auto found = workers_.find(worker);
        return found != workers_.end() && found->second.suspects > 0;
    }

private:
    struct Tenants {
        std::map<TaskRef, std::size_t> tasksByUnit;
        std::size_t tasks = 0;
        std::size_t suspects = 0; ///< Tasks under any suspicion.
        std::size_t isolated = 0; ///< Tasks under high suspicion.
    };
    struct SetAside {
        std::optional<TaskRef> unit; ///< Or any that has to run alone.
        base::TimePoint until{};
    };
    struct Waiting {
        TaskRef unit;
        base::TimePoint until{};
        bool isTooWide = false; ///< For the limit.
    };
    std::unordered_map<WorkerNumber, Tenants> workers_;
    std::map<WorkerNumber, SetAside> setAside_;
    base::TimePoint now_{}; ///< Of the latest dispatch.
    std::vector<Waiting> waiting_; ///< In the order in which they began to.
    std::size_t suspects_ = 0; ///< On all workers.
};

} // namespace yuccawheel::workflow
