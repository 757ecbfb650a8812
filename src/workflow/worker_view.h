#pragma once

#include "base/clock.h"
#include "workflow/worker.h"
#include "workflow/worker_health.h"
#include "workflow/worker_lease.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace yuccawheel::workflow
{

/// A run that the log has placed on a worker, as the leader sees it.
struct LiveRun {
    enum class Stage : std::uint8_t {
        Starting, ///< The order to start it has not been answered.
        Present, ///< The worker has said that it is there.
        Uncertain, ///< It may be there, or may still come: to be found out.
        Stopping, ///< It is told to stop; if it is not there it can never come after the answer.
        Released, ///< An entry that says that it never began is on its way to the log.
        Ended, ///< An entry with its end is on its way to the log.
    };
    std::uint32_t run = 0;
    Stage stage = Stage::Starting;
    std::string ticket; ///< Handed to the worker with the order.
    std::string checkpoint; ///< Last one seen.
    base::TimePoint nextCall{}; ///< Of the order that the stage asks for.
    base::TimePoint presentSince{};
    std::optional<base::TimePoint> stopAnsweredAt;
    std::uint32_t startCalls = 0;
    bool callInFlight = false;
    bool startUnanswered = false; ///< An order to start it may still be carried out.
};

/// An order to list what runs that has not been answered.
struct Look {
    base::TimePoint sentAt{};
    bool quick = false; ///< It does not wait for an end.
};

/// What the leader knows of one life of a worker.
struct WorkerView {
    WorkerIdentity identity;
    WorkerLease lease;
    WorkerHealth health;
    std::map<TaskRef, LiveRun> runs;
    std::uint64_t reportSequence = 0;
    std::uint64_t acknowledged = 0; ///< Last number of an end that the worker was told is taken note of.
    std::uint64_t proposedTo = 0; ///< Ends up to it are in the log or on their way.
    base::TimePoint nextLook{};
    base::TimePoint lastReport{};
    std::map<std::uint64_t, Look> looks; ///< Not answered yet, by number.
    std::uint32_t failedCalls = 0; ///< Since its last answer.
    bool draining = false;
    bool over = false; ///< This life is over, or a new one has begun at the same place.
    bool goneProposed = false;

    bool hasLook(bool quick) const
    {
        return std::any_of(
            looks.begin(), looks.end(), [quick](const auto &look) { return look.second.quick == quick; });
    }
    /// Returns whether it answers calls and may be given new tasks.
    bool usable(base::TimePoint now) const
    {
        return !draining && !over && failedCalls == 0 && health.accepts(now, runs.size());
    }
};

} // namespace yuccawheel::workflow
