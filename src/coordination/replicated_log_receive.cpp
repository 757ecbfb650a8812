#include "base/invariant.h"
#include "coordination/checksum.h"
#include "coordination/replicated_log.h"

#include <algorithm>
#include <type_traits>

namespace yuccawheel::coordination
{

void ReplicatedLog::receive(const Message &message, base::TimePoint now)
{
    if (!isForThisReplica(message)) {
        return;
    }
    if (std::holds_alternative<JoinRequest>(message.body)) {
        onJoinRequest(message, now);
        return;
    }
    if (cluster() == 0) {
        hardState_.cluster = message.cluster;
        hardStateDirty_ = true;
    }
    if (!updateTerm(message, now)) {
        return;
    }
    std::visit(
        [&](const auto &body) {
            using Body = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<Body, VoteRequest>) {
                onVoteRequest(message, body, now);
            } else if constexpr (std::is_same_v<Body, VoteResponse>) {
                onVoteResponse(message, body, now);
            } else if constexpr (std::is_same_v<Body, AppendRequest>) {
                onAppendRequest(message, body, now);
            } else if constexpr (std::is_same_v<Body, AppendResponse>) {
                onAppendResponse(message, body, now);
            } else if constexpr (std::is_same_v<Body, SnapshotChunk>) {
                onSnapshotChunk(message, body, now);
            } else if constexpr (std::is_same_v<Body, SnapshotChunkResponse>) {
                onSnapshotResponse(message, body, now);
            } else if constexpr (std::is_same_v<Body, HandoverRequest>) {
                onHandoverRequest(message, now);
            }
        },
        message.body);
}

// Messages to an earlier generation of this node and messages of other clusters are dropped. A replica without a
// cluster adopts that of the leader that adds it.
bool ReplicatedLog::isForThisReplica(const Message &message) const
{
    if (message.to.node != self().node || message.from.node == 0 || message.from == self()) {
        return false;
    }
    if (std::holds_alternative<JoinRequest>(message.body)) {
        return message.cluster == 0 || message.cluster == cluster();
    }
    if (message.to.generation != self().generation || message.cluster == 0) {
        return false;
    }
    if (cluster() == 0) {
        return std::holds_alternative<AppendRequest>(message.body)
            || std::holds_alternative<SnapshotChunk>(message.body);
    }
    return message.cluster == cluster();
}

// Adopts a higher term. Returns whether the message is to be processed.
bool ReplicatedLog::updateTerm(const Message &message, base::TimePoint now)
{
    if (message.term < term()) {
        refuseOldTerm(message);
        return false;
    }
    if (message.term == term()) {
        return true;
    }
    if (const auto *request = std::get_if<VoteRequest>(&message.body)) {
        if (request->preVote) {
            return true;
        }
        if (isLeaderActive(now) && !request->handover) {
            return false;
        }
    }
    if (const auto *response = std::get_if<VoteResponse>(&message.body);
        response != nullptr && response->preVote && response->granted) {
        return true;
    }
    becomeFollower(message.term, ReplicaId{}, now);
    return true;
}

// Responds with the current term, so that an old leader steps down and an old candidate adopts the term.
void ReplicatedLog::refuseOldTerm(const Message &message)
{
    if (const auto *request = std::get_if<VoteRequest>(&message.body)) {
        send(message.from, term(), VoteResponse{request->preVote, false});
    } else if (std::holds_alternative<AppendRequest>(message.body)
               || std::holds_alternative<SnapshotChunk>(message.body)) {
        send(message.from, term(), AppendResponse{});
    }
}

void ReplicatedLog::followLeader(ReplicaId leader, base::TimePoint now)
{
    YW_INVARIANT(state_ != State::Leader, "a term must have one leader");
    YW_INVARIANT(leader_ == ReplicaId{} || leader_ == leader, "a term must have one leader");
    becomeFollower(term(), leader, now);
    lastLeaderContact_ = now;
}

