#pragma once

#include "base/clock.h"
#include "workflow/log_entry.h"
#include "workflow/worker.h"
#include "workflow/worker_health.h"
#include "workflow/worker_lease.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccawheel::workflow
{

/// The leader's view of a run that the log has placed on a worker.
struct LiveRun {
    enum class Stage : std::uint8_t {
        Starting, ///< The start order has not been answered yet.
        Running, ///< The worker has confirmed the run.
        Uncertain, ///< The run may be there or still start; a poll has to find out.
        Stopping, ///< A stop order is being sent. Once answered, the run can never start there.
        ReleaseProposed, ///< A NotStartedEntry has been proposed.
        EndProposed, ///< An EndsEntry with its end has been proposed.
    };
    std::uint32_t run = 0;
    Stage stage = Stage::Starting;
    placement::Resources reserved; ///< Reservation of the task on its worker.
    std::int32_t priority = 0; ///< Of the job's queue.
    bool resumable = false; ///< Can be stopped and resumed on another worker without losing work.
    bool longRunning = false; ///< Ends only if it fails or its job is cancelled.
    std::chrono::milliseconds expectedRunTime{0};
    std::string ticket; ///< Sent with the start order.
    std::string checkpoint; ///< Last known checkpoint.
    base::TimePoint orderedAt{}; ///< When the latest start order was handed to the port.
    base::TimePoint nextCall{}; ///< Earliest time of the next order that the stage requires.
    base::TimePoint runningSince{}; ///< When the worker first confirmed the run to this leader.
    bool isTimed = false; ///< `runningSince` is when the run started.
    std::optional<base::TimePoint> stopAnsweredAt;
    std::optional<std::uint32_t> listedPercent; ///< Latest progress listed, of a member of a gang that resumes.
    std::uint32_t startCalls = 0;
    std::uint32_t outdatedStops = 0; ///< Stop orders in flight when the worker was replaced, whose answers don't count.
    bool callInFlight = false;
    bool startUnanswered = false; ///< An unanswered start order may still take effect.
    bool isDoubted = false; ///< Confirmed, but a poll has to find out whether it is still there.
    bool mayBeInSuccessor = false; ///< The next incarnation may have carried out the start order.
    /// The worker has confirmed the run, or ended the connection after the start order, or an earlier leader placed it.
    bool wasOnWorker = false;
};

/// A poll that has not been answered yet.
struct PendingPoll {
    base::TimePoint sentAt{};
    bool quick = false; ///< The answer does not wait for the end of a run.
};

/// The leader's view of one incarnation of a worker.
struct WorkerView {
    WorkerIdentity identity;
    WorkerLease lease;
    WorkerHealth health;
    std::map<TaskRef, LiveRun> runs;
    std::uint64_t reportSequence = 0;
    bool isCapacityReported = false; ///< To the leader of this term; else the capacity is what the log holds.
    std::uint64_t acknowledged = 0; ///< Last end number acknowledged to the worker.
    std::uint64_t proposedEndNumber = 0; ///< Ends up to this number are in the log or proposed.
    base::TimePoint nextPollAt{};
    base::TimePoint lastReport{};
    base::TimePoint lastHeard{}; ///< Latest report or answer to this leader.
    base::TimePoint silentSince{}; ///< When the first call after the latest answer failed.
    base::TimePoint lastTimeout{}; ///< When the latest call without an answer was given up.
    /// Last number of the first whole list of ends that this leader has read; 0 if it was empty.
    std::optional<std::uint64_t> firstListedEnd;
    std::map<std::uint64_t, PendingPoll> pendingPolls; ///< By number.
    std::uint32_t failedCalls = 0; ///< Unanswered calls since the last answer.
    bool draining = false;
    bool leaving = false; ///< It has sent its last report and ends once that is acknowledged, or seconds later.
    bool retired = false; ///< The incarnation has ended or was replaced by another worker at its id or address.
    bool goneProposed = false;
    std::vector<RunRef> crashedRuns; ///< Runs that were there when it crashed, until that is proposed to the log.
    std::vector<TimeAtWork> timesAtWork; ///< Of each of them.

    bool hasPendingPoll(bool quick) const
    {
        return std::any_of(
            pendingPolls.begin(), pendingPolls.end(), [quick](const auto &poll) { return poll.second.quick == quick; });
    }
    bool runsLongRunningTask() const
    {
        return std::any_of(runs.begin(), runs.end(), [](const auto &item) { return item.second.longRunning; });
    }
    /// Returns whether the worker answers calls and may be given new tasks. A worker that has told this leader nothing
    /// for a while may be cut off: a gang with a task there would wait in vain. One that has not reported its capacity
    /// to this leader may have shrunk while there was none.
    bool isUsable(base::TimePoint now) const
    {
        return !draining && !retired && isCapacityReported && failedCalls == 0 && lease.isClockKnown()
            && hasSettledEnds() && now - lastHeard <= MaxSilence && health.canAccept(now);
    }
    /// Returns whether the ends that this leader found on the worker are recorded and acknowledged. They may tell that
    /// tasks which are waiting are done.
    bool hasSettledEnds() const
    {
        return firstListedEnd && acknowledged >= *firstListedEnd;
    }
    static constexpr std::chrono::milliseconds MaxSilence{3'500}; ///< Two missed reports.
};

using WorkerViews = std::map<WorkerNumber, WorkerView>;

} // namespace yuccawheel::workflow
