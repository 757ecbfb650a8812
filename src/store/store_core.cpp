#include "store/store_core.h"

#include "base/invariant.h"
#include "base/log.h"

#include <algorithm>

namespace yuccawheel::store
{

using protocol::ErrorCode;
using protocol::MessageType;

StoreCore::StoreCore(coordination::Replica &replica, StoreOptions options, base::TimePoint now)
    : replica_(replica)
    , options_(std::move(options))
    , leaderSince_(now)
{
}

bool StoreCore::isLeader() const
{
    return replica_.log().role() == coordination::Role::Leader;
}

void StoreCore::receive(const coordination::Message &message, base::TimePoint now)
{
    replica_.receive(message, now);
}

void StoreCore::handOver(base::TimePoint now)
{
    if (replica_.handOverLeadership(now)) {
        base::logInfo("store_hands_over").with("term", replica_.log().term());
    }
}

void StoreCore::onClientDisconnected(ClientId client)
{
    watchers_.erase(client);
}

void StoreCore::handleRequest(const ClientRequest &request, base::TimePoint now, WallTime wall)
{
    if (!isLeader()) {
        if (request.frame.kind == protocol::FrameKind::Request) {
            refuse(request.client,
                   request.frame.correlation,
                   ErrorCode::NotLeader,
                   "this replica is not the leader",
                   leaderAddress());
        }
        return;
    }
    switch (request.frame.type) {
    case MessageType::Submit:
        onSubmit(request, wall);
        break;
    case MessageType::CancelJob:
        onCancel(request, wall);
        break;
    case MessageType::AcquireZone:
        onAcquire(request, now);
        break;
    case MessageType::RenewZone:
        onRenew(request, now, wall);
        break;
    case MessageType::ReserveKey:
        onReserveKey(request, wall);
        break;
    case MessageType::FinishKey:
        onFinishKey(request);
        break;
    case MessageType::Watch:
        onWatch(request);
        break;
    case MessageType::WatchAck:
        onWatchAck(request);
        break;
    case MessageType::Query:
        onQuery(request, now);
        break;
    default:
        refuse(request.client, request.frame.correlation, ErrorCode::BadRequest, "not a request for a store replica");
        break;
    }
}

template <typename Message>
std::optional<Message> StoreCore::decodeRequest(const ClientRequest &request)
{
    auto message = protocol::decode<Message>(request.frame.payload);
    if (!message) {
        refuse(request.client, request.frame.correlation, ErrorCode::BadRequest, message.error().message);
        return std::nullopt;
    }
    return std::move(*message);
}

// Proposes an entry and replies to the request with the result of applying it.
template <typename Reply>
void StoreCore::proposeAndReply(const LogEntry &entry, const ClientRequest &request)
{
    const ClientId client = request.client;
    const std::uint64_t correlation = request.frame.correlation;
    propose(entry, client, correlation, [this, client, correlation](const ApplyReply &applied) {
        reply(client, correlation, std::get<Reply>(applied));
    });
}

void StoreCore::onSubmit(const ClientRequest &request, WallTime wall)
{
    const auto submit = decodeRequest<protocol::Submit>(request);
    if (!submit) {
        return;
    }
    SubmissionEntry entry;
    entry.submit = *submit;
    entry.acceptedAt = wall;
    // A resent submission gets its first reply and must not reserve capacity in the zones again.
    if (state_.findSubmission(submit->submission) == nullptr) {
        for (const placement::JobSpec &service : submit->services) {
            entry.serviceShares.push_back(assigner_.assign(service));
        }
        for (const placement::JobSpec &job : submit->jobs) {
            entry.jobShares.push_back(assigner_.assign(job));
        }
    }
    entry.serviceShares.resize(submit->services.size());
    entry.jobShares.resize(submit->jobs.size());
    proposeAndReply<protocol::SubmitReply>(entry, request);
}

void StoreCore::onCancel(const ClientRequest &request, WallTime wall)
{
    const auto cancel = decodeRequest<protocol::CancelJob>(request);
    if (!cancel) {
        return;
    }
    if (state_.findJob(cancel->job) == nullptr) {
        refuse(request.client, request.frame.correlation, ErrorCode::NotFound, "no such job");
        return;
    }
    proposeAndReply<protocol::CancelJobReply>(CancelEntry{cancel->job, wall}, request);
}

// A zone can be taken over if its owner released it, was restarted, or has not renewed its lease. A new leader has not
// received any renewals yet, so it counts every lease from the start of its own leadership.
void StoreCore::onAcquire(const ClientRequest &request, base::TimePoint now)
{
    const auto acquire = decodeRequest<protocol::AcquireZone>(request);
    if (!acquire) {
        return;
    }
    const std::string &zone = acquire->candidate.zone;
    const protocol::ZoneOwner *const owner = state_.owner(zone);
    if (owner != nullptr && owner->node != acquire->candidate.node) {
        const ZoneStatus &status = zones_[zone];
        const bool expired = now - std::max(status.lastRenewal, leaderSince_) > options_.zoneLease;
        if (!status.released && !expired) {
            refuse(request.client,
                   request.frame.correlation,
                   ErrorCode::NotOwner,
                   "the zone is owned by " + owner->node,
                   owner->workerAddress);
            return;
        }
    }
    const ZoneEntry entry{acquire->candidate, owner == nullptr ? 0 : owner->epoch};
    const ClientId client = request.client;
    const std::uint64_t correlation = request.frame.correlation;
    propose(entry, client, correlation, [this, client, correlation, zone, now](const ApplyReply &applied) {
        zones_[zone].released = false;
        zones_[zone].lastRenewal = now;
        reply(client, correlation, std::get<protocol::AcquireZoneReply>(applied));
    });
}

void StoreCore::onRenew(const ClientRequest &request, base::TimePoint now, WallTime wall)
{
    const auto renew = decodeRequest<protocol::RenewZone>(request);
    if (!renew) {
        return;
    }
    const ClientId client = request.client;
    const std::uint64_t correlation = request.frame.correlation;
    const protocol::ZoneOwner *const owner = state_.owner(renew->zone);
    const std::uint64_t epoch = owner == nullptr ? 0 : owner->epoch;
    if (epoch != renew->epoch) {
        // A lower epoch in the state means that this leader has not applied the whole log yet.
        refuse(client,
               correlation,
               epoch < renew->epoch ? ErrorCode::NotReady : ErrorCode::NotOwner,
               "the renewal's epoch is not the current epoch of the zone");
        return;
    }
    ZoneStatus &status = zones_[renew->zone];
    if (status.moving) {
        refuse(client, correlation, ErrorCode::NotReady, "shares of the zone are being moved to other zones");
        return;
    }
    status.lastRenewal = now;
    status.summary = renew->summary;
    status.released = renew->release;
    assigner_.update(renew->zone, {renew->summary, !renew->release});
    const auto answer = [this, client, correlation](const ApplyReply &) {
        reply(client, correlation, protocol::RenewZoneReply{state_.configurationVersion()});
    };
    if (renew->progress.empty() && renew->joinedWorkers.empty() && renew->leftWorkers.empty()) {
        answer({});
        return;
    }
    propose(ProgressEntry{renew->zone, renew->epoch, renew->progress, renew->joinedWorkers, renew->leftWorkers, wall},
            client,
            correlation,
            answer);
}

void StoreCore::onReserveKey(const ClientRequest &request, WallTime wall)
{
    const auto reserve = decodeRequest<protocol::ReserveKey>(request);
    if (!reserve) {
        return;
    }
    proposeAndReply<protocol::ReserveKeyReply>(ReserveKeyEntry{*reserve, wall}, request);
}

void StoreCore::onFinishKey(const ClientRequest &request)
{
    const auto finish = decodeRequest<protocol::FinishKey>(request);
    if (!finish) {
        return;
    }
    const ClientId client = request.client;
    const std::uint64_t correlation = request.frame.correlation;
    propose(FinishKeyEntry{*finish}, client, correlation, [this, client, correlation](const ApplyReply &) {
        reply(client, correlation, protocol::FinishKeyReply{});
    });
}

// The read barrier fails on a partitioned former leader, so no daemon starts to watch an outdated state.
void StoreCore::onWatch(const ClientRequest &request)
{
    const auto watch = decodeRequest<protocol::Watch>(request);
    if (!watch) {
        return;
    }
    const ClientId client = request.client;
    const std::uint64_t correlation = request.frame.correlation;
    readBarrier(client, correlation, [this, client, correlation, zone = watch->zone, identity = request.from] {
        watchers_[client] = {zone, identity, 0};
        reply(client, correlation, protocol::WatchReply{state_.index()});
        sendFullState(client, zone);
    });
}

void StoreCore::onWatchAck(const ClientRequest &request)
{
    const auto acknowledged = protocol::decode<protocol::WatchAck>(request.frame.payload);
    const auto watcher = watchers_.find(request.client);
    if (acknowledged && watcher != watchers_.end()) {
        watcher->second.version = acknowledged->configurationVersion;
    }
}

void StoreCore::onQuery(const ClientRequest &request, base::TimePoint now)
{
    const auto query = decodeRequest<protocol::Query>(request);
    if (!query) {
        return;
    }
    const ClientId client = request.client;
    const std::uint64_t correlation = request.frame.correlation;
    readBarrier(client, correlation, [this, client, correlation, query = *query, now] {
        const auto answer = answerQuery(query, now);
        if (answer) {
            reply(client, correlation, protocol::QueryReply{*answer});
        } else {
            reply(client, correlation, answer.error());
        }
    });
}

void StoreCore::propose(const LogEntry &entry,
                        ClientId client,
                        std::uint64_t correlation,
                        std::function<void(const ApplyReply &)> onApplied)
{
    const auto position = replica_.propose(encodeEntry(entry));
    if (!position) {
        const bool notLeader = position.error().failure == coordination::ProposeFailure::NotLeader;
        refuse(client,
               correlation,
               notLeader ? ErrorCode::NotLeader : ErrorCode::Overloaded,
               "the log accepts no entry now",
               leaderAddress());
        return;
    }
    pending_[position->index] = {client, correlation, position->term, std::move(onApplied)};
}

void StoreCore::proposeWithoutReply(const LogEntry &entry)
{
    if (!replica_.propose(encodeEntry(entry))) {
        base::logDebug("entry_not_proposed").with("kind", entry.index());
    }
}

void StoreCore::readBarrier(ClientId client, std::uint64_t correlation, std::function<void()> serve)
{
    const std::uint64_t read = nextRead_++;
    if (!replica_.requestRead(read)) {
        refuse(client, correlation, ErrorCode::NotLeader, "the log accepts no read now", leaderAddress());
        return;
    }
    reads_[read] = {client, correlation, std::move(serve)};
}

void StoreCore::onReadReady(const coordination::ReadReady &ready)
{
    auto node = reads_.extract(ready.readId);
    if (node.empty()) {
        return;
    }
    if (ready.refused) {
        refuse(node.mapped().client,
               node.mapped().correlation,
               ErrorCode::NotLeader,
               "this replica lost the leadership",
               leaderAddress());
    } else {
        node.mapped().serve();
    }
}

coordination::StorageResult<StoreOutput> StoreCore::flush(base::TimePoint now)
{
    auto result = replica_.flush(now);
    if (!result) {
        return tl::make_unexpected(result.error());
    }
    if (result->snapshot) {
        restoreSnapshot(*result->snapshot);
    }
    for (const coordination::Entry &entry : result->committed) {
        apply(entry);
    }
    if (isLeader() != wasLeader_) {
        wasLeader_ = isLeader();
        if (wasLeader_) {
            onLeadershipGained(now);
        } else {
            watchers_.clear();
        }
    }
    for (const coordination::ReadReady &ready : result->reads) {
        onReadReady(ready);
    }
    if (replica_.isSnapshotDue() && !result->committed.empty()) {
        const auto saved = replica_.saveSnapshot(result->committed.back().index, state_.snapshot());
        if (!saved) {
            return tl::make_unexpected(saved.error());
        }
    }
    StoreOutput output = std::exchange(output_, {});
    output.messages = std::move(result->messages);
    output.more = result->hasMore;
    return output;
}

void StoreCore::restoreSnapshot(const std::string &snapshot)
{
    auto state = ClusterState::restore(snapshot);
    YW_INVARIANT(state.has_value(), "a snapshot with a valid checksum can be decoded");
    state_ = std::move(*state);
}

void StoreCore::apply(const coordination::Entry &entry)
{
    ApplyResult result;
    if (entry.kind == coordination::EntryKind::Application) {
        const auto decoded = decodeEntry(entry.data);
        YW_INVARIANT(decoded.has_value(), "a committed entry can be decoded");
        result = state_.apply(entry.index, *decoded);
        if (isLeader()) {
            notifyWatchers(result.change);
        }
    }
    answerPending(entry, result.reply);
}

// An entry of another term at the same index means that the proposed one will never be committed.
void StoreCore::answerPending(const coordination::Entry &entry, const ApplyReply &applied)
{
    while (!pending_.empty() && pending_.begin()->first <= entry.index) {
        auto node = pending_.extract(pending_.begin());
        const PendingReply &waiting = node.mapped();
        if (node.key() == entry.index && waiting.term == entry.term) {
            waiting.onApplied(applied);
        } else {
            refuse(waiting.client,
                   waiting.correlation,
                   ErrorCode::NotLeader,
                   "the proposed entry was replaced by one of another leader",
                   leaderAddress());
        }
    }
}

void StoreCore::refuse(
    ClientId client, std::uint64_t correlation, ErrorCode code, std::string message, std::string redirect)
{
    reply(client,
          correlation,
          protocol::RequestError{code, base::Verdict::NotRun, std::move(message), std::move(redirect)});
}

std::string StoreCore::nodeName(std::uint32_t node) const
{
    const auto found = options_.nodeNames.find(node);
    return found == options_.nodeNames.end() ? std::string() : found->second;
}

std::string StoreCore::leaderAddress() const
{
    const auto found = options_.addresses.find(replica_.log().leader().node);
    return found == options_.addresses.end() ? std::string() : found->second;
}

} // namespace yuccawheel::store
