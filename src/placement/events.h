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

/// Dense number of a worker in one zone, assigned by the caller of the planner.
using WorkerId = std::uint32_t;

enum class TaskState : std::uint8_t {
    Running,
    Finished, ///< Exited with success.
    Failed, ///< Exited with an error.
    Stopped, ///< Stopped by a command, or because its lease expired.
    Checkpointed, ///< Saved its progress and ended.
    Unknown, ///< The worker was asked about the task and has no record of it: it never started there.
};

struct TaskReport {
    TaskId task;
    TaskState state = TaskState::Running;
    Resources usage; ///< Measured; lags behind the actual use.
    std::optional<Resources> limit{}; ///< In force on the worker when it made the report; none if not reported.
};

// Input events of the planner.

/// A worker registered or registered again. `running` lists all tasks that it runs, `ended` the ends that it has not
/// seen acknowledged; these count before the worker or any other one gets tasks.
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
    std::vector<TaskReport> ended{};
};
/// A worker reported changes of its tasks.
struct WorkerReported {
    WorkerId worker = 0;
    std::vector<TaskReport> tasks;
};
/// A worker has stopped answering and gets no new tasks. Its tasks keep their reservations until their leases expire.
struct WorkerUnreachable {
    WorkerId worker = 0;
};
/// An unreachable worker answers again, with unchanged state.
struct WorkerReachable {
    WorkerId worker = 0;
};
/// The leases of all tasks of the worker have certainly expired: none of the tasks runs any more.
struct WorkerLeasesExpired {
    WorkerId worker = 0;
};
/// Starts or cancels the draining of a worker.
struct WorkerDrain {
    WorkerId worker = 0;
    bool drain = true; ///< False cancels the drain.
};
/// A share of a job, the task indices [firstIndex, firstIndex + count), was assigned to this zone.
struct JobAssigned {
    JobSpec spec;
    std::uint32_t firstIndex = 0;
    std::uint32_t count = 0;
    std::vector<std::uint32_t> finished; ///< Task indices that already have a final result.
    /// An earlier owner may have started tasks of this share. Indices of unknown state wait for RecoveryFinished; a
    /// non-repeatable index that no worker holds by then is concluded as "may have run".
    bool recovered = false;
    /// Earlier owners recorded the start of each non-repeatable index in `maybeStarted` before they sent it.
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
/// A new owner has recovered the state of the zone: all shares are assigned, and each worker that an earlier owner used
/// has joined or its leases have expired. Until then, task indices of unknown state are not started, and tasks on
/// workers are kept even if their share isn't assigned yet; afterwards such tasks are stopped.
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

// Output commands and notices of the planner.

struct StartTask {
    WorkerId worker = 0;
    TaskId task;
    Resources reserved;
    std::chrono::milliseconds waited{0}; ///< Since assignment, or since the last attempt ended.
    bool resumeFromCheckpoint = false;
};
enum class StopReason : std::uint8_t {
    Cancelled,
    Preempted,
    Drained,
    Overgrown, ///< The task, or another one on the worker with a stronger claim, outgrew its reservation.
    NotOurs, ///< The attempt belongs to no share of this planner; its end is not reported to anyone.
    GangRollback,
    Consolidated, ///< The task moves to another VM, so that this one becomes idle.
    Missing, ///< A worker that joined again does not list the task; its answer to the stop gives the task's state.
    DoneEarlier, ///< An earlier attempt has done the task; the end of this one is not reported to anyone.
};
std::string_view toString(StopReason reason);

struct StopTask {
    WorkerId worker = 0;
    TaskId task;
    StopReason reason = StopReason::Cancelled;
    bool checkpointFirst = false;
};
/// Sets a running task's resource limit.
struct ThrottleTask {
    WorkerId worker = 0;
    TaskId task;
    Resources limit;
};
/// The final result of one task index of a job.
struct TaskDone {
    TaskId task;
    base::Verdict verdict = base::Verdict::Ran;
    bool succeeded = false;
};
/// The final result of the task indices [firstIndex, firstIndex + count): they never started and never will.
struct TasksNotRun {
    JobId job = 0;
    std::uint32_t firstIndex = 0;
    std::uint32_t count = 0;
};
/// A job is unschedulable with the zone's current VMs. `missing` is the shortfall on the VM that comes closest.
struct JobNeverFits {
    JobId job = 0;
    Resources missing;
};
/// Every task index of the share has a final result.
struct JobShareDone {
    JobId job = 0;
};
/// A placement decision, as one line for the log and for `explain`.
struct DecisionNote {
    JobId job = 0;
    std::string text;
};

using Command =
    std::variant<StartTask, StopTask, ThrottleTask, TaskDone, TasksNotRun, JobNeverFits, JobShareDone, DecisionNote>;

} // namespace yuccawheel::placement
