#pragma once

#include "workflow/configuration.h"
#include "workflow/job.h"
#include "workflow/worker.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace yuccawheel::workflow
{

/// Puts a configuration in force, unless one of its version or a higher one is.
struct ConfigurationEntry {
    Configuration configuration;

    MSGPACK_DEFINE(configuration)
};

/// Accepts a job, unless one of this key is known.
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

/// A worker that may be given tasks from now on.
struct WorkerJoinedEntry {
    WorkerIdentity worker;

    MSGPACK_DEFINE(worker)
};

/// A life of a worker is surely over: none of its tasks runs any more.
struct WorkerGoneEntry {
    struct Saved {
        TaskRef task;
        std::string checkpoint;
        MSGPACK_DEFINE(task, checkpoint)
    };
    WorkerNumber worker = 0;
    std::vector<Saved> saved; ///< Last checkpoints seen of its tasks.

    MSGPACK_DEFINE(worker, saved)
};

/// Runs that may be started once this is committed, and not before.
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

/// Runs that never began, and never will.
struct NotStartedEntry {
    struct Run {
        TaskRef task;
        std::uint32_t run = 0;
        MSGPACK_DEFINE(task, run)
    };
    std::vector<Run> runs;

    MSGPACK_DEFINE(runs)
};

/// Runs that a worker has listed as ended.
struct EndsEntry {
    struct End {
        TaskRef task;
        std::uint32_t run = 0;
        RunOutcome outcome = RunOutcome::Failed;
        std::string checkpoint;
        MSGPACK_DEFINE(task, run, outcome, checkpoint)
    };
    WorkerNumber worker = 0;
    std::uint64_t lastNumber = 0; ///< Of the worker's list; all up to it are taken note of.
    std::vector<End> ends;
    WallTime at{0};

    MSGPACK_DEFINE(worker, lastNumber, ends, at)
};

/// Drops jobs that ended long ago.
struct ForgetEntry {
    std::vector<JobKey> jobs;

    MSGPACK_DEFINE(jobs)
};

/// A worker has said that it ends soon.
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
