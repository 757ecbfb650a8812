#pragma once

#include "placement/zone_state.h"

#include <vector>

namespace yuccawheel::placement
{

/// Frees room for a waiting job by preempting tasks, at the least cost in lost work.
/// Urgent jobs preempt tasks that are not urgent; jobs within their team's quota preempt tasks of teams above quota.
class Preemptor
{
public:
    explicit Preemptor(ZoneState &zone) : zone_(zone)
    {
    }

    /// Returns whether a waiting job may preempt tasks yet.
    bool canPreempt(JobHandle handle) const;
    /// Stops tasks to make room for as many tasks of the job as possible, or for all or none of a gang, and holds the
    /// workers for the job.
    void preemptFor(JobHandle handle);
    /// Releases the holds that have expired.
    void expireHolds();
    /// Returns the weighted cost of the work lost by preempting an attempt, or nothing if it must not be preempted.
    std::optional<std::int64_t> preemptionCost(LiveHandle live) const;

private:
    struct Plan {
        WorkerId worker = 0;
        std::uint32_t tasks = 0; ///< Tasks of the waiting job that fit after the stops.
        std::int64_t cost = 0;
        std::vector<LiveHandle> victims;
    };
    struct Candidate {
        std::int64_t cost = 0;
        LiveHandle live = NoHandle;
    };

    bool isPreemptible(const Job &waiting, LiveHandle live) const;
    std::uint32_t tasksAfterPendingStops(const Job &job) const;
    std::vector<Plan> findPlans(JobHandle handle, std::uint32_t needed);
    std::optional<Plan> planFor(JobHandle handle, WorkerId worker, std::uint32_t needed) const;
    void executePlan(JobHandle handle, const Plan &plan);

    ZoneState &zone_;
    WorkerId cursor_ = 0; ///< Worker after which the next search begins.
};

/// Reserves workers for the first job that finds no room, so that smaller jobs that backfill around it can't starve it.
/// There is only one reservation at a time, so that two gangs never each hold a part of what both need.
class BackfillReserver
{
public:
    explicit BackfillReserver(ZoneState &zone) : zone_(zone)
    {
    }

    /// Reserves the workers that should have room soonest, if the job has waited long enough and no job that precedes
    /// it has the reservation.
    void tryReserve(JobHandle handle);
    /// Drops the reservation if it can no longer be met as planned.
    void dropIfStale();

private:
    /// Time at which a worker is expected to have room for one more task of the job.
    struct Opening {
        base::TimePoint at;
        WorkerId worker = 0;

        auto operator<=>(const Opening &) const = default; // NOLINT(modernize-use-nullptr): false alarm
    };

    std::vector<Opening> findOpenings(JobHandle handle) const;
    void appendOpenings(WorkerId worker, const Job &job, std::vector<Opening> &found) const;
    base::TimePoint expectedEnd(const LiveTask &task) const;

    ZoneState &zone_;
};

} // namespace yuccawheel::placement
