#pragma once

#include "placement/job.h"
#include "protocol/codec.h"
#include "protocol/frame.h"
#include "protocol/identity.h"
#include "protocol/index_set.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Requests and notices between entries, schedulers and store replicas. Each request names its reply type.

namespace yuccawheel::protocol
{

struct NamedJob {
    std::string name;
    placement::JobId id = 0;

    bool operator==(const NamedJob &) const = default;
    MSGPACK_DEFINE(name, id)
};

enum class SubmitOutcome : std::uint8_t {
    Accepted,
    VersionConflict, ///< Another submission has already changed the expected version.
    SubmissionConflict, ///< The submission id was already used for different content.
    Rejected, ///< The content contradicts the current configuration; `message` says how.
};

struct SubmitReply {
    static constexpr MessageType Type = MessageType::SubmitReply;
    SubmitOutcome outcome = SubmitOutcome::Accepted;
    std::uint64_t version = 0;
    std::vector<NamedJob> jobs;
    bool resent = false; ///< The submission was accepted earlier; this repeats its reply.
    std::uint64_t winnerVersion = 0; ///< On VersionConflict: the version after the expected one, and its submission.
    std::string winnerSubmission;
    std::string message;

    bool operator==(const SubmitReply &) const = default;
    MSGPACK_DEFINE(outcome, version, jobs, resent, winnerVersion, winnerSubmission, message)
};

/// Submits an operator's document. Services and teams change the configuration; jobs don't.
struct Submit {
    static constexpr MessageType Type = MessageType::Submit;
    using Reply = SubmitReply;
    std::string submission;
    std::optional<std::uint64_t> expectedVersion; ///< Required if the configuration changes.
    std::vector<placement::TeamQuota> teams;
    std::vector<placement::JobSpec> services;
    std::vector<std::string> removedTeams;
    std::vector<std::string> removedServices;
    std::vector<placement::JobSpec> jobs;

    bool changesConfiguration() const
    {
        return !teams.empty() || !services.empty() || !removedTeams.empty() || !removedServices.empty();
    }
    MSGPACK_DEFINE(submission, expectedVersion, teams, services, removedTeams, removedServices, jobs)
};

struct CancelJobReply {
    static constexpr MessageType Type = MessageType::CancelJobReply;
    base::Verdict verdict = base::Verdict::MayHaveRun;
    bool done = false; ///< Every task has its final outcome.

    MSGPACK_DEFINE(verdict, done)
};

struct CancelJob {
    static constexpr MessageType Type = MessageType::CancelJob;
    using Reply = CancelJobReply;
    placement::JobId job = 0;

    MSGPACK_DEFINE(job)
};

/// The scheduler that owns a zone's workers.
struct ZoneOwner {
    std::string zone;
    std::uint64_t epoch = 0;
    std::uint32_t takeovers = 0; ///< Number of owners that the zone has had, including this one.
    std::string node;
    std::string innerAddress;
    std::string workerAddress;

    bool operator==(const ZoneOwner &) const = default;
    MSGPACK_DEFINE(zone, epoch, takeovers, node, innerAddress, workerAddress)
};

struct AcquireZoneReply {
    static constexpr MessageType Type = MessageType::AcquireZoneReply;
    ZoneOwner owner; ///< The candidate with its new epoch.

    MSGPACK_DEFINE(owner)
};

struct AcquireZone {
    static constexpr MessageType Type = MessageType::AcquireZone;
    using Reply = AcquireZoneReply;
    ZoneOwner candidate; ///< `epoch` and `takeovers` are ignored.

    MSGPACK_DEFINE(candidate)
};

/// Changes of the tasks of one job since the last report.
struct JobProgress {
    placement::JobId job = 0;
    IndexSet started; ///< Tasks of a non-repeatable job that are about to be started.
    IndexSet succeeded;
    IndexSet failed;
    IndexSet notRun;
    IndexSet mayHaveRun;

    MSGPACK_DEFINE(job, started, succeeded, failed, notRun, mayHaveRun)
};

struct ZoneSummary {
    placement::Resources capacity;
    placement::Resources reserved;
    std::uint32_t workers = 0;
    std::uint32_t waitingTasks = 0;

    MSGPACK_DEFINE(capacity, reserved, workers, waitingTasks)
};

struct RenewZoneReply {
    static constexpr MessageType Type = MessageType::RenewZoneReply;
    std::uint64_t configurationVersion = 0;

    MSGPACK_DEFINE(configurationVersion)
};

/// Renews the ownership of a zone and reports progress. The reply is sent after the log has committed both.
struct RenewZone {
    static constexpr MessageType Type = MessageType::RenewZone;
    using Reply = RenewZoneReply;
    std::string zone;
    std::uint64_t epoch = 0;
    ZoneSummary summary;
    std::vector<JobProgress> progress;
    std::vector<std::string> joinedWorkers; ///< Tasks are placed on a worker only after this is committed.
    std::vector<std::string> leftWorkers; ///< Workers whose leases have expired.
    bool release = false; ///< The owner gives up the zone.

    MSGPACK_DEFINE(zone, epoch, summary, progress, joinedWorkers, leftWorkers, release)
};

enum class KeyOutcome : std::uint8_t {
    Granted, ///< The attempt may run; no other attempt with this key will be allowed.
    Duplicate, ///< An earlier attempt is recorded; `verdict` is its state.
    Conflict, ///< The key belongs to a request with different content; `verdict` is that of the recorded request.
    Refused, ///< The key has never been recorded: it is malformed or from the future, or the table is full.
};

struct ReserveKeyReply {
    static constexpr MessageType Type = MessageType::ReserveKeyReply;
    KeyOutcome outcome = KeyOutcome::Duplicate;
    base::Verdict verdict = base::Verdict::MayHaveRun;
    std::string answer; ///< The recorded answer, as given to FinishKey; empty if none is kept.

