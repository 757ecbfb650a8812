#pragma once

#include "base/clock.h"
#include "workflow/job.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace yuccawheel::workflow
{

/// Runs of gangs that this leader has placed and that aren't known to work yet. Members that are there hold capacity
/// and do nothing until all of them are there at one time, so a confirmation counts only for about the time it was
/// made.
class GangStarts
{
public:
    /// Times since the placement of the run was committed.
    struct Summary {
        std::size_t members = 0;
        std::size_t confirmed = 0;
        std::size_t orders = 0; ///< Including those sent again.
        std::chrono::milliseconds lastOrdered{0}; ///< Of the last member, its first order.
        std::chrono::milliseconds lastSent{0}; ///< When the last confirmed order was written to its connection.
        std::chrono::milliseconds lastConfirmed{0};
    };

    /// Records that the placement of a member is committed. `gang` is the first member.
    void addMember(const TaskRef &gang, std::uint32_t run, const TaskRef &member, base::TimePoint now);
    /// Records that an order to start a member goes out.
    void recordOrder(const TaskRef &gang, std::uint32_t run, const TaskRef &member, base::TimePoint now);
    struct Confirmation {
        std::optional<Summary> summary; ///< Set if the run is whole now.
        std::vector<TaskRef> outdated; ///< Members that were there too long ago and must be confirmed once more.
    };
    /// Records that a member was on its worker at `seenAt`; `sentAt`, if known, is when its order was written.
    Confirmation recordConfirmation(const TaskRef &gang,
                                    std::uint32_t run,
                                    const TaskRef &member,
                                    std::optional<base::TimePoint> sentAt,
                                    base::TimePoint seenAt,
                                    base::TimePoint now);
    /// Returns the members of runs that are whole since before `before`, of which no poll has told yet that they work:
    /// two each, to be confirmed once more. Each run is returned once.
    std::vector<TaskRef> takeUnproven(base::TimePoint before, base::TimePoint now);
    /// Records that a member may be on its worker no longer. Returns whether it has to be confirmed once more.
    bool recordDoubt(const TaskRef &gang, std::uint32_t run, const TaskRef &member, base::TimePoint now);
    /// Stops tracking a run, because it works, or one of its members has ended or will not start. Returns its summary
    /// if it was tracked and never whole.
    std::optional<Summary> remove(const TaskRef &gang, std::uint32_t run);
    /// Records that workers are asked at `now` whether the members of a run are there.
    void recordQuestion(const TaskRef &gang, std::uint32_t run, base::TimePoint now);
    /// Records that the members of a run are being stopped. It stays tracked until one of them has ended. Returns its
    /// summary if it was never whole.
    std::optional<Summary> recordStop(const TaskRef &gang, std::uint32_t run);
    bool isStopping(const TaskRef &gang, std::uint32_t run) const;
    /// Returns the first members of the gangs that aren't whole nor being stopped, whose placement was committed at
    /// `before` or earlier, and whose members weren't asked for again after `askedBefore`.
    std::vector<TaskRef> incompleteSince(base::TimePoint before, base::TimePoint askedBefore) const;
    /// Returns when the placement of a run was committed, if it is tracked.
    std::optional<base::TimePoint> committedAt(const TaskRef &gang, std::uint32_t run) const;

private:
    struct Start {
        std::uint32_t run = 0;
        base::TimePoint committedAt{};
        base::TimePoint lastOrderedAt{};
        base::TimePoint lastSentAt{};
        base::TimePoint lastConfirmedAt{};
        std::size_t orders = 0;
        std::set<TaskRef> unordered;
        std::set<TaskRef> unconfirmed;
        std::map<TaskRef, base::TimePoint> seenAt; ///< Of the members that were confirmed, the latest time.
        base::TimePoint lastStartSeenAt{}; ///< When the member that was there last was first seen.
        std::size_t members = 0;
        base::TimePoint askedAt{}; ///< When members were last asked for again.
        bool wasWhole = false;
        bool isStopping = false;
        bool isChecked = false; ///< Once whole, all members have to be confirmed once more.
    };

    Start *find(const TaskRef &gang, std::uint32_t run);
    const Start *find(const TaskRef &gang, std::uint32_t run) const;
    static Summary summarize(const Start &start);

    std::map<TaskRef, Start> starts_; ///< By the first member of the gang.
};

} // namespace yuccawheel::workflow
