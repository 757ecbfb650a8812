#pragma once

#include "base/clock.h"
#include "workflow/crash_count.h"
#include "workflow/job.h"
#include "workflow/worker.h"

#include <cstddef>
#include <map>
#include <unordered_map>

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
            // It keeps others off by itself from now on, and other suspects may be waiting for a worker.
            std::erase_if(setAside_, [&unit](const auto &item) { return item.second.unit == unit; });
        }
    }
    /// Undoes an `add` with the same arguments, except that it sets no worker aside again.
    void remove(WorkerNumber worker, const TaskRef &unit, Suspicion suspicion);
    /// Keeps a worker free of new tasks of other units until `until`, so that it becomes empty.
    void setAside(WorkerNumber worker, const TaskRef &unit, base::TimePoint until)
    {
        setAside_[worker] = {unit, until};
    }
    bool isSetAside(WorkerNumber worker) const
    {
        return setAside_.contains(worker);
    }
    std::size_t setAsideWorkers() const
    {
        return setAside_.size();
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
        std::erase_if(setAside_, [now](const auto &item) { return item.second.until <= now; });
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
        TaskRef unit;
        base::TimePoint until{};
    };
    std::unordered_map<WorkerNumber, Tenants> workers_;
    std::map<WorkerNumber, SetAside> setAside_;
    std::size_t suspects_ = 0; ///< On all workers.
};

} // namespace yuccawheel::workflow
