#pragma once

#include "workflow/step_placer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace yuccawheel::workflow
{

/// Selects resumable tasks of less urgent jobs to stop, to free capacity for a gang, and the workers on which a gang
/// collects capacity.
/// Load pattern: workers full of small tasks that end at different times. Capacity collected for a gang as they end
/// would idle until the last part is free. Instead, preemptible tasks keep using it until all of it can be freed at
/// once.
class PreemptionPlanner
{
public:
    PreemptionPlanner(const WorkerViews &workers, const placement::Ledger &ledger) : workers_(workers), ledger_(ledger)
    {
    }

    struct Preemption {
        WorkerNumber worker = 0;
        TaskRef task;
        placement::Resources freed;
    };
    struct Plan {
        std::vector<Preemption> preemptions;
        std::map<WorkerNumber, std::uint32_t> tasksByWorker; ///< Tasks of the gang that then fit on each worker.
    };

    /// Returns the tasks to stop, or nothing if that would not free enough capacity for the whole gang.
    std::optional<Plan> plan(const StepPlacer &placer, const StepPlacer::Request &request) const;
    /// Returns how many of the gang's tasks fit on a worker if all its preemptible tasks are stopped.
    std::uint32_t
    maxFittingTasks(const StepPlacer &placer, const StepPlacer::Request &request, WorkerNumber number) const;
    /// Claims capacity for a gang that can't start yet, if all of it fits on eligible workers and within the limit.
    /// What the claim covers by preemptible tasks counts as preemptible for no other gang.
    void claimCapacity(const StepPlacer &placer, const StepPlacer::Request &request, CapacityClaims &claims);
    /// Returns what the tasks that this priority may preempt hold on a worker.
    placement::Resources preemptibleCapacity(WorkerNumber number, std::int32_t priority) const;
    /// Forgets what was computed about a worker, after tasks were stopped there.
    void forgetWorker(WorkerNumber number);
    /// Forgets what was computed about all workers, except what gangs have claimed.
    void forgetWorkers()
    {
        preemptible_.clear();
    }

private:
    struct Candidate {
        WorkerNumber worker = 0;
        placement::Resources free; ///< Including what the selected preemptions free.
        std::uint32_t fittingTasks = 0; ///< Tasks of the gang that fit in `free`.
        std::uint32_t maxFittingTasks = 0;
        std::vector<Preemption> preemptible; ///< Not selected yet; the largest last.
    };

    /// Returns whether the gang may fit after preemption, by CPU alone.
    bool mayFit(const StepPlacer::Request &request) const;
    static bool isPreemptible(const LiveRun &run, std::int32_t priority);
    template <typename Visit>
    void forEachPreemptible(WorkerNumber number, std::int32_t priority, Visit visit) const;
    Candidate makeCandidate(const StepPlacer &placer, const StepPlacer::Request &request, WorkerNumber number) const;

    const WorkerViews &workers_;
    const placement::Ledger &ledger_;
    mutable std::map<std::int32_t, std::unordered_map<WorkerNumber, placement::Resources>>
        preemptible_; ///< By priority.
    std::map<WorkerNumber, placement::Resources> claimedPreemptible_; ///< Counts as preemptible for no other gang.
};

} // namespace yuccawheel::workflow