void ReplicatedLog::onAppendRequest(const Message &message, const AppendRequest &request, base::TimePoint now)
{
    followLeader(message.from, now);
    if (!matchesLog(request)) {
        send(message.from,
             term(),
             AppendResponse{false, lastPossibleMatch(request.previousIndex), request.previousIndex, request.round});
        return;
    }
    appendFromLeader(request);
    const Index matched = std::max(committed_, request.previousIndex + request.entries.size());
    if (const Index commit = std::min(request.committed, matched); commit > committed_) {
        commitTo(commit);
    }
    send(message.from, term(), AppendResponse{true, matched, request.previousIndex, request.round});
}

// All logs are equal up to the commit index, so only later entries need a comparison.
bool ReplicatedLog::matchesLog(const AppendRequest &request) const
{
    return request.previousIndex <= committed_ || buffer_.termAt(request.previousIndex) == request.previousTerm;
}

void ReplicatedLog::appendFromLeader(const AppendRequest &request)
{
    Index index = request.previousIndex;
    for (const Entry &entry : request.entries) {
        YW_INVARIANT(entry.index == ++index, "the entries of a request must be contiguous");
        const auto held = buffer_.termAt(entry.index);
        if (entry.index <= committed_) {
            YW_INVARIANT(!held || *held == entry.term, "committed entries must not change");
            continue;
        }
        if (held == entry.term) {
            continue;
        }
        if (held) {
            truncateFrom(entry.index);
        }
        appendEntry(entry);
    }
}

// Skips all entries of the conflicting term at once. Entries up to the commit index are known to be equal.
Index ReplicatedLog::lastPossibleMatch(Index previous) const
{
    if (previous > buffer_.lastIndex()) {
        return buffer_.lastIndex();
    }
    const auto conflicting = buffer_.termAt(previous);
    Index index = previous;
    while (index > committed_ && buffer_.termAt(index) == conflicting) {
        --index;
    }
    return index;
}

void ReplicatedLog::onSnapshotChunk(const Message &message, const SnapshotChunk &chunk, base::TimePoint now)
{
    followLeader(message.from, now);
    SnapshotChunkResponse response{chunk.meta.index, 0, false, chunk.round};
    if (chunk.meta.index <= committed_) {
        response.installed = true;
        send(message.from, term(), response);
        return;
    }
    if (chunk.meta != receivingSnapshot_) {
        receivingSnapshot_ = chunk.meta;
        receivedSnapshot_.clear();
    }
    const bool fits = receivedSnapshot_.size() + chunk.bytes.size() <= settings_.maxSnapshotBytes;
    if (chunk.offset == receivedSnapshot_.size() && fits) {
        receivedSnapshot_ += chunk.bytes;
    }
    if (receivedSnapshot_.size() >= chunk.meta.size) {
        if (checksum(receivedSnapshot_) == chunk.meta.checksum) {
            installSnapshot(chunk.meta);
            response.installed = true;
        } else {
            receivedSnapshot_.clear();
        }
    }
    response.received = receivedSnapshot_.size();
    send(message.from, term(), response);
}

// If the log already holds the last entry of the snapshot, it is enough to commit up to that entry. Otherwise the
// snapshot replaces the whole log.
void ReplicatedLog::installSnapshot(const SnapshotMeta &meta)
{
    receivingSnapshot_ = SnapshotMeta{};
    std::string bytes = std::exchange(receivedSnapshot_, {});
    if (buffer_.termAt(meta.index) == meta.term) {
        commitTo(meta.index);
        return;
    }
    buffer_.reset(meta.index, meta.term);
    replicaSets_.clear();
    replicaSets_.emplace(meta.index, meta.replicas);
    snapshot_ = meta;
    committed_ = meta.index;
    firstUnsaved_ = meta.index + 1;
    persistedIndex_ = lastSaving_ = meta.index;
    installedSnapshot_ = Snapshot{meta, std::move(bytes)};
}

} // namespace yuccawheel::coordination
