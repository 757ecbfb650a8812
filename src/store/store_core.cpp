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
                   "this replica does not lead",
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
std::optional<Message> StoreCore::read(const ClientRequest &request)
{
    auto message = protocol::decode<Message>(request.frame.payload);
    if (!message) {
        refuse(request.client, request.frame.correlation, ErrorCode::BadRequest, message.error().message);
        return std::nullopt;
    }
    return std::move(*message);
}

// For requests whose answer is what applying their entry gave.
template <typename Reply>
void StoreCore::proposeFor(const LogEntry &entry, const ClientRequest &request)
{
    const ClientId client = request.client;
    const std::uint64_t correlation = request.frame.correlation;
    propose(entry, client, correlation, [this, client, correlation](const ApplyReply &applied) {
        reply(client, correlation, std::get<Reply>(applied));
    });
}

void StoreCore::onSubmit(const ClientRequest &request, WallTime wall)
{
    const auto submit = read<protocol::Submit>(request);
    if (!submit) {
        return;
    }
    SubmissionEntry entry;
    entry.submit = *submit;
    entry.acceptedAt = wall;
    // A resend gets its first answer; it must not use up the zones' room again.
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
    proposeFor<protocol::SubmitReply>(entry, request);
}

void StoreCore::onCancel(const ClientRequest &request, WallTime wall)
{
    const auto cancel = read<protocol::CancelJob>(request);
    if (!cancel) {
        return;
    }
    if (state_.findJob(cancel->job) == nullptr) {
        refuse(request.client, request.frame.correlation, ErrorCode::NotFound, "no such job");
        return;
    }
    proposeFor<protocol::CancelJobReply>(CancelEntry{cancel->job, wall}, request);
}

// A zone changes hands when its owner gave it up, was restarted, or has been silent for its lease. A new leader has
// not heard anybody yet, so it counts every owner's lease from its own start.
void StoreCore::onAcquire(const ClientRequest &request, base::TimePoint now)
{
    const auto acquire = read<protocol::AcquireZone>(request);
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
    const auto renew = read<protocol::RenewZone>(request);
    if (!renew) {
        return;
    }
    const ClientId client = request.client;
    const std::uint64_t correlation = request.frame.correlation;
    const protocol::ZoneOwner *const owner = state_.owner(renew->zone);
    const std::uint64_t epoch = owner == nullptr ? 0 : owner->epoch;
    if (epoch != renew->epoch) {
        // A lower epoch here means that this leader has not applied all of the log yet.
        refuse(client,
               correlation,
               epoch < renew->epoch ? ErrorCode::NotReady : ErrorCode::NotOwner,
               "another epoch is in force");
        return;
    }
    ZoneStatus &status = zones_[renew->zone];
    if (status.moving) {
        refuse(client, correlation, ErrorCode::NotReady, "shares of the zone are being moved");
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
    const auto reserve = read<protocol::ReserveKey>(request);
    if (!reserve) {
        return;
    }
    proposeFor<protocol::ReserveKeyReply>(ReserveKeyEntry{*reserve, wall}, request);
}

void StoreCore::onFinishKey(const ClientRequest &request)
{
    const auto finish = read<protocol::FinishKey>(request);
    if (!finish) {
        return;
    }
    const ClientId client = request.client;
    const std::uint64_t correlation = request.frame.correlation;
    propose(FinishKeyEntry{*finish}, client, correlation, [this, client, correlation](const ApplyReply &) {
        reply(client, correlation, protocol::FinishKeyReply{});
    });
}

// A leader that was cut off and doesn't know it yet fails the barrier, so nobody starts to watch an old state.
void StoreCore::onWatch(const ClientRequest &request)
{
    const auto watch = read<protocol::Watch>(request);
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
    const auto query = read<protocol::Query>(request);
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
                        std::function<void(const ApplyReply &)> answer)
{
    const auto position = replica_.propose(encodeEntry(entry));
    if (!position) {
        const bool notLeader = position.error().failure == coordination::ProposeFailure::NotLeader;
        refuse(client,
               correlation,
               notLeader ? ErrorCode::NotLeader : ErrorCode::Overloaded,
               "the log takes no entry now",
               leaderAddress());
        return;
    }
    pending_[position->index] = {client, correlation, position->term, std::move(answer)};
}

void StoreCore::proposeQuietly(const LogEntry &entry)
{
    if (!replica_.propose(encodeEntry(entry))) {
        base::logDebug("entry_not_proposed").with("kind", entry.index());
    }
}

void StoreCore::readBarrier(ClientId client, std::uint64_t correlation, std::function<void()> serve)
{
    const std::uint64_t read = nextRead_++;
    if (!replica_.requestRead(read)) {
        refuse(client, correlation, ErrorCode::NotLeader, "the log takes no read now", leaderAddress());
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
               "the leadership ended",
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
        load(*result->snapshot);
    }
    for (const coordination::Entry &entry : result->committed) {
        apply(entry);
    }
    if (isLeader() != wasLeader_) {
        wasLeader_ = isLeader();
        if (wasLeader_) {
            becomeLeader(now);
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

void StoreCore::load(const std::string &snapshot)
{
    auto state = ClusterState::restore(snapshot);
    YW_INVARIANT(state.has_value(), "a snapshot whose checksum holds can be read");
    state_ = std::move(*state);
}

void StoreCore::apply(const coordination::Entry &entry)
{
    ApplyResult result;
    if (entry.kind == coordination::EntryKind::Application) {
        const auto decoded = decodeEntry(entry.data);
        YW_INVARIANT(decoded.has_value(), "a committed entry can be read");
        result = state_.apply(entry.index, *decoded);
        if (isLeader()) {
            notifyWatchers(result.change);
        }
    }
    settle(entry, result.reply);
}

// An entry of another term at the same place means that the proposed one will never be committed.
void StoreCore::settle(const coordination::Entry &entry, const ApplyReply &applied)
{
    while (!pending_.empty() && pending_.begin()->first <= entry.index) {
        auto node = pending_.extract(pending_.begin());
        const PendingReply &waiting = node.mapped();
        if (node.key() == entry.index && waiting.term == entry.term) {
            waiting.answer(applied);
        } else {
            refuse(waiting.client,
                   waiting.correlation,
                   ErrorCode::NotLeader,
                   "another leader's entry took its place",
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
