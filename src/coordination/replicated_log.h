#pragma once

#include "base/clock.h"
#include "coordination/log_buffer.h"
#include "coordination/message.h"
#include "coordination/progress.h"
#include "coordination/replica_set.h"
#include "coordination/types.h"

#include <tl/expected.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccawheel::coordination
{

enum class Role : std::uint8_t {
    Joining, ///< Not in the replica set that it knows: does not vote and counts in no majority.
    Learner,
    Follower,
    Candidate,
    Leader,
};

std::string_view toString(Role role);

struct LogSettings {
    ReplicaId self; ///< Used only on an empty disk; else the identity is read from disk.
    std::vector<std::uint32_t> nodes; ///< Nodes of the settings, including this one, to which join requests are sent.
    bool openMembership = false; ///< Any node may join, not only those in `nodes`.
    std::size_t maxLearners = 1; ///< Learners at the same time, catching up or on standby.
    std::size_t maxVoters = 7; ///< With this many voters, learners are not promoted.
    /// A voter silent for this long is replaced by a learner that has caught up. Zero disables replacement.
    std::chrono::milliseconds replaceSilentAfter{0};
    /// Enables leader leases: a restarted replica grants no vote for an election timeout. Must be equal on all
    /// replicas.
    bool leaderLease = false;
    std::chrono::milliseconds heartbeatInterval{200};
    std::chrono::milliseconds electionTimeout{1000}; ///< Minimum time without a leader before an election.
    std::chrono::milliseconds electionJitter{1000}; ///< Upper bound of the random addition to `electionTimeout`.
    std::size_t maxEntryBytes = std::size_t{768} * 1024;
    std::size_t maxBatchBytes =
        std::size_t{256} * 1024; ///< Entries of one message; a single larger entry is still sent.
    std::size_t maxInFlightBytes = std::size_t{1024} * 1024; ///< Unacknowledged entries per replica.
    std::size_t maxUncommittedBytes = std::size_t{4} * 1024 * 1024; ///< Further proposals are refused.
    std::size_t snapshotChunkBytes = std::size_t{128} * 1024;
    std::size_t snapshotWindowBytes = std::size_t{512} * 1024; ///< Unacknowledged chunks per replica.
    std::size_t maxSnapshotBytes = std::size_t{256} * 1024 * 1024;
    std::size_t retainedBytes =
        std::size_t{2} * 1024 * 1024; ///< Entries kept in memory after a snapshot, for slow replicas.
    std::size_t maxPendingReads = 1024;
    std::uint64_t seed = 0; ///< Seed of the election timeouts; must differ between replicas.
};

/// Provides the leader with the data of the snapshots that it sends.
class SnapshotSource
{
public:
    virtual ~SnapshotSource() = default;
    /// Returns up to `size` bytes at `offset` of the snapshot at `index`, or nothing if that snapshot is no longer
    /// stored.
    virtual std::optional<std::string> readSnapshot(Index index, std::uint64_t offset, std::size_t size) const = 0;
};

enum class ProposeFailure : std::uint8_t {
    NotLeader, ///< Not appended. `leaderHint` is the leader, if known.
    Overloaded, ///< Not appended: too many uncommitted bytes or pending reads.
    ChangeInProgress, ///< Not appended: an earlier change of the replica set is not committed yet.
    TooLarge, ///< Not appended: larger than `maxEntryBytes`.
    DiskFull, ///< Not appended: the free disk space of the leader is below its reserve.
    HandingOver, ///< Not appended: leadership is being handed over.
    LastVoter, ///< Not appended: without voters, the replica set could never change again.
};

struct ProposeError {
    ProposeFailure failure = ProposeFailure::NotLeader;
    ReplicaId leaderHint;
};

/// Position of a proposed entry. The proposal is committed once an entry with this index and term is committed. If an
/// entry of another term is committed at this index, the proposal has been lost.
struct Position {
    Index index = 0;
    Term term = 0;

    bool operator==(const Position &) const = default;
};

/// A confirmed or refused read. A confirmed one may be served once the entries up to `index` are applied.
struct ReadReady {
    std::uint64_t readId = 0;
    Index index = 0;
    bool refused = false; ///< Leadership was lost before the read was confirmed; ask the new leader.
};

/// Actions that the caller must take, in this order: save and sync `hardState`, `snapshot` and `entries`; call
/// `markPersisted`; send `messages`; load `snapshot`; apply `committed`; answer `reads`.
struct Ready {
    std::optional<HardState> hardState;
    std::optional<Snapshot> snapshot; ///< Replaces the whole log and the state of the application.
    std::vector<Entry> entries; ///< These replace the stored entries from the index of the first on.
    std::vector<Message> messages;
    std::vector<Entry> committed;
    std::vector<ReadReady> reads;

    bool empty() const
    {
        return !needsSync() && messages.empty() && committed.empty() && reads.empty();
    }
    bool needsSync() const
    {
        return hardState.has_value() || snapshot.has_value() || !entries.empty();
    }
};

/// The replicated log as a state machine without I/O: Raft with pre-vote, check-quorum, learners and single-server
/// membership changes (docs/design/0200-replicated-log.md).
class ReplicatedLog
{
public:
    /// Starts from the recovered state. `source` must outlive the log.
    ReplicatedLog(LogSettings settings, RecoveredState state, const SnapshotSource &source, base::TimePoint now);

    /// Returns the initial disk state of a new cluster. Must be used once, on one replica.
    static RecoveredState bootstrap(ClusterId cluster, ReplicaId self, const ReplicaSet &set);

    void tick(base::TimePoint now);
    void receive(const Message &message, base::TimePoint now);
    tl::expected<Position, ProposeError> propose(std::string data);
    /// Requests a linearizable read, which sees every entry committed before the call. `readId` is returned in
    /// `Ready::reads`.
    tl::expected<void, ProposeError> requestRead(std::uint64_t readId);
    /// Removes a replica from the replica set. Only one change of the set may be in progress at a time.
    tl::expected<Position, ProposeError> removeReplica(ReplicaId id, base::TimePoint now);

    /// Starts to hand over leadership to the active voter with the longest log. Proposals are refused until another
    /// replica leads or an election timeout has passed; then, this replica may lead on in a new term. Returns false if
    /// this replica is not the leader or no other voter is active.
    bool handOverLeadership(base::TimePoint now);

    /// Sets the nodes to which join requests are sent.
    void setNodes(std::vector<std::uint32_t> nodes)
    {
        settings_.nodes = std::move(nodes);
    }
    /// Returns the time before which no other replica can become leader, or nothing if this replica holds no lease.
    std::optional<base::TimePoint> leaseEnd() const;

    /// Returns the actions due since the last call. `markPersisted` must be called before the next call.
    Ready takeReady(base::TimePoint now);
    /// Records that the state of the last Ready has been saved and synced.
    void markPersisted(base::TimePoint now);
    /// Records that a snapshot of the application's state is on disk. Entries up to `meta.index` may be dropped.
    void markSnapshotSaved(const SnapshotMeta &meta);
    /// Returns the description of a snapshot of the application's state after `index`, without size and checksum.
    SnapshotMeta describeSnapshot(Index index) const;

    Role role() const;
    Term term() const
    {
        return hardState_.term;
    }
    ReplicaId self() const
    {
        return hardState_.self;
    }
    ClusterId cluster() const
    {
        return hardState_.cluster;
    }
    /// Returns the leader of the current term, or an identity with node 0 if it is not known.
    ReplicaId leader() const
    {
        return leader_;
    }
    Index commitIndex() const
    {
        return committed_;
    }
    Index appliedIndex() const
    {
        return applied_;
    }
    Index lastIndex() const
    {
        return buffer_.lastIndex();
    }
    /// Returns the last index covered by the newest snapshot.
    Index snapshotIndex() const
    {
        return snapshot_.index;
    }
    std::size_t bytesInMemory() const
    {
        return buffer_.bytes() + receivedSnapshot_.size();
    }
    /// Returns the replica set in effect, which is the latest one in the log, whether committed or not.
    const ReplicaSet &replicaSet() const
    {
        return replicaSets_.rbegin()->second;
    }

private:
    enum class State : std::uint8_t {
        Follower,
        PreCandidate,
        Candidate,
        Leader,
    };
    struct PendingRead {
        std::uint64_t readId = 0;
        Index index = 0;
        std::uint64_t round = 0;
    };

    // Elections.
    void resetElectionTimer(base::TimePoint now);
    void becomeFollower(Term term, ReplicaId leader, base::TimePoint now);
    void startPreVote(base::TimePoint now);
    void startElection(base::TimePoint now, bool handover);
    ReplicaId findSuccessor(base::TimePoint now) const;
    void continueHandover(base::TimePoint now);
    void giveUpHandover(base::TimePoint now);
    void onHandoverRequest(const Message &message, base::TimePoint now);
    void becomeLeader(base::TimePoint now);
    void requestVotes(const VoteRequest &request, Term term);
    void countVotes(base::TimePoint now);
    bool isLeaderActive(base::TimePoint now) const;
    void onVoteRequest(const Message &message, const VoteRequest &request, base::TimePoint now);
    void onVoteResponse(const Message &message, const VoteResponse &response, base::TimePoint now);
    void checkQuorum(base::TimePoint now);
    std::uint64_t nextRandom();

    // Receiving.
    bool isForThisReplica(const Message &message) const;
    bool updateTerm(const Message &message, base::TimePoint now);
    void refuseOldTerm(const Message &message);
    void followLeader(ReplicaId leader, base::TimePoint now);
    void onAppendRequest(const Message &message, const AppendRequest &request, base::TimePoint now);
    bool matchesLog(const AppendRequest &request) const;
    void appendFromLeader(const AppendRequest &request);
    Index lastPossibleMatch(Index previous) const;
    void onSnapshotChunk(const Message &message, const SnapshotChunk &chunk, base::TimePoint now);
    void installSnapshot(const SnapshotMeta &meta);

    // Replication by the leader.
    Progress *recordResponse(ReplicaId from, std::uint64_t round, base::TimePoint now);
    void onAppendResponse(const Message &message, const AppendResponse &response, base::TimePoint now);
    void onRefusedAppend(ReplicaId from, Progress &progress, const AppendResponse &response);
    void onSnapshotResponse(const Message &message, const SnapshotChunkResponse &response, base::TimePoint now);
    void onJoinRequest(const Message &message, base::TimePoint now);
    void broadcastHeartbeat(base::TimePoint now);
    void sendHeartbeat(ReplicaId to, Progress &progress);
    void replicate(ReplicaId to, Progress &progress);
    void startSnapshot(Progress &progress);
    void sendSnapshotChunks(ReplicaId to, Progress &progress);
    void advanceCommit(base::TimePoint now);
    void releaseReads();
    void refuseReads();
    void checkReplicas(base::TimePoint now);
    bool isActiveSince(ReplicaId id, base::TimePoint since) const;
    void sendAppend(ReplicaId to, Progress &progress, Index previous, std::vector<Entry> entries);

    // The log and its replica set.
    void appendAsLeader(EntryKind kind, std::string data);
    void appendEntry(Entry entry);
    void truncateFrom(Index index);
    void commitTo(Index index);
    bool isChangeInProgress() const;
    void appendReplicaSet(const ReplicaSet &set, base::TimePoint now);
    void syncProgressWithSet(base::TimePoint now);
    void promoteLearner(base::TimePoint now);
    std::optional<ReplicaId> findLostVoter(base::TimePoint now) const;
    void removeReplacedVoter(base::TimePoint now);
    const ReplicaSet &replicaSetAt(Index index) const;
    void send(ReplicaId to, Term term, MessageBody body);

    LogSettings settings_;
    const SnapshotSource &snapshotSource_;
    HardState hardState_;
    bool hardStateDirty_ = false;
    SnapshotMeta snapshot_;
    LogBuffer buffer_;
    std::map<Index, ReplicaSet>
        replicaSets_; ///< By index of their entry. The first is that of the base index, or empty.

    State state_ = State::Follower;
    ReplicaId leader_;
    base::TimePoint lastLeaderContact_{};
    base::TimePoint electionDeadline_{};
    base::TimePoint nextHeartbeat_{};
    base::TimePoint nextReplicaCheck_{};
    base::TimePoint nextQuorumCheck_{};
    std::optional<base::TimePoint> handoverDeadline_; ///< Set during a handover: when to give it up.
    bool handoverSent_ = false; ///< Whether a HandoverRequest was sent since the last heartbeat.
    bool successorAsked_ = false; ///< Whether a HandoverRequest was sent in this leadership.
    std::set<ReplicaId> votes_;
    std::uint64_t randomState_ = 0;

    Index committed_ = 0;
    Index applied_ = 0;
    Index persistedIndex_ = 0;
    Index firstUnsaved_ = 1; ///< First index not yet returned by `takeReady` for saving.
    Index lastSaving_ = 0; ///< Last index returned by `takeReady` for saving.
    std::size_t uncommittedBytes_ = 0;

    std::map<ReplicaId, Progress> progress_;
    std::uint64_t round_ = 0; ///< Heartbeat rounds in this leadership.
    std::deque<std::pair<std::uint64_t, base::TimePoint>>
        roundStarts_; ///< Start of each recent round, from which the lease counts.
    base::TimePoint startedAt_;
    bool heartbeatRequested_ = false;
    std::vector<PendingRead> pendingReads_;
    Index termStartIndex_ = 0; ///< Index of the TermStart entry of this leadership.

    SnapshotMeta receivingSnapshot_;
    std::string receivedSnapshot_;
    std::optional<Snapshot> installedSnapshot_;

    std::vector<Message> messages_;
    std::vector<ReadReady> completedReads_;
};

} // namespace yuccawheel::coordination
