#pragma once

#include "base/verdict.h"
#include "placement/job.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace yuccawheel::placement
{

/// Dense number of a worker in one zone, given by the caller of the planner.
using WorkerId = std::uint32_t;

enum class TaskState : std::uint8_t {
    Running,
    Finished, ///< Ended by itself with success.
    Failed, ///< Ended by itself with an error.
    Stopped, ///< Ended because it was told to, or because its lease ran out.
    Checkpointed, ///< Saved its progress and ended.
    Unknown, ///< The worker was asked about it and has no trace of it: it never started there.
};

struct TaskReport {
    TaskId task;
    TaskState state = TaskState::Running;
    Resources usage; ///< Measured use; lags behind.
    std::optional<Resources> limit{}; ///< In force on the worker when it made the report; none if it doesn't say.
};

// Events given to the planner.

/// A worker appeared or came back. `running` is its own full list of tasks, with the spec each was started from.
struct WorkerJoined {
    struct Held {
        TaskId task;
        Resources reserved; ///< The limit in force.
    };
    WorkerId worker = 0;
    std::string name;
    std::string rack;
    Resources capacity;
    std::vector<Held> running;
};
/// A worker reported changes of its tasks.
struct WorkerReported {
    WorkerId worker = 0;
    std::vector<TaskReport> tasks;
};
/// A worker has been silent: place nothing new there. Its tasks stay reserved until the leases have run out.
struct WorkerUnreachable {
    WorkerId worker = 0;
};
/// A silent worker answers again with unchanged state.
struct WorkerReachable {
    WorkerId worker = 0;
};
/// Each lease of the worker's tasks has surely run out: none of them runs there any more.
struct WorkerLeasesExpired {
    WorkerId worker = 0;
};
struct WorkerDrain {
    WorkerId worker = 0;
    bool drain = true; ///< False takes the drain back.
};
/// A job, or the share of it given by task indices [firstIndex, firstIndex + count), was assigned to this zone.
struct JobAssigned {
    JobSpec spec;
    std::uint32_t firstIndex = 0;
    std::uint32_t count = 0;
    std::vector<std::uint32_t> finished; ///< Task indices that already have their final word.
    /// An earlier owner may have started tasks of this share: an index whose state is unknown waits for
    /// RecoveryFinished, and a non-repeatable one that no worker holds by then ends as "may have run".
    bool recovered = false;
    /// The earlier owners recorded each start of a non-repeatable index before they sent it, in `maybeStarted`.
    bool startsRecorded = false;
    std::vector<std::uint32_t> maybeStarted;
    std::uint32_t firstAttempt = 0; ///< Lowest attempt number that no earlier owner has used.
};
struct JobCancelled {
    JobId job = 0;
};
struct QuotasChanged {
    std::vector<TeamQuota> quotas;
};
/// A new owner knows all there is to recover: each share was assigned, and each worker that an earlier owner used has
/// joined or its leases have run out. Until then no index of a recovered share is started, and tasks that workers hold
/// of shares not assigned yet are kept; afterwards they are stopped.
struct RecoveryFinished {
};

using Event = std::variant<WorkerJoined,
                           WorkerReported,
                           WorkerUnreachable,
                           WorkerReachable,
                           WorkerLeasesExpired,
                           WorkerDrain,
                           JobAssigned,
                           JobCancelled,
                           QuotasChanged,
                           RecoveryFinished>;

// Commands and notices that the planner gives back.

struct StartTask {
    WorkerId worker = 0;
    TaskId task;
    Resources reserved;
    std::chrono::milliseconds waited{0}; ///< From assignment, or from the end of the last attempt.
    bool resumeFromCheckpoint = false;
};
enum class StopReason : std::uint8_t {
    Cancelled,
    Preempted,
    Drained,
    Overgrown, ///< It, or a neighbour with the better claim, outgrew its reservation.
    NotOurs, ///< No share here has this attempt; its end needs no report to anybody else.
    GangRollback,
    Consolidated, ///< Moves to another VM, so that this one can stay quiet.
    Missing, ///< A worker that joined again does not list it; its answer to this command tells what became of it.
};
std::string_view toString(StopReason reason);

struct StopTask {
    WorkerId worker = 0;
    TaskId task;
    StopReason reason = StopReason::Cancelled;
    bool checkpointFirst = false;
};
/// Holds a task's use at an amount.
struct ThrottleTask {
    WorkerId worker = 0;
    TaskId task;
    Resources limit;
};
/// The final word on one task index of a job.
struct TaskDone {
    TaskId task;
    base::Verdict verdict = base::Verdict::Ran;
    bool succeeded = false;
};
/// The final word on many indices at once: [firstIndex, firstIndex + count) never started and never will.
struct TasksNotRun {
    JobId job = 0;
    std::uint32_t firstIndex = 0;
    std::uint32_t count = 0;
};
/// A job cannot run on any VM of the zone as it is now. `missing` is what the nearest VM lacks.
struct JobNeverFits {
    JobId job = 0;
    Resources missing;
};
/// Every task index of the share has its final word.
struct JobShareDone {
    JobId job = 0;
};
/// One line for the log and for `explain`.
struct DecisionNote {
    JobId job = 0;
    std::string text;
};

using Command =
    std::variant<StartTask, StopTask, ThrottleTask, TaskDone, TasksNotRun, JobNeverFits, JobShareDone, DecisionNote>;

} // namespace yuccawheel::placement
