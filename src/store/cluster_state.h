#pragma once

#include "coordination/idempotency_table.h"
#include "protocol/messages.h"
#include "store/log_entry.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace yuccawheel::store
{

/// Replicated state of a job or service.
struct JobRecord {
    placement::JobSpec spec;
    Shares shares;
    protocol::IndexSet started; ///< Tasks that may have been started; used if the job is not repeatable.
    protocol::IndexSet succeeded;
    protocol::IndexSet failed;
    protocol::IndexSet notRun;
    protocol::IndexSet mayHaveRun;
    bool cancelled = false;
    WallTime acceptedAt{0};
    WallTime doneAt{0}; ///< Zero until every task has a final outcome.

    MSGPACK_DEFINE(spec, shares, started, succeeded, failed, notRun, mayHaveRun, cancelled, acceptedAt, doneAt)

    /// Indices of the tasks that have an outcome, "may have run" included.
    protocol::IndexSet finishedTasks() const;
    bool isDone() const
    {
        return doneAt.count() != 0;
    }
    bool hasShareIn(std::string_view zone) const;
    /// Indices of the tasks that are assigned to a zone.
    protocol::IndexSet indicesAssignedTo(std::string_view zone) const;
    /// Verdict on the whole job: `NotRun` only if it is certain that no task ran.
    base::Verdict verdict() const;
};

/// Changes made by one log entry; the leader derives the watchers' updates from it.
struct StateChange {
    bool configuration = false;
    std::vector<std::string> teams; ///< Names added, replaced or removed.
    std::vector<std::string> services; ///< Names added, replaced or removed.
    std::vector<placement::JobId> assigned; ///< New jobs, and jobs whose shares changed.
    std::vector<placement::JobId> cancelled;
    std::vector<placement::JobId> forgotten;
    std::optional<std::string> ownerChangedIn; ///< Zone whose owner changed.
    std::optional<std::string> workersChangedIn; ///< Zone whose list of workers changed.
};

/// Reply to the request behind an entry. Entries without a reply of their own yield std::monostate.
using ApplyReply = std::variant<std::monostate,
                                protocol::SubmitReply,
                                protocol::CancelJobReply,
                                protocol::AcquireZoneReply,
                                protocol::ReserveKeyReply>;

struct ApplyResult {
    ApplyReply reply;
    StateChange change;
};

/// Replicated state machine of the store: configuration, jobs with their zone assignments, zone owners, workers and
/// idempotency keys. Deterministic: the same entries give the same state on every replica.
class ClusterState
{
public:
    /// Applies a committed entry. Indices must increase but may have gaps.
    ApplyResult apply(std::uint64_t index, const LogEntry &entry);

    std::string snapshot() const;
    static tl::expected<ClusterState, protocol::DecodeError> restore(std::string_view bytes);

    std::uint64_t index() const
    {
        return data_.index;
    }
    std::uint64_t configurationVersion() const
    {
        return data_.version;
    }
    const std::map<std::string, placement::TeamQuota> &teams() const
    {
        return data_.teams;
    }
    /// Configured services by name, with the job that runs each.
    const std::map<std::string, placement::JobId> &services() const
    {
        return data_.services;
    }
    const std::map<placement::JobId, JobRecord> &jobs() const
    {
        return data_.jobs;
    }
    const JobRecord *findJob(placement::JobId id) const;
    const protocol::ZoneOwner *owner(const std::string &zone) const;
    /// Names of the workers of a zone that may run tasks.
    const std::set<std::string> &workers(const std::string &zone) const;
    /// Reply to the first submission with this id; null if unknown or evicted.
    const protocol::SubmitReply *findSubmission(const std::string &submission) const;

private:
    struct RecordedReply {
        std::uint64_t contentHash = 0;
        protocol::SubmitReply reply;
        MSGPACK_DEFINE(contentHash, reply)
    };
    struct Version {
        std::uint64_t number = 0;
        std::string submission;
        MSGPACK_DEFINE(number, submission)
    };
    struct Data {
        std::uint64_t index = 0;
        std::uint64_t version = 0;
        std::map<std::string, placement::TeamQuota> teams;
        std::map<std::string, placement::JobId> services;
        std::map<placement::JobId, JobRecord> jobs;
        std::map<std::string, protocol::ZoneOwner> owners;
        std::map<std::string, std::set<std::string>> workers;
        std::map<std::string, RecordedReply> submissions;
        std::deque<std::string> submissionOrder;
        std::deque<Version> versions;
        placement::JobId nextJob = 1;
        MSGPACK_DEFINE(
            index, version, teams, services, jobs, owners, workers, submissions, submissionOrder, versions, nextJob)
    };

    ApplyReply applyEntry(const SubmissionEntry &entry, StateChange &change);
    ApplyReply applyEntry(const CancelEntry &entry, StateChange &change);
    ApplyReply applyEntry(const ZoneEntry &entry, StateChange &change);
    ApplyReply applyEntry(const ProgressEntry &entry, StateChange &change);
    ApplyReply applyEntry(const MoveEntry &entry, StateChange &change);
    ApplyReply applyEntry(const ForgetEntry &entry, StateChange &change);
    ApplyReply applyEntry(const ReserveKeyEntry &entry, StateChange &change);
    ApplyReply applyEntry(const FinishKeyEntry &entry, StateChange &change);

    protocol::SubmitReply acceptSubmission(const SubmissionEntry &entry, StateChange &change);
    protocol::SubmitReply versionConflict(std::uint64_t expected) const;
    void changeConfiguration(const SubmissionEntry &entry, StateChange &change);
    placement::JobId addJob(const placement::JobSpec &spec, const Shares &shares, WallTime at, StateChange &change);
    void cancelJob(JobRecord &record, WallTime at, StateChange &change);
    void recordReply(const std::string &submission, std::uint64_t contentHash, const protocol::SubmitReply &reply);
    void moveShares(JobRecord &record, const MoveEntry::Move &move, WallTime at);
    void updateWorkers(const ProgressEntry &entry, StateChange &change);
    static void recordProgress(JobRecord &record, const protocol::JobProgress &progress, WallTime at);

    Data data_;
    coordination::IdempotencyTable keys_;
};

} // namespace yuccawheel::store
