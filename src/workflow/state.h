#pragma once

#include "workflow/crash_count.h"
#include "workflow/log_entry.h"
#include "workflow/recent_crashes.h"
#include "workflow/run_time_model.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace yuccawheel::workflow
{

enum class TaskPhase : std::uint8_t {
    Waiting,
    Placed, ///< The run may have been started; no end is recorded.
    Done,
};
std::string_view toString(TaskPhase phase);

struct TaskRecord {
    TaskPhase phase = TaskPhase::Waiting;
    std::uint32_t run = 0; ///< Number of the latest run; 0 before the first.
    WorkerNumber worker = 0; ///< Worker of the latest run; current while placed.
    std::uint32_t failures = 0; ///< Number of failed runs.
    std::string checkpoint; ///< Checkpoint to resume from; empty if none.
    CrashCount crashes; ///< Not used for members of a gang.
    /// Runs that were released because their worker was gone. Each counts if the worker returns and lists its end.
    std::vector<std::uint32_t> unresolvedRuns;
    bool doneEarlier = false; ///< While placed: an earlier run has done the task, so this one is to be stopped.

    bool isDone() const
    {
        return phase == TaskPhase::Done || doneEarlier;
    }
    MSGPACK_DEFINE(phase, run, worker, failures, checkpoint, crashes, unresolvedRuns, doneEarlier)
};

/// State of a step in one occurrence.
struct StepRecord {
    std::vector<TaskRecord> tasks;
    std::uint32_t done = 0;
    std::uint32_t placed = 0; ///< Without those that an earlier run has done.
    std::uint32_t failures = 0; ///< For a gang: number of runs in which a member failed.
    std::uint32_t lastFailedRun = 0; ///< For a gang: latest run counted in `failures`.
    CrashCount crashes; ///< For a gang: of all its members.

    bool isFinished() const
    {
        return done == tasks.size();
    }
    bool hasWaitingTasks() const
    {
        return done + placed < tasks.size();
    }
    MSGPACK_DEFINE(tasks, done, placed, failures, lastFailedRun, crashes)
};

enum class JobPhase : std::uint8_t { Queued, Running, Completed, Failed, Cancelled };
std::string_view toString(JobPhase phase);

struct JobRecord {
    JobSpec spec;
    QueuePolicy policy;
    WallTime acceptedAt{0};
    JobPhase phase = JobPhase::Queued;
    WallTime endedAt{0};
    std::vector<StepRecord> steps; ///< Steps of all occurrences in order.
    std::uint32_t placed = 0; ///< Number of placed tasks.
    bool begun = false; ///< A run of a task is known to have started.

    bool hasEnded() const
    {
        return phase == JobPhase::Completed || phase == JobPhase::Failed || phase == JobPhase::Cancelled;
    }
    const StepSpec &specOf(std::size_t step) const
    {
        return spec.steps[step % spec.steps.size()];
    }
    std::size_t positionOf(std::uint32_t occurrence, std::uint32_t step) const
    {
        return occurrence * spec.steps.size() + step;
    }
    TaskRef refOf(JobKey key, std::size_t position, std::uint32_t index) const
    {
        return {key,
                static_cast<std::uint32_t>(position / spec.steps.size()),
                static_cast<std::uint32_t>(position % spec.steps.size()),
                index};
    }
    /// Returns whether all steps that the step at `position` depends on are finished.
    bool hasFinishedDependencies(std::size_t position) const;
    /// Returns the crashes counted against a task, or against the gang that it belongs to.
    const CrashCount &crashesOf(std::size_t position, std::uint32_t index) const
    {
        return specOf(position).gang ? steps[position].crashes : steps[position].tasks[index].crashes;
    }
    /// Returns whether any task of the step, which is no gang, is under suspicion.
    bool hasSuspects(std::size_t position) const
    {
        const StepRecord &step = steps[position];
        return std::any_of(step.tasks.begin(), step.tasks.end(), [](const TaskRecord &task) {
            return task.crashes.suspicion() != Suspicion::None;
        });
    }
    /// Returns the unit that crashes are counted against: the task, or the first member of its gang.
    TaskRef crashUnitOf(const TaskRef &task) const
    {
        return {task.job, task.occurrence, task.step, spec.steps[task.step].gang ? 0 : task.index};
    }
    /// Returns why the job must fail, or nothing if it may go on.
    std::optional<std::string> failureReason(JobKey key) const;
    MSGPACK_DEFINE(spec, policy, acceptedAt, phase, endedAt, steps, placed, begun)
};

struct WorkerRecord {
    WorkerIdentity identity;
    std::uint64_t lastEndNumber = 0; ///< Ends up to this number are recorded.
    std::vector<TaskRef> placed;
    bool draining = false;
    bool crashed = false; ///< Its crash is counted.

    MSGPACK_DEFINE(identity, lastEndNumber, placed, draining, crashed)
};

/// Change made by a log entry, for observers of the state.
struct StateEvent {
    enum class Kind : std::uint8_t {
        ConfigurationChanged,
        JobAccepted,
        JobKnown, ///< A resent submission of a known job.
        JobEnded, ///< Completed, failed or cancelled; tasks may still be placed.
        TaskPlaced,
        TaskReleased, ///< The task is no longer placed on `worker`. Members of a gang may be released together.
        TaskDoneEarlier, ///< An earlier run has done the task, which was waiting or placed again.
        WorkerJoined,
        WorkerGone,
        WorkerDraining,
        JobForgotten,
        UnitSuspected, ///< A crash has been decided on, and `task`, or its gang, may have caused it.
    };
    Kind kind = Kind::ConfigurationChanged;
    JobKey job = 0;
    TaskRef task;
    WorkerNumber worker = 0;
    std::optional<RunOutcome> outcome; ///< Set for a released task whose end the worker has listed.
};

/// Replicated state machine of the log: configuration, workers and jobs with the placement of each task. All replicas
/// apply the same entries and reach the same state.
class State
{
public:
    /// Applies an entry and appends the resulting changes to `events`.
    void apply(const LogEntry &entry, std::vector<StateEvent> &events);

    const Configuration &configuration() const
    {
        return configuration_;
    }
    const JobRecord *findJob(JobKey key) const;
    const std::unordered_map<JobKey, JobRecord> &jobs() const
    {
        return jobs_;
    }
    const std::map<WorkerNumber, WorkerRecord> &workers() const
    {
        return workers_;
    }
    /// Returns whether this worker incarnation is marked as draining.
    bool isDraining(const WorkerIdentity &worker) const;
    /// Returns the number of this incarnation, or if its start time is 0, of one with its id that drains; nothing if it
    /// is not known or gone.
    std::optional<WorkerNumber> findWorker(const WorkerIdentity &worker) const;
    /// Returns whether an incarnation with this id is known and not gone.
    bool hasWorker(std::string_view id) const;
    /// Returns the start times of the latest incarnations that are marked as draining, by worker id. They may be gone.
    const std::map<std::string, std::int64_t> &drained() const
    {
        return drained_;
    }
    /// Returns what the ends so far tell about run times.
    const RunTimeModel &runTimes() const
    {
        return runTimes_;
    }
    /// Returns the record of a task, or null if the task does not exist.
    const TaskRecord *findTask(const TaskRef &task) const;

    std::string snapshot() const;
    static tl::expected<State, protocol::DecodeError> restore(std::string_view bytes);

    /// Returns whether an EndsEntry of this time would decide on a crash.
    bool hasCrashToSettle(WallTime now) const
    {
        return recentCrashes_.isDue(now);
    }

    MSGPACK_DEFINE(configuration_, jobs_, workers_, nextWorker_, runTimes_, drained_, recentCrashes_)

private:
    void applyBody(const ConfigurationEntry &entry, std::vector<StateEvent> &events);
    void applyBody(const AcceptEntry &entry, std::vector<StateEvent> &events);
    void applyBody(const CancelEntry &entry, std::vector<StateEvent> &events);
    void applyBody(const WorkerJoinedEntry &entry, std::vector<StateEvent> &events);
    void applyBody(const WorkerGoneEntry &entry, std::vector<StateEvent> &events);
    void applyBody(const StartsEntry &entry, std::vector<StateEvent> &events);
    void applyBody(const NotStartedEntry &entry, std::vector<StateEvent> &events);
    void applyBody(const EndsEntry &entry, std::vector<StateEvent> &events);
    void applyBody(const ForgetEntry &entry, std::vector<StateEvent> &events);
    void applyBody(const WorkerDrainingEntry &entry, std::vector<StateEvent> &events);

    struct TaskLocation {
        JobRecord *job = nullptr;
        StepRecord *step = nullptr;
        TaskRecord *task = nullptr;
        const StepSpec *spec = nullptr;

        CrashCount &crashes() const
        {
            return spec->gang ? step->crashes : task->crashes;
        }
    };
    TaskLocation locate(const TaskRef &task);
    void releaseTask(const TaskRef &task,
                     TaskLocation &location,
                     std::optional<RunOutcome> outcome,
                     std::vector<StateEvent> &events);
    void recordEnd(const EndsEntry::End &end, TaskLocation &location, std::vector<StateEvent> &events);
    void recordLateEnd(const EndsEntry::End &end, TaskLocation &location, std::vector<StateEvent> &events);
    void finishTask(const TaskRef &task, TaskLocation &location, std::vector<StateEvent> &events);
    void finishEarlier(const TaskRef &task, TaskLocation &location, std::vector<StateEvent> &events);
    void recordFailure(TaskLocation &location, std::uint32_t run);
    /// Decides on crashes of the last seconds, and fails jobs whose tasks are to blame for theirs.
    void settleCrashes(WallTime now, std::vector<StateEvent> &events);
    static std::uint32_t countWorkers(const TaskLocation &location);
    struct Explanation {
        std::vector<CrashCauses> causes; ///< For each of the units that were on the worker.
        double unexplained = 1; ///< Probability that none of them is to blame.
    };
    template <typename BlameOf>
    Explanation explain(const RecentCrashes::Crash &crash, BlameOf blameOf);
    void recordCrash(const EndsEntry &entry, WorkerRecord &worker, std::vector<StateEvent> &events);
    void recordCheckpoint(TaskLocation &location, const std::string &checkpoint);
    void endJob(JobKey key, JobRecord &job, JobPhase phase, WallTime at, std::vector<StateEvent> &events);
    void updateJobPhase(JobKey key, JobRecord &job, WallTime at, std::vector<StateEvent> &events);

    Configuration configuration_;
    std::unordered_map<JobKey, JobRecord> jobs_;
    std::map<WorkerNumber, WorkerRecord> workers_;
    WorkerNumber nextWorker_ = 1;
    RunTimeModel runTimes_;
    std::map<std::string, std::int64_t> drained_; ///< Start times of the latest incarnations that drain, by worker id.
    RecentCrashes recentCrashes_;
};

} // namespace yuccawheel::workflow

YW_MSGPACK_ENUM(yuccawheel::workflow::TaskPhase, yuccawheel::workflow::TaskPhase::Done)
YW_MSGPACK_ENUM(yuccawheel::workflow::JobPhase, yuccawheel::workflow::JobPhase::Cancelled)
