#pragma once

#include "workflow/step_placer.h"

#include <algorithm>
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
    /// What is known of a gang's claims over all dispatches.
    struct ClaimHistory {
        base::TimePoint since{}; ///< First claim.
        base::TimePoint firstExpectedStart{};
        bool wasMostCapacityFree = false; ///< When it first claimed.

        /// Records a claim for a start that is expected at `start`.
        void note(base::TimePoint start, bool isMostCapacityFree, base::TimePoint now);
        /// Returns whether the gang may still start when it was first expected to. If not, the run times that this
        /// rested on were wrong, and may be for tasks that would use what the gang claims.
        bool isOnSchedule(base::TimePoint now) const;
        /// Returns whether so much capacity is free that others may not have to wait for the gang.
        bool isRelaxed(bool isMostCapacityFree, base::TimePoint now) const;
        /// Returns whether tasks that have waited for too long go first.
        bool yieldsToOverdue(bool isMostCapacityFree, base::TimePoint now) const;
    };
    /// Claims capacity for a gang that can't start yet, if all of it fits on eligible workers and within the limit.
    /// Returns false if it doesn't fit beside the long-running tasks there, which end at no time that can be expected.
    /// What the claim covers by preemptible tasks counts as preemptible for no other gang.
    bool claimCapacity(const StepPlacer &placer,
                       const StepPlacer::Request &request,
                       ClaimHistory &history,
                       CapacityClaims &claims,
                       base::TimePoint now);
    /// Returns what the tasks that this priority may preempt hold on a worker.
    placement::Resources preemptibleCapacity(WorkerNumber number, std::int32_t priority) const;
    /// Forgets what was computed about a worker, after tasks were stopped there.
    void forgetWorker(WorkerNumber number);
    /// Forgets what was computed about all workers, except what gangs have claimed.
    void forgetWorkers()
    {
        preemptible_.clear();
        ends_.clear();
    }

private:
    struct Candidate {
        WorkerNumber worker = 0;
        placement::Resources free; ///< Including what the selected preemptions free.
        std::uint32_t fittingTasks = 0; ///< Tasks of the gang that fit in `free`.
        std::uint32_t maxFittingTasks = 0;
        std::vector<Preemption> preemptible; ///< Not selected yet; the largest last.
    };

    /// A worker on which a gang could collect capacity.
    struct Collector {
        WorkerNumber worker = 0;
        placement::Resources available; ///< Now, without preemption.
        std::vector<base::TimePoint> openings; ///< When each task of the gang would fit; the earliest first.

        std::int64_t tasksBy(base::TimePoint time) const
        {
            return std::upper_bound(openings.begin(), openings.end(), time) - openings.begin();
        }
    };
    /// An expected end of a run, or of placements that are not committed yet.
    struct ExpectedEnd {
        base::TimePoint at{}; ///< `max()` for a long-running task.
        placement::Resources amount;
        const LiveRun *run = nullptr; ///< Null for placements.
    };

    Collector makeCollector(const StepPlacer &placer,
                            const StepPlacer::Request &request,
                            const CapacityClaims &claims,
                            WorkerNumber number,
                            base::TimePoint now) const;
    static base::TimePoint expectedEnd(const LiveRun &run, base::TimePoint now);
    /// Returns the ends on a worker, the earliest first. Valid until forgetWorkers().
    const std::vector<ExpectedEnd> &endsOn(WorkerNumber number, base::TimePoint now) const;
    /// Runs on a worker that were ordered before a gang claimed capacity and are expected to end by some time.
    struct OlderRuns {
        placement::Resources amount; ///< Without those that the gang may preempt.
        base::TimePoint lastEnd{};
    };
    OlderRuns olderRuns(const StepPlacer::Request &request,
                        WorkerNumber number,
                        base::TimePoint since,
                        base::TimePoint endingBy,
                        base::TimePoint now) const;
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
    std::unordered_map<WorkerNumber, placement::Resources>
        claimedPreemptible_; ///< Counts as preemptible for no other gang.
    std::unordered_map<WorkerNumber, placement::Resources> promisedEnds_; ///< Ends that claims count on.
    mutable std::unordered_map<WorkerNumber, std::vector<ExpectedEnd>> ends_;
};

} // namespace yuccawheel::workflow