    MSGPACK_DEFINE(outcome, verdict, answer)
};

/// Reserves the idempotency key of a request that must not run twice.
struct ReserveKey {
    static constexpr MessageType Type = MessageType::ReserveKey;
    using Reply = ReserveKeyReply;
    std::chrono::milliseconds issued{0}; ///< Since the Unix epoch.
    std::string unique;
    std::uint64_t digest = 0; ///< Digest of the request's content.

    MSGPACK_DEFINE(issued, unique, digest)
};

struct FinishKeyReply {
    static constexpr MessageType Type = MessageType::FinishKeyReply;
    bool recorded = true;

    MSGPACK_DEFINE(recorded)
};

/// Records the result of the attempt that ReserveKey granted.
struct FinishKey {
    static constexpr MessageType Type = MessageType::FinishKey;
    using Reply = FinishKeyReply;
    std::chrono::milliseconds issued{0};
    std::string unique;
    base::Verdict verdict = base::Verdict::MayHaveRun;
    std::string answer;

    MSGPACK_DEFINE(issued, unique, verdict, answer)
};

struct WatchReply {
    static constexpr MessageType Type = MessageType::WatchReply;
    std::uint64_t index = 0;

    MSGPACK_DEFINE(index)
};

/// Subscribes to the state of one zone: the full state and then each change, as StateUpdate notices.
struct Watch {
    static constexpr MessageType Type = MessageType::Watch;
    using Reply = WatchReply;
    std::string zone;

    MSGPACK_DEFINE(zone)
};

/// The share of a job or service that is assigned to a zone: a range of task indices. Indices of the range that belong
/// to another zone are listed in `finished`.
struct ShareAssignment {
    placement::JobSpec spec;
    std::uint32_t firstIndex = 0;
    std::uint32_t count = 0;
    std::uint64_t assignedAt = 0; ///< Log index. Owners with a lower epoch may have started tasks of the share.
    IndexSet started; ///< Started tasks of a non-repeatable job.
    IndexSet finished;

    MSGPACK_DEFINE(spec, firstIndex, count, assignedAt, started, finished)
};

/// State changes up to a log index. Updates with a lower index than the last applied one are ignored.
struct StateUpdate {
    static constexpr MessageType Type = MessageType::StateUpdate;
    std::uint64_t index = 0;
    bool full = false; ///< Replaces the whole known state; items that are not listed no longer exist.
    bool last = true; ///< False if more parts of the same full state follow.
    std::uint64_t configurationVersion = 0;
    bool configurationChanged = false;
    std::vector<placement::TeamQuota> teams; ///< Added or replaced; in a full update, all.
    std::vector<std::string> removedTeams;
    std::vector<NamedJob> services; ///< Added or replaced; in a full update, all.
    std::vector<std::string> removedServices;
    std::vector<ShareAssignment> assigned;
    std::vector<placement::JobId> cancelled;
    std::vector<placement::JobId> dropped;
    std::optional<ZoneOwner> owner;
    bool workersChanged = false;
    std::vector<std::string> workers; ///< Workers of the zone that may hold tasks; set if `workersChanged` or `full`.

    MSGPACK_DEFINE(index,
                   full,
                   last,
                   configurationVersion,
                   configurationChanged,
                   teams,
                   removedTeams,
                   services,
                   removedServices,
                   assigned,
                   cancelled,
                   dropped,
                   owner,
                   workersChanged,
                   workers)
};

/// Reports which configuration version a watching daemon has applied.
struct WatchAck {
    static constexpr MessageType Type = MessageType::WatchAck;
    std::uint64_t index = 0;
    std::uint64_t configurationVersion = 0;

    MSGPACK_DEFINE(index, configurationVersion)
};

enum class QueryKind : std::uint8_t {
    Configuration,
    ConfigurationStatus,
    Jobs,
    Job,
    Store,
    Workers,
    Explain,
    Drain,
    Undrain,
    Report,
    RunningTasks, ///< Number of running tasks of each job in the scheduler's zone.
    Starts, ///< Task starts by a scheduler since a given time.
    ResourceUsage, ///< CPU time, memory and traffic of the process; supported by every daemon.
};

struct QueryReply {
    static constexpr MessageType Type = MessageType::QueryReply;
    std::string json;

    MSGPACK_DEFINE(json)
};

/// Asks a daemon for information that is shown to an operator.
struct Query {
    static constexpr MessageType Type = MessageType::Query;
    using Reply = QueryReply;
    QueryKind kind = QueryKind::Configuration;
    std::string argument;

    MSGPACK_DEFINE(kind, argument)
};

} // namespace yuccawheel::protocol

YW_MSGPACK_ENUM(yuccawheel::protocol::SubmitOutcome, yuccawheel::protocol::SubmitOutcome::Rejected)
YW_MSGPACK_ENUM(yuccawheel::protocol::KeyOutcome, yuccawheel::protocol::KeyOutcome::Refused)
YW_MSGPACK_ENUM(yuccawheel::protocol::QueryKind, yuccawheel::protocol::QueryKind::ResourceUsage)
