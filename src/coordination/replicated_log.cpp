#include "coordination/replicated_log.h"

#include "base/invariant.h"

#include <algorithm>
#include <utility>

namespace yuccawheel::coordination
{

namespace
{

constexpr std::chrono::milliseconds LeaseMargin{50}; // Covers clock drift and commands sent just before the lease ends.

} // namespace

std::string_view toString(Role role)
{
    switch (role) {
    case Role::Joining:
        return "joining";
    case Role::Learner:
        return "learner";
    case Role::Follower:
        return "follower";
    case Role::Candidate:
        return "candidate";
    case Role::Leader:
        return "leader";
    }
    return "unknown";
}

// An empty disk makes a new replica. Its identity must be on disk before any other replica learns of it: otherwise,
// after another loss of the disk, the same identity could return without its votes.
ReplicatedLog::ReplicatedLog(LogSettings settings,
                             RecoveredState state,
                             const SnapshotSource &source,
                             base::TimePoint now)
    : settings_(std::move(settings))
    , snapshotSource_(source)
    , hardState_(state.hardState)
    , snapshot_(state.snapshot)
    , randomState_(settings_.seed)
    , startedAt_(now)
{
    if (hardState_.self == ReplicaId{}) {
        hardState_.self = settings_.self;
        hardStateDirty_ = true;
    }
    YW_INVARIANT(hardState_.self.node != 0 && hardState_.self.generation != 0,
                 "a replica needs a node number and a generation");
    YW_INVARIANT(hardState_.self.node == settings_.self.node, "the disk belongs to another node");
    buffer_.reset(snapshot_.index, snapshot_.term);
    replicaSets_.emplace(snapshot_.index, snapshot_.replicas);
    committed_ = applied_ = snapshot_.index;
    firstUnsaved_ = snapshot_.index + 1;
    for (Entry &entry : state.entries) {
        appendEntry(std::move(entry));
    }
    firstUnsaved_ = buffer_.lastIndex() + 1;
    persistedIndex_ = lastSaving_ = buffer_.lastIndex();
    resetElectionTimer(now);
    const bool isOnlyVoter = voterCount(replicaSet()) == 1 && isVoter(replicaSet(), self());
    if (isOnlyVoter || (settings_.openMembership && buffer_.lastIndex() == 0)) {
        // A single voter has no leader to wait for, and a replica that has not joined can only send join requests.
        electionDeadline_ = now;
    }
}

RecoveredState ReplicatedLog::bootstrap(ClusterId cluster, ReplicaId self, const ReplicaSet &set)
{
    RecoveredState state;
    state.hardState = HardState{cluster, self, 1, ReplicaId{}};
    state.entries.push_back(Entry{1, 1, EntryKind::ReplicaSet, encodeReplicaSet(set)});
    return state;
}

void ReplicatedLog::tick(base::TimePoint now)
{
    if (state_ == State::Leader) {
        checkQuorum(now);
        if (handoverDeadline_ && now >= *handoverDeadline_) {
            giveUpHandover(now);
        }
        // Reads also trigger heartbeats, which postpone the next regular one, so replica checks have their own timer.
        if (state_ == State::Leader && now >= nextReplicaCheck_) {
            nextReplicaCheck_ = now + settings_.heartbeatInterval;
            checkReplicas(now);
        }
        if (state_ == State::Leader && now >= nextHeartbeat_) {
            handoverSent_ = false;
            broadcastHeartbeat(now);
        }
        return;
    }
    if (now < electionDeadline_) {
        return;
    }
    const bool voter = isVoter(replicaSet(), self());
    if (voter) {
        startPreVote(now);
    } else {
        resetElectionTimer(now);
    }
    // A removed replica does not rejoin, except with open membership, where it may have been replaced for being silent.
    if (settings_.openMembership ? state_ != State::Leader : !voter && buffer_.lastIndex() == 0) {
        for (const std::uint32_t node : settings_.nodes) {
            if (node != self().node) {
                send(ReplicaId{node, 0}, term(), JoinRequest{});
            }
        }
    }
}

tl::expected<Position, ProposeError> ReplicatedLog::propose(std::string data)
{
    if (state_ != State::Leader) {
        return tl::unexpected(ProposeError{ProposeFailure::NotLeader, leader_});
    }
    if (handoverDeadline_) {
        return tl::unexpected(ProposeError{ProposeFailure::HandingOver, self()});
    }
    if (data.size() > settings_.maxEntryBytes) {
        return tl::unexpected(ProposeError{ProposeFailure::TooLarge, self()});
    }
    if (uncommittedBytes_ + data.size() > settings_.maxUncommittedBytes) {
        return tl::unexpected(ProposeError{ProposeFailure::Overloaded, self()});
    }
    appendAsLeader(EntryKind::Application, std::move(data));
    return Position{buffer_.lastIndex(), term()};
}

// A new leader does not know the commit index until the first entry of its own term is committed, so reads wait for it.
tl::expected<void, ProposeError> ReplicatedLog::requestRead(std::uint64_t readId)
{
    if (state_ != State::Leader) {
        return tl::unexpected(ProposeError{ProposeFailure::NotLeader, leader_});
    }
    if (pendingReads_.size() >= settings_.maxPendingReads) {
        return tl::unexpected(ProposeError{ProposeFailure::Overloaded, self()});
    }
    pendingReads_.push_back(PendingRead{readId, std::max(committed_, termStartIndex_), round_ + 1});
    heartbeatRequested_ = true;
    return {};
}

// Reads and entries received since the last call share one round of messages.
Ready ReplicatedLog::takeReady(base::TimePoint now)
{
    if (state_ == State::Leader) {
        if (heartbeatRequested_) {
            broadcastHeartbeat(now);
        }
        for (auto &[id, progress] : progress_) {
            replicate(id, progress);
        }
        releaseReads();
        continueHandover(now);
    }
    Ready ready;
    if (std::exchange(hardStateDirty_, false)) {
        ready.hardState = hardState_;
    }
    ready.snapshot = std::exchange(installedSnapshot_, std::nullopt);
    if (firstUnsaved_ <= buffer_.lastIndex()) {
        ready.entries = buffer_.slice(firstUnsaved_, buffer_.lastIndex(), SIZE_MAX);
        firstUnsaved_ = buffer_.lastIndex() + 1;
    }
    lastSaving_ = buffer_.lastIndex();
    if (ready.snapshot) {
        applied_ = ready.snapshot->meta.index;
    }
    if (applied_ < committed_) {
        ready.committed = buffer_.slice(applied_ + 1, committed_, settings_.maxInFlightBytes);
        applied_ = ready.committed.back().index;
    }
    ready.messages = std::exchange(messages_, {});
    ready.reads = std::exchange(completedReads_, {});
    return ready;
}

// Only entries on disk count towards the majority, including those of the leader itself.
void ReplicatedLog::markPersisted(base::TimePoint now)
{
    persistedIndex_ = std::min(lastSaving_, buffer_.lastIndex());
    if (state_ == State::Leader) {
        advanceCommit(now);
    }
}

SnapshotMeta ReplicatedLog::describeSnapshot(Index index) const
{
    YW_INVARIANT(index <= applied_, "a snapshot must cover applied entries only");
    const auto termThere = buffer_.termAt(index);
    YW_INVARIANT(termThere.has_value(), "the snapshot must not be older than the log in memory");
    return SnapshotMeta{index, *termThere, replicaSetAt(index), 0, 0};
}

// Keeps some entries that the snapshot covers, so that a slightly delayed replica can catch up without a snapshot.
void ReplicatedLog::markSnapshotSaved(const SnapshotMeta &meta)
{
    YW_INVARIANT(meta.index >= snapshot_.index && meta.index <= applied_, "snapshots must advance with the log");
    snapshot_ = meta;
    std::size_t kept = 0;
    Index keptFrom = meta.index + 1;
    while (keptFrom > buffer_.baseIndex() + 1 && kept + sizeOf(buffer_.at(keptFrom - 1)) <= settings_.retainedBytes) {
        --keptFrom;
        kept += sizeOf(buffer_.at(keptFrom));
    }
    buffer_.compactTo(keptFrom - 1);
    const ReplicaSet base = replicaSetAt(buffer_.baseIndex());
    replicaSets_.erase(replicaSets_.begin(), replicaSets_.upper_bound(buffer_.baseIndex()));
    replicaSets_.emplace(buffer_.baseIndex(), base);
}

// A follower grants no vote for an election timeout after its last contact with this leader, which is no earlier than
// the start of the round that it acknowledged. So the lease counts from the latest round acknowledged by a majority.
std::optional<base::TimePoint> ReplicatedLog::leaseEnd() const
{
    if (state_ != State::Leader || handoverDeadline_ || !settings_.leaderLease) {
        return std::nullopt;
    }
    std::vector<std::uint64_t> acknowledged;
    for (const Member &member : replicaSet().members) {
        if (member.voter) {
            acknowledged.push_back(member.id == self() ? round_ : progress_.at(member.id).ackedRound);
        }
    }
    std::sort(acknowledged.begin(), acknowledged.end(), std::greater<>());
    const std::uint64_t round = acknowledged[acknowledged.size() / 2];
    std::optional<base::TimePoint> end;
    for (const auto &[number, start] : roundStarts_) {
        if (number <= round) {
            end = start + settings_.electionTimeout - LeaseMargin;
        }
    }
    return end;
}

Role ReplicatedLog::role() const
{
    const Member *member = findMember(replicaSet(), self());
    if (state_ == State::Leader) {
        return Role::Leader;
    }
    if (member == nullptr) {
        return Role::Joining;
    }
    if (!member->voter) {
        return Role::Learner;
    }
    return state_ == State::Follower ? Role::Follower : Role::Candidate;
}

void ReplicatedLog::appendAsLeader(EntryKind kind, std::string data)
{
    Entry entry{buffer_.lastIndex() + 1, term(), kind, std::move(data)};
    uncommittedBytes_ += sizeOf(entry);
    appendEntry(std::move(entry));
}

void ReplicatedLog::appendEntry(Entry entry)
{
    if (entry.kind == EntryKind::ReplicaSet) {
        auto set = decodeReplicaSet(entry.data);
        YW_INVARIANT(set.has_value(), "an entry with a replica set must be well formed");
        replicaSets_.insert_or_assign(entry.index, std::move(*set));
    }
    buffer_.append(std::move(entry));
}

// Truncation at or below the commit index would lose an acknowledged entry.
void ReplicatedLog::truncateFrom(Index index)
{
    YW_INVARIANT(index > committed_, "committed entries must not change");
    buffer_.truncateFrom(index);
    replicaSets_.erase(replicaSets_.lower_bound(index), replicaSets_.end());
    firstUnsaved_ = std::min(firstUnsaved_, index);
    lastSaving_ = std::min(lastSaving_, index - 1);
    persistedIndex_ = std::min(persistedIndex_, index - 1);
}

void ReplicatedLog::commitTo(Index index)
{
    YW_INVARIANT(index >= committed_, "the commit index must not decrease");
    YW_INVARIANT(index <= buffer_.lastIndex(), "only entries in the log can be committed");
    if (state_ == State::Leader) {
        for (Index i = committed_ + 1; i <= index; ++i) {
            uncommittedBytes_ -= std::min(uncommittedBytes_, sizeOf(buffer_.at(i)));
        }
    }
    committed_ = index;
}

const ReplicaSet &ReplicatedLog::replicaSetAt(Index index) const
{
    auto after = replicaSets_.upper_bound(index);
    YW_INVARIANT(after != replicaSets_.begin(), "the replica set at the base index must be known");
    return std::prev(after)->second;
}

void ReplicatedLog::send(ReplicaId to, Term term, MessageBody body)
{
    messages_.push_back(Message{cluster(), self(), to, term, std::move(body)});
}

} // namespace yuccawheel::coordination
