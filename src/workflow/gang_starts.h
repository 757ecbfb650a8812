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

/// Runs of gangs whose members this leader has placed and not all workers have confirmed yet. Members that are there
/// hold capacity and do nothing until the last one is.
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
    /// Records that a member is on its worker; `sentAt`, if known, is when its order was written. Returns the summary
    /// of the run if it is whole now; it is no longer tracked then.
    std::optional<Summary> recordConfirmation(const TaskRef &gang,
                                              std::uint32_t run,
                                              const TaskRef &member,
                                              std::optional<base::TimePoint> sentAt,
                                              base::TimePoint now);
    /// Stops tracking a run, because one of its members has ended or will not start. Returns its summary if it was
    /// tracked.
    std::optional<Summary> remove(const TaskRef &gang, std::uint32_t run);
    /// Returns the first members of the gangs whose placement was committed at `before` or earlier.
    std::vector<TaskRef> committedBy(base::TimePoint before) const;
    void clear()
    {
        starts_.clear();
    }

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
        std::size_t members = 0;
    };

    Start *find(const TaskRef &gang, std::uint32_t run);
    static Summary summarize(const Start &start);

    std::map<TaskRef, Start> starts_; ///< By the first member of the gang.
};

} // namespace yuccawheel::workflow
