#pragma once

#include "placement/zone_state.h"

#include <vector>

namespace yuccawheel::placement
{

/// Frees room for a waiting job by stopping tasks with a weaker claim, with the least lost work.
/// Urgent jobs take it from all that is not urgent; jobs within their team's quota from teams above theirs.
class RoomMaker
{
public:
    explicit RoomMaker(ZoneState &zone) : zone_(zone)
    {
    }

    /// Says whether a waiting job may have others stopped by now.
    bool mayPreempt(JobHandle handle) const;
    /// Stops what is needed for as many tasks of the job as possible, for a gang for all of them or nothing, and keeps
    /// the workers free for it.
    void makeRoom(JobHandle handle);
    /// Lets the holds go whose time is over.
    void expireHolds();
    /// Returns the work lost by stopping an attempt, or nothing if it must not be stopped for others.
    std::optional<std::int64_t> costOf(LiveHandle live) const;

private:
    struct Plan {
        WorkerId worker = 0;
        std::uint32_t tasks = 0; ///< Of the waiting job that fit afterwards.
        std::int64_t cost = 0;
        std::vector<LiveHandle> victims;
    };
    struct Candidate {
        std::int64_t cost = 0;
        LiveHandle live = NoHandle;
    };

    bool mayStop(const Job &waiting, LiveHandle live) const;
    std::uint32_t onTheWay(const Job &job) const;
    std::vector<Plan> plans(JobHandle handle, std::uint32_t needed);
    std::optional<Plan> planFor(JobHandle handle, WorkerId worker, std::uint32_t needed) const;
    void carryOut(JobHandle handle, const Plan &plan);

    ZoneState &zone_;
    WorkerId cursor_ = 0; ///< Where the next search begins.
};

/// Keeps workers free for the first job that finds no room, so that a stream of smaller jobs can't starve it.
/// There is one reservation at a time, so two gangs never hold half of what each needs.
class ReservationKeeper
{
public:
    explicit ReservationKeeper(ZoneState &zone) : zone_(zone)
    {
    }

    /// Reserves the workers that should have room soonest, if the job has waited long enough and nobody has a
    /// reservation.
    void consider(JobHandle handle);
    /// Lets go of a reservation that can no longer be met as planned.
    void review();

private:
    struct Opening {
        base::TimePoint at;
        WorkerId worker = 0;

        auto operator<=>(const Opening &) const = default; // NOLINT(modernize-use-nullptr): false alarm
    };

    std::vector<Opening> openings(JobHandle handle) const;
    void openingsOn(WorkerId worker, const Job &job, std::vector<Opening> &found) const;
    base::TimePoint expectedEnd(const LiveTask &task) const;

    ZoneState &zone_;
};

} // namespace yuccawheel::placement
