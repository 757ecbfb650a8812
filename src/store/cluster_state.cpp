#include "store/cluster_state.h"

#include "base/invariant.h"
#include "coordination/checksum.h"

#include <algorithm>

namespace yuccawheel::store
{

namespace
{

constexpr std::size_t MaxRememberedSubmissions = 100'000;
constexpr std::size_t MaxRememberedVersions = 1'000;

// The hash covers the expected version, so the same document submitted for another version counts as other content.
std::uint64_t contentHash(const protocol::Submit &submit)
{
    return coordination::checksum(protocol::encode(submit));
}

// Compares all fields except the job id.
bool isSameService(placement::JobSpec left, const placement::JobSpec &right)
{
    left.id = right.id;
    return protocol::encode(left) == protocol::encode(right);
}

// Returns whether the source zone of a move still owns every index that the move reassigns.
bool isStillOwnedBySource(const JobRecord &record, const MoveEntry::Move &move)
{
    protocol::IndexSet foreign;
    for (const Share &share : move.to) {
        foreign.insert(protocol::IndexRange{share.firstIndex, share.firstIndex + share.count});
    }
    foreign.erase(record.indicesAssignedTo(move.from));
    return foreign.empty() && record.hasShareIn(move.from);
}

} // namespace

protocol::IndexSet JobRecord::finishedTasks() const
{
    protocol::IndexSet all = succeeded;
    all.insert(failed);
    all.insert(notRun);
    all.insert(mayHaveRun);
    return all;
}

bool JobRecord::hasShareIn(std::string_view zone) const
{
    return std::any_of(shares.begin(), shares.end(), [zone](const Share &share) { return share.zone == zone; });
}

protocol::IndexSet JobRecord::indicesAssignedTo(std::string_view zone) const
{
    protocol::IndexSet indices;
    for (const Share &share : shares) {
        if (share.zone == zone) {
            indices.insert(protocol::IndexRange{share.firstIndex, share.firstIndex + share.count});
        }
    }
    return indices;
}

base::Verdict JobRecord::verdict() const
{
    if (!succeeded.empty() || !failed.empty()) {
        return base::Verdict::Ran;
    }
    return notRun.size() == spec.tasks ? base::Verdict::NotRun : base::Verdict::MayHaveRun;
}

ApplyResult ClusterState::apply(std::uint64_t index, const LogEntry &entry)
{
    YW_INVARIANT(index > data_.index, "log entries are applied once and in order");
    data_.index = index;
    ApplyResult result;
    result.reply = std::visit([&](const auto &value) { return applyEntry(value, result.change); }, entry);
    return result;
}

const JobRecord *ClusterState::findJob(placement::JobId id) const
{
    const auto found = data_.jobs.find(id);
    return found == data_.jobs.end() ? nullptr : &found->second;
}

const protocol::ZoneOwner *ClusterState::owner(const std::string &zone) const
{
    const auto found = data_.owners.find(zone);
    return found == data_.owners.end() ? nullptr : &found->second;
}

const std::set<std::string> &ClusterState::workers(const std::string &zone) const
{
    static const std::set<std::string> none;
    const auto found = data_.workers.find(zone);
    return found == data_.workers.end() ? none : found->second;
}

const protocol::SubmitReply *ClusterState::findSubmission(const std::string &submission) const
{
    const auto found = data_.submissions.find(submission);
    return found == data_.submissions.end() ? nullptr : &found->second.reply;
}

// A resent submission gets the first reply again, even if the state has changed since.
ApplyReply ClusterState::applyEntry(const SubmissionEntry &entry, StateChange &change)
{
    const std::uint64_t hash = contentHash(entry.submit);
    const auto known = data_.submissions.find(entry.submit.submission);
    if (known != data_.submissions.end()) {
        protocol::SubmitReply reply = known->second.reply;
        if (known->second.contentHash != hash) {
            reply = {};
            reply.outcome = protocol::SubmitOutcome::SubmissionConflict;
            reply.message = "the submission id was already used for different content";
        }
        reply.resent = true;
        return reply;
    }
    const protocol::SubmitReply reply = acceptSubmission(entry, change);
    recordReply(entry.submit.submission, hash, reply);
    return reply;
}

protocol::SubmitReply ClusterState::acceptSubmission(const SubmissionEntry &entry, StateChange &change)
{
    const bool changesConfiguration = entry.submit.changesConfiguration();
    if (changesConfiguration && entry.submit.expectedVersion != data_.version) {
        return versionConflict(entry.submit.expectedVersion.value_or(0));
    }
    protocol::SubmitReply reply;
    if (changesConfiguration) {
        changeConfiguration(entry, change);
    }
    for (std::size_t i = 0; i < entry.submit.jobs.size(); ++i) {
        const placement::JobSpec &spec = entry.submit.jobs[i];
        reply.jobs.push_back({spec.name, addJob(spec, entry.jobShares.at(i), entry.acceptedAt, change)});
    }
    reply.version = data_.version;
    return reply;
}

protocol::SubmitReply ClusterState::versionConflict(std::uint64_t expected) const
{
    protocol::SubmitReply reply;
    reply.outcome = protocol::SubmitOutcome::VersionConflict;
    reply.version = data_.version;
    for (const Version &version : data_.versions) {
        if (version.number == expected + 1) {
            reply.winnerVersion = version.number;
            reply.winnerSubmission = version.submission;
        }
    }
    return reply;
}

void ClusterState::changeConfiguration(const SubmissionEntry &entry, StateChange &change)
{
    ++data_.version;
    data_.versions.push_back({data_.version, entry.submit.submission});
    if (data_.versions.size() > MaxRememberedVersions) {
        data_.versions.pop_front();
    }
    change.configuration = true;
    for (const std::string &team : entry.submit.removedTeams) {
        data_.teams.erase(team);
        change.teams.push_back(team);
    }
    for (const placement::TeamQuota &team : entry.submit.teams) {
        data_.teams[team.team] = team;
        change.teams.push_back(team.team);
    }
    for (const std::string &service : entry.submit.removedServices) {
        const auto found = data_.services.find(service);
        if (found != data_.services.end()) {
            cancelJob(data_.jobs.at(found->second), entry.acceptedAt, change);
            data_.services.erase(found);
            change.services.push_back(service);
        }
    }
    for (std::size_t i = 0; i < entry.submit.services.size(); ++i) {
        const placement::JobSpec &spec = entry.submit.services[i];
        const auto found = data_.services.find(spec.name);
        if (found != data_.services.end()) {
            JobRecord &current = data_.jobs.at(found->second);
            if (isSameService(spec, current.spec)) {
                continue;
            }
            cancelJob(current, entry.acceptedAt, change);
        }
        change.services.push_back(spec.name);
        data_.services[spec.name] = addJob(spec, entry.serviceShares.at(i), entry.acceptedAt, change);
    }
}

placement::JobId
ClusterState::addJob(const placement::JobSpec &spec, const Shares &shares, WallTime at, StateChange &change)
{
    JobRecord record;
    record.spec = spec;
    record.spec.id = data_.nextJob++;
    record.shares = shares;
    for (Share &share : record.shares) {
        share.assignedAt = data_.index;
    }
    record.acceptedAt = at;
    const placement::JobId id = record.spec.id;
    data_.jobs.emplace(id, std::move(record));
    change.assigned.push_back(id);
    return id;
}

void ClusterState::cancelJob(JobRecord &record, WallTime at, StateChange &change)
{
    if (record.cancelled || record.isDone()) {
        return;
    }
    record.cancelled = true;
    change.cancelled.push_back(record.spec.id);
    if (record.shares.empty()) {
        record.notRun.insert(protocol::IndexRange{0, record.spec.tasks});
        record.doneAt = at;
    }
}

void ClusterState::recordReply(const std::string &submission, std::uint64_t hash, const protocol::SubmitReply &reply)
{
    data_.submissions[submission] = {hash, reply};
    data_.submissionOrder.push_back(submission);
    if (data_.submissionOrder.size() > MaxRememberedSubmissions) {
        data_.submissions.erase(data_.submissionOrder.front());
        data_.submissionOrder.pop_front();
    }
}

ApplyReply ClusterState::applyEntry(const CancelEntry &entry, StateChange &change)
{
    const auto found = data_.jobs.find(entry.job);
    if (found == data_.jobs.end()) {
        return protocol::CancelJobReply{base::Verdict::MayHaveRun, true};
    }
    cancelJob(found->second, entry.at, change);
    return protocol::CancelJobReply{found->second.verdict(), found->second.isDone()};
}

// The epoch is the log index of the takeover, so it increases with every change of owner.
ApplyReply ClusterState::applyEntry(const ZoneEntry &entry, StateChange &change)
{
    const protocol::ZoneOwner *const current = owner(entry.candidate.zone);
    if ((current == nullptr ? 0 : current->epoch) != entry.replacedEpoch) {
        return protocol::AcquireZoneReply{current == nullptr ? protocol::ZoneOwner{} : *current};
    }
    protocol::ZoneOwner next = entry.candidate;
    next.epoch = data_.index;
    next.takeovers = current == nullptr ? 1 : current->takeovers + 1;
    data_.owners[next.zone] = next;
    change.ownerChangedIn = next.zone;
    return protocol::AcquireZoneReply{next};
}

// A zone reports only on indices assigned to it: after a share has moved, reports of the former zone are ignored.
ApplyReply ClusterState::applyEntry(const ProgressEntry &entry, StateChange &change)
{
    const protocol::ZoneOwner *const current = owner(entry.zone);
    if (current == nullptr || current->epoch != entry.epoch) {
        return std::monostate{};
    }
    for (protocol::JobProgress progress : entry.progress) {
        const auto found = data_.jobs.find(progress.job);
        if (found == data_.jobs.end()) {
            continue;
        }
        const protocol::IndexSet own = found->second.indicesAssignedTo(entry.zone);
        for (protocol::IndexSet *const set :
             {&progress.started, &progress.succeeded, &progress.failed, &progress.notRun, &progress.mayHaveRun}) {
            set->intersect(own);
        }
        recordProgress(found->second, progress, entry.at);
    }
    updateWorkers(entry, change);
    return std::monostate{};
}

void ClusterState::updateWorkers(const ProgressEntry &entry, StateChange &change)
{
    if (entry.joinedWorkers.empty() && entry.leftWorkers.empty()) {
        return;
    }
    std::set<std::string> &workers = data_.workers[entry.zone];
    workers.insert(entry.joinedWorkers.begin(), entry.joinedWorkers.end());
    for (const std::string &worker : entry.leftWorkers) {
        workers.erase(worker);
    }
    change.workersChangedIn = entry.zone;
}

// The first certain outcome of a task is final; "may have run" is replaced by a later certain outcome.
void ClusterState::recordProgress(JobRecord &record, const protocol::JobProgress &progress, WallTime at)
{
    const auto recordOutcome = [&record](protocol::IndexSet &target, protocol::IndexSet outcomes) {
        outcomes.erase(record.succeeded);
        outcomes.erase(record.failed);
        outcomes.erase(record.notRun);
        target.insert(outcomes);
        if (&target != &record.mayHaveRun) {
            record.mayHaveRun.erase(outcomes);
        }
    };
    record.started.insert(progress.started);
    recordOutcome(record.succeeded, progress.succeeded);
    recordOutcome(record.failed, progress.failed);
    recordOutcome(record.notRun, progress.notRun);
    recordOutcome(record.mayHaveRun, progress.mayHaveRun);
    if (!record.isDone() && record.finishedTasks().size() >= record.spec.tasks) {
        record.doneAt = at;
    }
}

// The move also raises the lost zone's epoch, which fences off late progress reports of its former owner.
ApplyReply ClusterState::applyEntry(const MoveEntry &entry, StateChange &change)
{
    const auto lost = data_.owners.find(entry.lostZone);
    if ((lost == data_.owners.end() ? 0 : lost->second.epoch) != entry.lostEpoch) {
        return std::monostate{};
    }
    if (lost != data_.owners.end()) {
        lost->second.epoch = data_.index;
        change.ownerChangedIn = entry.lostZone;
    }
    for (const MoveEntry::Move &move : entry.moves) {
        const auto found = data_.jobs.find(move.job);
        if (found != data_.jobs.end() && !found->second.isDone()) {
            moveShares(found->second, move, entry.at);
            change.assigned.push_back(move.job);
        }
    }
    return std::monostate{};
}

// Tasks of a non-repeatable job that may have been started are not moved but recorded as "may have run": whether they
// ran can no longer be determined.
void ClusterState::moveShares(JobRecord &record, const MoveEntry::Move &move, WallTime at)
{
    if (move.from.empty() ? !record.shares.empty() : !isStillOwnedBySource(record, move)) {
        return; // A duplicate proposal, or the share was moved in the meantime.
    }
    if (!record.spec.repeatable) {
        protocol::IndexSet maybeStarted = record.indicesAssignedTo(move.from);
        maybeStarted.intersect(record.started);
        maybeStarted.erase(record.finishedTasks());
        record.mayHaveRun.insert(maybeStarted);
    }
    std::erase_if(record.shares, [&move](const Share &share) { return share.zone == move.from; });
    for (Share share : move.to) {
        share.assignedAt = data_.index;
        record.shares.push_back(std::move(share));
    }
    if (record.finishedTasks().size() >= record.spec.tasks) {
        record.doneAt = at;
    }
}

ApplyReply ClusterState::applyEntry(const ForgetEntry &entry, StateChange &change)
{
    for (const placement::JobId job : entry.jobs) {
        const auto found = data_.jobs.find(job);
        if (found != data_.jobs.end() && found->second.isDone()) {
            data_.jobs.erase(found);
            change.forgotten.push_back(job);
        }
    }
    return std::monostate{};
}

ApplyReply ClusterState::applyEntry(const ReserveKeyEntry &entry, StateChange & /*change*/)
{
    const coordination::IdempotencyKey key{coordination::WallTime(entry.reserve.issued), entry.reserve.unique};
    const auto status = keys_.begin(key, coordination::WallTime(entry.at), entry.reserve.digest);
    protocol::ReserveKeyReply reply{protocol::KeyOutcome::Duplicate, status.verdict, status.answer};
    switch (status.state) {
    case coordination::KeyState::Started:
        reply.outcome = protocol::KeyOutcome::Granted;
        break;
    case coordination::KeyState::Conflict:
        reply.outcome = protocol::KeyOutcome::Conflict;
        break;
    case coordination::KeyState::Refused:
        reply.outcome = protocol::KeyOutcome::Refused;
        break;
    case coordination::KeyState::Running:
    case coordination::KeyState::Finished:
    case coordination::KeyState::Expired:
        break;
    }
    return reply;
}

ApplyReply ClusterState::applyEntry(const FinishKeyEntry &entry, StateChange & /*change*/)
{
    const coordination::IdempotencyKey key{coordination::WallTime(entry.finish.issued), entry.finish.unique};
    keys_.finish(key, entry.finish.verdict, entry.finish.answer);
    return std::monostate{};
}

std::string ClusterState::snapshot() const
{
    return protocol::encode(std::pair(data_, keys_.encode()));
}

tl::expected<ClusterState, protocol::DecodeError> ClusterState::restore(std::string_view bytes)
{
    auto parts = protocol::decode<std::pair<Data, std::string>>(bytes, protocol::Origin::OwnDisk);
    if (!parts) {
        return tl::make_unexpected(parts.error());
    }
    ClusterState state;
    state.data_ = std::move(parts->first);
    if (!state.keys_.decode(parts->second)) {
        return tl::make_unexpected(protocol::DecodeError{"malformed idempotency key table"});
    }
    return state;
}

} // namespace yuccawheel::store
