#include "base/invariant.h"
#include "coordination/replicated_log.h"

#include <algorithm>

namespace yuccawheel::coordination
{

// Handles the fields common to all responses. Returns the progress of the sender, or null if this replica does not lead
// it.
Progress *ReplicatedLog::recordResponse(ReplicaId from, std::uint64_t round, base::TimePoint now)
{
    const auto found = progress_.find(from);
    if (state_ != State::Leader || found == progress_.end()) {
        return nullptr;
    }
    Progress &progress = found->second;
    progress.lastHeard = now;
    progress.ackedRound = std::max(progress.ackedRound, round);
    return &progress;
}

void ReplicatedLog::onAppendResponse(const Message &message, const AppendResponse &response, base::TimePoint now)
{
    Progress *const noted = recordResponse(message.from, response.round, now);
    if (noted == nullptr) {
        return;
    }
    Progress &progress = *noted;
    if (!response.accepted) {
        onRefusedAppend(message.from, progress, response);
        return;
    }
    YW_INVARIANT(response.matched <= buffer_.lastIndex(),
                 "a follower must not acknowledge entries beyond the log of the leader");
    progress.matched = std::max(progress.matched, response.matched);
    progress.acknowledge(progress.matched);
    const bool snapshotNeeded = progress.mode == Progress::Mode::Snapshot && progress.matched < progress.snapshot.index;
    if (progress.mode != Progress::Mode::Replicate && !snapshotNeeded) {
        progress.mode = Progress::Mode::Replicate;
        progress.next = progress.matched + 1;
        progress.clearInFlight();
    }
    progress.next = std::max(progress.next, progress.matched + 1);
    advanceCommit(now);
}

// A delayed rejection may refer to an index that has since been acknowledged, or to an earlier probe.
void ReplicatedLog::onRefusedAppend(ReplicaId from, Progress &progress, const AppendResponse &response)
{
    const bool stale = response.previousIndex <= progress.matched || response.previousIndex >= progress.next;
    if (stale || progress.mode == Progress::Mode::Snapshot) {
        return;
    }
    const Index candidate = std::min(response.previousIndex, response.matched + 1);
    progress.mode = Progress::Mode::Probe;
    progress.next = std::max(progress.matched + 1, candidate);
    progress.clearInFlight();
    sendHeartbeat(from, progress);
}

void ReplicatedLog::onSnapshotResponse(const Message &message,
                                       const SnapshotChunkResponse &response,
                                       base::TimePoint now)
{
    Progress *const noted = recordResponse(message.from, response.round, now);
    if (noted == nullptr) {
        return;
    }
    Progress &progress = *noted;
    if (progress.mode != Progress::Mode::Snapshot || response.snapshotIndex != progress.snapshot.index) {
        return;
    }
    if (response.installed) {
        progress.matched = std::max(progress.matched, response.snapshotIndex);
        progress.mode = Progress::Mode::Probe;
        progress.next = progress.matched + 1;
        sendHeartbeat(message.from, progress);
        advanceCommit(now);
        return;
    }
    progress.snapshotHeld = std::min(response.received, progress.snapshotSent);
    progress.snapshotAcked = std::max(progress.snapshotAcked, progress.snapshotHeld);
}

void ReplicatedLog::broadcastHeartbeat(base::TimePoint now)
{
    nextHeartbeat_ = now + settings_.heartbeatInterval;
    heartbeatRequested_ = false;
    ++round_;
    roundStarts_.emplace_back(round_, now);
    while (roundStarts_.front().second + settings_.electionTimeout < now) {
        roundStarts_.pop_front();
    }
    for (auto &[id, progress] : progress_) {
        sendHeartbeat(id, progress);
    }
}

// A heartbeat asks for agreement at the last index sent, so it also detects lost requests.
void ReplicatedLog::sendHeartbeat(ReplicaId to, Progress &progress)
{
    if (progress.mode != Progress::Mode::Snapshot && !buffer_.termAt(progress.next - 1)) {
        startSnapshot(progress);
    }
    sendAppend(to, progress, progress.mode == Progress::Mode::Snapshot ? 0 : progress.next - 1, {});
}

void ReplicatedLog::sendAppend(ReplicaId to, Progress &progress, Index previous, std::vector<Entry> entries)
{
    const Term previousTerm = previous == 0 ? 0 : buffer_.termAt(previous).value();
    progress.sentCommitIndex = std::min(committed_, previous + entries.size());
    send(to, term(), AppendRequest{previous, previousTerm, committed_, round_, std::move(entries)});
}

void ReplicatedLog::replicate(ReplicaId to, Progress &progress)
{
    if (progress.mode == Progress::Mode::Snapshot) {
        sendSnapshotChunks(to, progress);
        return;
    }
    if (progress.mode == Progress::Mode::Probe) {
        return;
    }
    while (progress.next <= buffer_.lastIndex() && progress.inFlightBytes < settings_.maxInFlightBytes) {
        if (progress.next <= buffer_.baseIndex()) {
            startSnapshot(progress);
            return;
        }
        auto entries = buffer_.slice(progress.next, buffer_.lastIndex(), settings_.maxBatchBytes);
        std::size_t bytes = 0;
        for (const Entry &entry : entries) {
            bytes += sizeOf(entry);
        }
        const Index previous = progress.next - 1;
        progress.next = entries.back().index + 1;
        progress.inFlight.push_back(Progress::InFlight{entries.back().index, bytes});
        progress.inFlightBytes += bytes;
        sendAppend(to, progress, previous, std::move(entries));
    }
    if (progress.inFlight.empty() && progress.sentCommitIndex < committed_) {
        sendHeartbeat(to, progress);
    }
}

void ReplicatedLog::startSnapshot(Progress &progress)
{
    YW_INVARIANT(snapshot_.index > 0, "entries must not be dropped before a snapshot covers them");
    progress.mode = Progress::Mode::Snapshot;
    progress.snapshot = snapshot_;
    progress.snapshotStarted = false;
    progress.snapshotSent = 0;
    progress.snapshotAcked = 0;
    progress.snapshotHeld = 0;
    progress.previousSnapshotAcked = 0;
    progress.clearInFlight();
}

// If the snapshot is no longer stored, the transfer restarts with the newest one.
void ReplicatedLog::sendSnapshotChunks(ReplicaId to, Progress &progress)
{
    while (!progress.snapshotStarted || progress.snapshotSent < progress.snapshot.size) {
        if (progress.snapshotSent - progress.snapshotAcked >= settings_.snapshotWindowBytes) {
            return;
        }
        auto bytes =
            snapshotSource_.readSnapshot(progress.snapshot.index, progress.snapshotSent, settings_.snapshotChunkBytes);
        if (!bytes) {
            startSnapshot(progress);
            return;
        }
        const std::uint64_t offset = progress.snapshotSent;
        progress.snapshotStarted = true;
        progress.snapshotSent += bytes->size();
        send(to, term(), SnapshotChunk{progress.snapshot, offset, round_, std::move(*bytes)});
    }
}

// Runs once per heartbeat interval: restarts stalled snapshot transfers, probes silent replicas, and makes due changes
// of the replica set.
void ReplicatedLog::checkReplicas(base::TimePoint now)
{
    for (auto &[id, progress] : progress_) {
        if (progress.mode == Progress::Mode::Snapshot) {
            if (progress.snapshotAcked == progress.previousSnapshotAcked) {
                progress.snapshotAcked = progress.snapshotHeld;
                progress.snapshotSent = progress.snapshotHeld;
                progress.snapshotStarted = false;
            }
            progress.previousSnapshotAcked = progress.snapshotAcked;
        } else if (progress.lastHeard < now - settings_.electionTimeout) {
            progress.mode = Progress::Mode::Probe;
            progress.next = std::min(progress.next, progress.matched + 1);
            progress.clearInFlight();
        }
    }
    promoteLearner(now);
    removeReplacedVoter(now);
    for (auto &[id, progress] : progress_) {
        progress.catchUpTarget = committed_;
    }
}

bool ReplicatedLog::isActiveSince(ReplicaId id, base::TimePoint since) const
{
    const auto found = progress_.find(id);
    return id == self() || (found != progress_.end() && found->second.lastHeard >= since);
}

// Counts copies on disk. Only an entry of the current term is committed by counting; earlier entries are committed with
// it.
void ReplicatedLog::advanceCommit(base::TimePoint now)
{
    std::vector<Index> held;
    for (const Member &member : replicaSet().members) {
        if (member.voter) {
            held.push_back(member.id == self() ? persistedIndex_ : progress_.at(member.id).matched);
        }
    }
    std::sort(held.begin(), held.end(), std::greater<>());
    const Index candidate = held[held.size() / 2];
    if (candidate <= committed_ || buffer_.termAt(candidate) != term()) {
        return;
    }
    commitTo(candidate);
    if (!isChangeInProgress() && !isVoter(replicaSet(), self())) {
        becomeFollower(term(), ReplicaId{}, now);
    }
}

// A read is confirmed once a majority has responded to a heartbeat round that started after the read was requested:
// this proves that no other leader had been elected by then.
void ReplicatedLog::releaseReads()
{
    if (pendingReads_.empty() || committed_ < termStartIndex_) {
        return;
    }
    std::vector<PendingRead> waiting;
    for (const PendingRead &pending : pendingReads_) {
        const bool confirmed = hasMajority(replicaSet(), [this, &pending](ReplicaId id) {
            const auto found = progress_.find(id);
            return id == self() || (found != progress_.end() && found->second.ackedRound >= pending.round);
        });
        if (confirmed) {
            completedReads_.push_back(ReadReady{pending.readId, pending.index, false});
        } else {
            waiting.push_back(pending);
        }
    }
    pendingReads_ = std::move(waiting);
}

void ReplicatedLog::refuseReads()
{
    for (const PendingRead &pending : pendingReads_) {
        completedReads_.push_back(ReadReady{pending.readId, 0, true});
    }
    pendingReads_.clear();
    heartbeatRequested_ = false;
}

} // namespace yuccawheel::coordination
