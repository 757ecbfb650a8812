#include "base/invariant.h"
#include "coordination/replicated_log.h"

#include <algorithm>

namespace yuccawheel::coordination
{

// Takes what every answer to the leader tells. Returns the sender's progress, or null if this replica doesn't lead it.
Progress *ReplicatedLog::noteResponse(ReplicaId from, std::uint64_t round, base::TimePoint now)
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
    Progress *const noted = noteResponse(message.from, response.round, now);
    if (noted == nullptr) {
        return;
    }
    Progress &progress = *noted;
    if (!response.accepted) {
        onRefusedAppend(message.from, progress, response);
        return;
    }
    YW_INVARIANT(response.matched <= buffer_.lastIndex(), "a leader holds every committed entry");
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

// Refusals that arrive late speak of an index that has been acknowledged since, or of an earlier probe.
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
    Progress *const noted = noteResponse(message.from, response.round, now);
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

void ReplicatedLog::heartbeat(base::TimePoint now)
{
    nextHeartbeat_ = now + settings_.heartbeatInterval;
    roundWanted_ = false;
    ++round_;
    roundStarts_.emplace_back(round_, now);
    while (roundStarts_.front().second + settings_.electionTimeout < now) {
        roundStarts_.pop_front();
    }
    for (auto &[id, progress] : progress_) {
        sendHeartbeat(id, progress);
    }
}

// A heartbeat asks for agreement at the end of what was sent, so it also finds out about lost requests.
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
    progress.committedSent = std::min(committed_, previous + entries.size());
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
    if (progress.inFlight.empty() && progress.committedSent < committed_) {
        sendHeartbeat(to, progress);
    }
}

void ReplicatedLog::startSnapshot(Progress &progress)
{
    YW_INVARIANT(snapshot_.index > 0, "entries are dropped only once a snapshot covers them");
    progress.mode = Progress::Mode::Snapshot;
    progress.snapshot = snapshot_;
    progress.snapshotStarted = false;
    progress.snapshotSent = 0;
    progress.snapshotAcked = 0;
    progress.snapshotHeld = 0;
    progress.snapshotAckedBefore = 0;
    progress.clearInFlight();
}

// A snapshot that is no longer held is begun again with the newest one.
void ReplicatedLog::sendSnapshotChunks(ReplicaId to, Progress &progress)
{
    while (!progress.snapshotStarted || progress.snapshotSent < progress.snapshot.size) {
        if (progress.snapshotSent - progress.snapshotAcked >= settings_.snapshotWindowBytes) {
            return;
        }
        auto bytes = source_.readSnapshot(progress.snapshot.index, progress.snapshotSent, settings_.snapshotChunkBytes);
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

// Runs once a heartbeat: finds stalled snapshots and silent replicas, and moves a learner that has caught up on.
void ReplicatedLog::reviewReplicas(base::TimePoint now)
{
    for (auto &[id, progress] : progress_) {
        if (progress.mode == Progress::Mode::Snapshot) {
            if (progress.snapshotAcked == progress.snapshotAckedBefore) {
                progress.snapshotAcked = progress.snapshotHeld;
                progress.snapshotSent = progress.snapshotHeld;
                progress.snapshotStarted = false;
            }
            progress.snapshotAckedBefore = progress.snapshotAcked;
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

bool ReplicatedLog::heardSince(ReplicaId id, base::TimePoint since) const
{
    const auto found = progress_.find(id);
    return id == self() || (found != progress_.end() && found->second.lastHeard >= since);
}

// Counts copies on disk. Only an entry of the leader's own term commits this way, and the earlier ones with it.
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
    if (!changeUnderWay() && !isVoter(replicaSet(), self())) {
        becomeFollower(term(), ReplicaId{}, now);
    }
}

// A read may be served once a majority has answered a round begun after it, which no later leader's quorum can miss.
void ReplicatedLog::releaseReads()
{
    if (pendingReads_.empty() || committed_ < termStart_) {
        return;
    }
    std::vector<PendingRead> waiting;
    for (const PendingRead &pending : pendingReads_) {
        const bool confirmed = majorityOf(replicaSet(), [this, &pending](ReplicaId id) {
            const auto found = progress_.find(id);
            return id == self() || (found != progress_.end() && found->second.ackedRound >= pending.round);
        });
        if (confirmed) {
            reads_.push_back(ReadReady{pending.read, pending.index, false});
        } else {
            waiting.push_back(pending);
        }
    }
    pendingReads_ = std::move(waiting);
}

void ReplicatedLog::refuseReads()
{
    for (const PendingRead &pending : pendingReads_) {
        reads_.push_back(ReadReady{pending.read, 0, true});
    }
    pendingReads_.clear();
    roundWanted_ = false;
}

} // namespace yuccawheel::coordination
