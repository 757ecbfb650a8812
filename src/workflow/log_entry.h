#pragma once

#include "workflow/configuration.h"
#include "workflow/crash_count.h"
#include "workflow/job.h"
#include "workflow/worker.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace yuccawheel::workflow
{

/// Puts a configuration in force, unless the same or a higher version already is.
struct ConfigurationEntry {
    Configuration configuration;

    MSGPACK_DEFINE(configuration)
};

/// Accepts a job, unless its key is already known.
struct AcceptEntry {
    JobKey key = 0;
    JobSpec spec;
    QueuePolicy policy;
    WallTime acceptedAt{0};

    MSGPACK_DEFINE(key, spec, policy, acceptedAt)
};

struct CancelEntry {
    JobKey key = 0;
    WallTime cancelledAt{0};

    MSGPACK_DEFINE(key, cancelledAt)
};

/// Adds a worker, which may be given tasks from now on, or changes the capacity of a known incarnation.
struct WorkerJoinedEntry {
    WorkerIdentity worker;

    MSGPACK_DEFINE(worker)
};

/// Removes a worker incarnation on which none of its tasks runs any more: it has ended, or its lease has expired.
struct WorkerGoneEntry {
    struct Saved {
        TaskRef task;
        std::string checkpoint;
        MSGPACK_DEFINE(task, checkpoint)
    };
    WorkerNumber worker = 0;
    std::vector<Saved> saved; ///< Last known checkpoints of its tasks.

    MSGPACK_DEFINE(worker, saved)
};

/// Places runs on workers. They may be started only after this entry is committed.
struct StartsEntry {
    struct Start {
        TaskRef task;
        std::uint32_t run = 0;
        WorkerNumber worker = 0;
        MSGPACK_DEFINE(task, run, worker)
    };
    std::vector<Start> starts;

    MSGPACK_DEFINE(starts)
};

/// One run of a task.
struct RunRef {
    TaskRef task;
    std::uint32_t run = 0;
    MSGPACK_DEFINE(task, run)
};

/// Releases runs that never began and never will.
struct NotStartedEntry {
    std::vector<RunRef> runs;

    MSGPACK_DEFINE(runs)
};

/// Records runs that a worker has listed as ended, and those during which it crashed. Its time decides on earlier
/// crashes, also without a worker.
struct EndsEntry {
    struct End {
        TaskRef task;
        std::uint32_t run = 0;
        RunOutcome outcome = RunOutcome::Failed;
        std::string checkpoint;
        std::chrono::milliseconds runTime{0}; ///< If the run did all of the task's work and was timed; else zero.
        MSGPACK_DEFINE(task, run, outcome, checkpoint, runTime)
    };
    WorkerNumber worker = 0;
    std::uint64_t lastEndNumber = 0; ///< All ends of this worker up to this number are recorded.
    std::vector<End> ends;
    WallTime at{0};
    /// Runs that may have been there when the worker crashed. They stay placed: their release is recorded separately.
    std::vector<RunRef> crashed;
    /// The entry counts only if all ends up to this number are recorded: an earlier entry may have been refused.
    std::uint64_t previousEndNumber = 0;
    /// Of each of the crashed runs.
    std::vector<TimeAtWork> timesAtWork;

    MSGPACK_DEFINE(worker, lastEndNumber, ends, at, crashed, previousEndNumber, timesAtWork)
};

/// Deletes the records of jobs that ended long ago, and of drained worker incarnations that are gone.
struct ForgetEntry {
    struct Drained {
        std::string id;
        std::int64_t born = 0;
        MSGPACK_DEFINE(id, born)
    };
    std::vector<JobKey> jobs;
    std::vector<Drained> drained;

    MSGPACK_DEFINE(jobs, drained)
};

/// Marks a worker as draining, because it will end soon.
struct WorkerDrainingEntry {
    std::string id;
    std::int64_t born = 0;

    MSGPACK_DEFINE(id, born)
};

using LogEntry = std::variant<ConfigurationEntry,
                              AcceptEntry,
                              CancelEntry,
                              WorkerJoinedEntry,
                              WorkerGoneEntry,
                              StartsEntry,
                              NotStartedEntry,
                              EndsEntry,
                              ForgetEntry,
                              WorkerDrainingEntry>;

std::string encodeEntry(const LogEntry &entry);
tl::expected<LogEntry, protocol::DecodeError> decodeEntry(std::string_view bytes);

} // namespace yuccawheel::workflow
