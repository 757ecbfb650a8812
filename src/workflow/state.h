#pragma once

#include "workflow/log_entry.h"

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
    Placed, ///< Its run may have been started, and has not ended as far as the log knows.
    Done,
};

struct TaskRecord {
    TaskPhase phase = TaskPhase::Waiting;
    std::uint32_t run = 0; ///< Last number used; 0 before the first run.
    WorkerNumber worker = 0; ///< While placed.
    std::uint32_t failures = 0; ///< Runs that ended as failed.
    std::string checkpoint; ///< To resume from; empty if there is none.

    MSGPACK_DEFINE(phase, run, worker, failures, checkpoint)
};

/// A step of one occurrence.
struct StepRecord {
    std::vector<TaskRecord> tasks;
    std::uint32_t done = 0;
    std::uint32_t placed = 0;
    std::uint32_t failures = 0; ///< Of a gang: runs in which a member failed.
    std::uint32_t lastFailedRun = 0; ///< Of a gang.

    bool finished() const
    {
        return done == tasks.size();
    }
    MSGPACK_DEFINE(tasks, done, placed, failures, lastFailedRun)
};

enum class JobPhase : std::uint8_t { Queued, Running, Completed, Failed, Cancelled };
std::string_view toString(JobPhase phase);

struct JobRecord {
    JobSpec spec;
    QueuePolicy policy;
    WallTime acceptedAt{0};
    JobPhase phase = JobPhase::Queued;
    WallTime endedAt{0};
    std::vector<StepRecord> steps; ///< Of all occurrences, one after the other.
    std::uint32_t placed = 0; ///< Tasks of the job that are placed.
    bool begun = false; ///< A run of a task is known to have begun.

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
    /// Returns whether every step that this one waits for is finished.
    bool orderAllows(std::size_t position) const;
    MSGPACK_DEFINE(spec, policy, acceptedAt, phase, endedAt, steps, placed, begun)
};

struct WorkerRecord {
    WorkerIdentity identity;
    std::uint64_t lastNumber = 0; ///< Ends up to it are taken note of.
    std::vector<TaskRef> placed;
    bool draining = false;

    MSGPACK_DEFINE(identity, lastNumber, placed, draining)
};

/// What an entry changed, for whoever follows the state.
struct StateEvent {
    enum class Kind : std::uint8_t {
        ConfigurationChanged,
        JobAccepted,
        JobKnown, ///< A resend: the job had been accepted before.
        JobEnded, ///< Completed, failed or cancelled; tasks may still be placed.
        TaskPlaced,
        TaskReleased, ///< It is no longer placed on `worker`; a gang's members may be released together.
        WorkerJoined,
        WorkerGone,
        WorkerDraining,
        JobForgotten,
    };
    Kind kind = Kind::ConfigurationChanged;
    JobKey job = 0;
    TaskRef task;
    WorkerNumber worker = 0;
    std::optional<RunOutcome> outcome; ///< Of a released task: as the worker listed it, if it did.
};

/// What the agreed log builds: the configuration, the workers, and the jobs with the place of each task. Every replica
/// applies the same entries and comes to the same state.
class State
{
public:
    /// Applies one entry, and appends what it changed to `events`.
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
    /// Returns whether a life of a worker is known to be draining.
    bool isDraining(const WorkerIdentity &worker) const;
    /// Returns the record of a task, or null if no such task is known.
    const TaskRecord *findTask(const TaskRef &task) const;

    std::string snapshot() const;
    static tl::expected<State, protocol::DecodeError> restore(std::string_view bytes);

    MSGPACK_DEFINE(configuration_, jobs_, workers_, nextWorker_)

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

    struct Place {
        JobRecord *job = nullptr;
        StepRecord *step = nullptr;
        TaskRecord *task = nullptr;
        const StepSpec *spec = nullptr;
    };
    Place find(const TaskRef &task);
    void release(const TaskRef &task, Place &place, std::optional<RunOutcome> outcome, std::vector<StateEvent> &events);
    void finishTask(const TaskRef &task, Place &place, std::vector<StateEvent> &events);
    void noteFailure(Place &place, std::uint32_t run);
    void noteCheckpoint(Place &place, const std::string &checkpoint);
    void endJob(JobKey key, JobRecord &job, JobPhase phase, WallTime at, std::vector<StateEvent> &events);
    void settle(JobKey key, JobRecord &job, WallTime at, std::vector<StateEvent> &events);

    Configuration configuration_;
    std::unordered_map<JobKey, JobRecord> jobs_;
    std::map<WorkerNumber, WorkerRecord> workers_;
    WorkerNumber nextWorker_ = 1;
};

} // namespace yuccawheel::workflow

YW_MSGPACK_ENUM(yuccawheel::workflow::TaskPhase, yuccawheel::workflow::TaskPhase::Done)
YW_MSGPACK_ENUM(yuccawheel::workflow::JobPhase, yuccawheel::workflow::JobPhase::Cancelled)
