#include "coordination/replicated_log.h"

#include "base/invariant.h"

#include <algorithm>
#include <utility>

namespace yuccawheel::coordination
{

namespace
{

constexpr std::chrono::milliseconds LeaseMargin{50}; ///< For clocks of different rates, and the end of an order.

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

// An empty disk makes a new replica: its identity has to be on disk before any other replica hears of it, or a second
// loss of the disk could bring the same identity back without its votes.
ReplicatedLog::ReplicatedLog(LogSettings settings,
                             RecoveredState state,
                             const SnapshotSource &source,
                             base::TimePoint now)
    : settings_(std::move(settings))
    , source_(source)
    , hardState_(state.hardState)
    , snapshot_(state.snapshot)
    , random_(settings_.seed)
    , startedAt_(now)
{
    if (hardState_.self == ReplicaId{}) {
        hardState_.self = settings_.self;
        hardStateDirty_ = true;
    }
    YW_INVARIANT(hardState_.self.node != 0 && hardState_.self.generation != 0, "a replica needs a whole identity");
    YW_INVARIANT(hardState_.self.node == settings_.self.node, "the disk belongs to another node");
    buffer_.reset(snapshot_.index, snapshot_.term);
    sets_.emplace(snapshot_.index, snapshot_.replicas);
    committed_ = applied_ = snapshot_.index;
    unsavedFrom_ = snapshot_.index + 1;
    for (Entry &entry : state.entries) {
        appendEntry(std::move(entry));
    }
    unsavedFrom_ = buffer_.lastIndex() + 1;
    persistedIndex_ = savingTo_ = buffer_.lastIndex();
    resetElectionTimer(now);
    const bool alone = voterCount(replicaSet()) == 1 && isVoter(replicaSet(), self());
    if (alone || (settings_.openMembership && buffer_.lastIndex() == 0)) {
        electionDeadline_ = now; // There is nobody to wait for, or to ask for admission is all that it can do.
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
        // Reads send heartbeats of their own, so the review keeps a time apart from theirs.
        if (state_ == State::Leader && now >= nextReview_) {
            nextReview_ = now + settings_.heartbeatInterval;
            reviewReplicas(now);
        }
        if (state_ == State::Leader && now >= nextHeartbeat_) {
            handoverSent_ = false;
            heartbeat(now);
        }
        if (handoverUntil_ && now >= *handoverUntil_) {
            handoverUntil_.reset();
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
    // A replica that was removed stays out, unless any may join: then it may have been taken for lost.
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
    if (handoverUntil_) {
        return tl::unexpected(ProposeError{ProposeFailure::HandingOver, self()});
    }
    if (data.size() > settings_.maxEntryBytes) {
        return tl::unexpected(ProposeError{ProposeFailure::TooLarge, self()});
    }
    if (uncommittedBytes_ + data.size() > settings_.maxUncommittedBytes) {
        return tl::unexpected(ProposeError{ProposeFailure::Overloaded, self()});
    }
    appendOwn(EntryKind::Application, std::move(data));
    return Position{buffer_.lastIndex(), term()};
}

// A new leader does not know which entries are committed before its own first one is, so reads wait for that.
tl::expected<void, ProposeError> ReplicatedLog::requestRead(std::uint64_t read)
{
    if (state_ != State::Leader) {
        return tl::unexpected(ProposeError{ProposeFailure::NotLeader, leader_});
    }
    if (pendingReads_.size() >= settings_.maxPendingReads) {
        return tl::unexpected(ProposeError{ProposeFailure::Overloaded, self()});
    }
    pendingReads_.push_back(PendingRead{read, std::max(committed_, termStart_), round_ + 1});
    roundWanted_ = true;
    return {};
}

// Reads and entries that came in since the last call share one round of messages.
Ready ReplicatedLog::takeReady(base::TimePoint now)
{
    if (state_ == State::Leader) {
        if (roundWanted_) {
            heartbeat(now);
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
    ready.snapshot = std::exchange(installed_, std::nullopt);
    if (unsavedFrom_ <= buffer_.lastIndex()) {
        ready.entries = buffer_.slice(unsavedFrom_, buffer_.lastIndex(), SIZE_MAX);
        unsavedFrom_ = buffer_.lastIndex() + 1;
    }
    savingTo_ = buffer_.lastIndex();
    if (ready.snapshot) {
        applied_ = ready.snapshot->meta.index;
    }
    if (applied_ < committed_) {
        ready.committed = buffer_.slice(applied_ + 1, committed_, settings_.maxInFlightBytes);
        applied_ = ready.committed.back().index;
    }
    ready.messages = std::exchange(messages_, {});
    ready.reads = std::exchange(reads_, {});
    return ready;
}

// Only what is on disk counts towards the majority, the leader's own copy included.
void ReplicatedLog::persisted(base::TimePoint now)
{
    persistedIndex_ = std::min(savingTo_, buffer_.lastIndex());
    if (state_ == State::Leader) {
        advanceCommit(now);
    }
}

SnapshotMeta ReplicatedLog::describeSnapshot(Index index) const
{
    YW_INVARIANT(index <= applied_, "a snapshot covers applied entries only");
    const auto termThere = buffer_.termAt(index);
    YW_INVARIANT(termThere.has_value(), "the snapshot is older than the log in memory");
    return SnapshotMeta{index, *termThere, replicaSetAt(index), 0, 0};
}

// Some entries stay behind the snapshot, so that a replica that is a little late needs no snapshot.
void ReplicatedLog::snapshotSaved(const SnapshotMeta &meta)
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
    sets_.erase(sets_.begin(), sets_.upper_bound(buffer_.baseIndex()));
    sets_.emplace(buffer_.baseIndex(), base);
}

// Followers grant no vote for an election timeout after they last heard this leader, which was not before the round
// that they acknowledged began.
std::optional<base::TimePoint> ReplicatedLog::leaseEnd() const
{
    if (state_ != State::Leader || handoverUntil_ || !settings_.leaderLease) {
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

void ReplicatedLog::appendOwn(EntryKind kind, std::string data)
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
        sets_.insert_or_assign(entry.index, std::move(*set));
    }
    buffer_.append(std::move(entry));
}

// A conflict at or below the commit index would take back an acknowledged entry.
void ReplicatedLog::truncateFrom(Index index)
{
    YW_INVARIANT(index > committed_, "committed entries never change");
    buffer_.truncateFrom(index);
    sets_.erase(sets_.lower_bound(index), sets_.end());
    unsavedFrom_ = std::min(unsavedFrom_, index);
    savingTo_ = std::min(savingTo_, index - 1);
    persistedIndex_ = std::min(persistedIndex_, index - 1);
}

void ReplicatedLog::commitTo(Index index)
{
    YW_INVARIANT(index >= committed_, "the commit index must not fall");
    YW_INVARIANT(index <= buffer_.lastIndex(), "only entries of the log can be committed");
    if (state_ == State::Leader) {
        for (Index i = committed_ + 1; i <= index; ++i) {
            uncommittedBytes_ -= std::min(uncommittedBytes_, sizeOf(buffer_.at(i)));
        }
    }
    committed_ = index;
}

const ReplicaSet &ReplicatedLog::replicaSetAt(Index index) const
{
    auto after = sets_.upper_bound(index);
    YW_INVARIANT(after != sets_.begin(), "the replica set of the base is always known");
    return std::prev(after)->second;
}

void ReplicatedLog::send(ReplicaId to, Term term, MessageBody body)
{
    messages_.push_back(Message{cluster(), self(), to, term, std::move(body)});
}

} // namespace yuccawheel::coordination
