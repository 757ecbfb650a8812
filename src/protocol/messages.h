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
    VersionConflict, ///< Another submission made the next version first.
    SubmissionConflict, ///< The submission id was used for other content.
    Rejected, ///< The content contradicts what is in force; `message` says how.
};

struct SubmitReply {
    static constexpr MessageType Type = MessageType::SubmitReply;
    SubmitOutcome outcome = SubmitOutcome::Accepted;
    std::uint64_t version = 0;
    std::vector<NamedJob> jobs;
    bool resent = false;
    std::uint64_t winnerVersion = 0;
    std::string winnerSubmission;
    std::string message;

    bool operator==(const SubmitReply &) const = default;
    MSGPACK_DEFINE(outcome, version, jobs, resent, winnerVersion, winnerSubmission, message)
};

/// An operator's document. Services and teams change the configuration; jobs do not.
struct Submit {
    static constexpr MessageType Type = MessageType::Submit;
    using Reply = SubmitReply;
    std::string submission;
    std::optional<std::uint64_t> expectedVersion; ///< Needed if the configuration changes.
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
    bool done = false; ///< Every task has its final word.

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
    std::uint32_t takeovers = 0; ///< How many owners the zone has had, this one included.
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
    ZoneOwner candidate; ///< Its epoch and takeovers are not read.

    MSGPACK_DEFINE(candidate)
};

/// News of the tasks of one job since the last report.
struct JobProgress {
    placement::JobId job = 0;
    IndexSet started; ///< Of a job that is not repeatable: about to be started.
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

/// Keeps a zone's ownership and reports progress, which is agreed on before the answer.
struct RenewZone {
    static constexpr MessageType Type = MessageType::RenewZone;
    using Reply = RenewZoneReply;
    std::string zone;
    std::uint64_t epoch = 0;
    ZoneSummary summary;
    std::vector<JobProgress> progress;
    std::vector<std::string> joinedWorkers; ///< Work is placed on a worker only after this was agreed on.
    std::vector<std::string> leftWorkers; ///< Their leases have run out.
    bool release = false; ///< The owner gives the zone up.

    MSGPACK_DEFINE(zone, epoch, summary, progress, joinedWorkers, leftWorkers, release)
};

enum class KeyOutcome : std::uint8_t {
    Granted, ///< The attempt may run; no other will be allowed.
    Duplicate, ///< An earlier attempt was recorded; `verdict` says what is known of it.
    Conflict, ///< The key belongs to a request with other content; `verdict` is that request's.
    Refused, ///< Nothing was recorded and nothing ever was: malformed, from the future, or the table is full.
};

struct ReserveKeyReply {
    static constexpr MessageType Type = MessageType::ReserveKeyReply;
    KeyOutcome outcome = KeyOutcome::Duplicate;
    base::Verdict verdict = base::Verdict::MayHaveRun;
    std::string answer; ///< As it was given to FinishKey; empty if it is not kept.

    MSGPACK_DEFINE(outcome, verdict, answer)
};

/// Asks for the right to run a request that must not run twice.
struct ReserveKey {
    static constexpr MessageType Type = MessageType::ReserveKey;
    using Reply = ReserveKeyReply;
    std::chrono::milliseconds issued{0}; ///< Since the Unix epoch.
    std::string unique;
    std::uint64_t digest = 0; ///< Of the request's content.

    MSGPACK_DEFINE(issued, unique, digest)
};

struct FinishKeyReply {
    static constexpr MessageType Type = MessageType::FinishKeyReply;
    bool recorded = true;

    MSGPACK_DEFINE(recorded)
};

/// Tells what became of the attempt that a reservation allowed.
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

/// Asks for the state that concerns one zone, and for each change after it, as StateUpdate notices.
struct Watch {
    static constexpr MessageType Type = MessageType::Watch;
    using Reply = WatchReply;
    std::string zone;

    MSGPACK_DEFINE(zone)
};

/// A share of a job or service that was given to a zone: a range of task indices. Indices of the range that are
/// another zone's stand in `finished`.
struct ShareAssignment {
    placement::JobSpec spec;
    std::uint32_t firstIndex = 0;
    std::uint32_t count = 0;
    std::uint64_t assignedAt = 0; ///< Log index. An owner of a lower epoch may have started its tasks.
    IndexSet started; ///< Of a job that is not repeatable.
    IndexSet finished;

    MSGPACK_DEFINE(spec, firstIndex, count, assignedAt, started, finished)
};

/// Changes up to a place in the log. Updates of lower indices than the last one applied are ignored.
struct StateUpdate {
    static constexpr MessageType Type = MessageType::StateUpdate;
    std::uint64_t index = 0;
    bool full = false; ///< Replaces all that was known: what is not named any more was dropped.
    bool last = true; ///< False if further parts of the same full state follow.
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
    std::vector<std::string> workers; ///< If changed, or in a full update: the zone's workers that may hold tasks.

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

/// Says which configuration a watching daemon has in force.
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
    RunningTasks, ///< Of each job, in the scheduler's zone.
    Starts, ///< What a scheduler started since a time.
    ResourceUsage, ///< What the process has used; any daemon answers.
};

struct QueryReply {
    static constexpr MessageType Type = MessageType::QueryReply;
    std::string json;

    MSGPACK_DEFINE(json)
};

/// Asks a store replica or a scheduler for something to show to an operator.
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
