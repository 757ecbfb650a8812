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
    Joining, ///< Not in its own replica set: it neither votes nor counts.
    Learner,
    Follower,
    Candidate,
    Leader,
};

std::string_view toString(Role role);

struct LogSettings {
    ReplicaId self; ///< Used only on an empty disk; otherwise the disk's own identity holds.
    std::vector<std::uint32_t> nodes; ///< Nodes of the settings, self included; these are asked for admission.
    bool openMembership = false; ///< Any node may join; otherwise only those in `nodes`.
    std::size_t maxLearners = 1; ///< That catch up, or wait to take a voter's place, at the same time.
    std::size_t maxVoters = 7; ///< Learners beyond stay learners.
    /// A voter that has been silent for so long is replaced by a learner that has caught up; zero for never.
    std::chrono::milliseconds replaceSilentAfter{0};
    /// Lets a leader rely on its lease: a replica that restarts grants no vote for an election timeout.
    bool leaderLease = false;
    std::chrono::milliseconds heartbeatInterval{200};
    std::chrono::milliseconds electionTimeout{1000}; ///< Least time without a leader before an election.
    std::chrono::milliseconds electionJitter{1000}; ///< Random addition to it.
    std::size_t maxEntryBytes = std::size_t{768} * 1024;
    std::size_t maxBatchBytes = std::size_t{256} * 1024; ///< Entry data of one message, but for a larger entry.
    std::size_t maxInFlightBytes = std::size_t{1024} * 1024; ///< Unacknowledged entry data for each replica.
    std::size_t maxUncommittedBytes = std::size_t{4} * 1024 * 1024; ///< Proposals beyond are refused.
    std::size_t snapshotChunkBytes = std::size_t{128} * 1024;
    std::size_t snapshotWindowBytes = std::size_t{512} * 1024; ///< Unacknowledged chunk bytes for each replica.
    std::size_t maxSnapshotBytes = std::size_t{256} * 1024 * 1024;
    std::size_t retainedBytes = std::size_t{2} * 1024 * 1024; ///< Entries kept behind a snapshot for slow replicas.
    std::size_t maxPendingReads = 1024;
    std::uint64_t seed = 0; ///< Of the election timeouts; must differ between replicas.
};

/// Gives the leader parts of the snapshot that it sends.
class SnapshotSource
{
public:
    virtual ~SnapshotSource() = default;
    /// Returns up to `size` bytes at `offset` of the snapshot at `index`, or nothing if that is no longer held.
    virtual std::optional<std::string> readSnapshot(Index index, std::uint64_t offset, std::size_t size) const = 0;
};

enum class ProposeFailure : std::uint8_t {
    NotLeader, ///< Not appended. `leaderHint` names the leader, if one is known.
    Overloaded, ///< Not appended: too much is uncommitted.
    ChangeUnderWay, ///< Not appended: an earlier change of replicas is not committed yet.
    TooLarge, ///< Not appended.
    DiskFull, ///< Not appended: the leader's disk has less than its reserve left.
    HandingOver, ///< Not appended: the leader hands over to another replica.
    LastVoter, ///< Not appended: a set without voters could never change again.
};

struct ProposeError {
    ProposeFailure failure = ProposeFailure::NotLeader;
    ReplicaId leaderHint;
};

/// Place of a proposed entry. The entry is committed if an entry with this index and term is; an entry of another term
/// at this index means that it never will be.
struct Position {
    Index index = 0;
    Term term = 0;

    bool operator==(const Position &) const = default;
};

/// A read that may now be served: once entries up to `index` are applied, unless it was refused.
struct ReadReady {
    std::uint64_t readId = 0;
    Index index = 0;
    bool refused = false; ///< The leadership ended first; ask the new leader.
};

/// What must happen next, in this order: save `hardState`, `snapshot` and `entries` and sync; call `persisted`;
/// send `messages`; load `snapshot`; apply `committed`; answer `reads`.
struct Ready {
    std::optional<HardState> hardState;
    std::optional<Snapshot> snapshot; ///< Replaces the whole log and the application's state.
    std::vector<Entry> entries; ///< Replace stored entries from the first one's index on.
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

/// The agreed log as a state machine without input or output: Raft with pre-vote, check-quorum, learners and
/// single-server changes of the replica set (docs/design/0200-replicated-log.md).
class ReplicatedLog
{
public:
    /// Starts from what the disk holds. `source` must outlive the log.
    ReplicatedLog(LogSettings settings, RecoveredState state, const SnapshotSource &source, base::TimePoint now);

    /// Returns the disk state that forms a new cluster of one replica set. Use it on one replica, once.
    static RecoveredState bootstrap(ClusterId cluster, ReplicaId self, const ReplicaSet &set);

    void tick(base::TimePoint now);
    void receive(const Message &message, base::TimePoint now);
    tl::expected<Position, ProposeError> propose(std::string data);
    /// Asks for a read that sees every entry committed before the call; `read` comes back in `Ready::reads`.
    tl::expected<void, ProposeError> requestRead(std::uint64_t read);
    /// Removes a replica for good. Only one change of replicas is under way at a time.
    tl::expected<Position, ProposeError> removeReplica(ReplicaId id, base::TimePoint now);

    /// Begins to hand the leadership over to the voter whose log is the longest. Proposals are refused until another
    /// replica leads, or until an election timeout has passed without that. Returns false if this replica does not
    /// lead, or is the only voter.
    bool handOverLeadership(base::TimePoint now);

    /// Replaces the nodes that are asked for admission.
    void setNodes(std::vector<std::uint32_t> nodes)
    {
        settings_.nodes = std::move(nodes);
    }
    /// Returns until when no other replica can lead, given `leaderLease` on all of them; nothing without a lease.
    std::optional<base::TimePoint> leaseEnd() const;

    /// Takes what has to be done since the last call. Call `persisted` before the next one.
    Ready takeReady(base::TimePoint now);
    /// Says that everything of the last Ready is on disk and synced.
    void persisted(base::TimePoint now);
    /// Says that the application's state at `meta.index` is on disk; entries before it may be dropped.
    void snapshotSaved(const SnapshotMeta &meta);
    /// Describes a snapshot of the application's state after applying `index`; size and checksum are left open.
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
    /// Returns the leader of the current term, or a replica with node 0 if none is known.
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
    /// Returns the last index that the newest snapshot covers.
    Index snapshotIndex() const
    {
        return snapshot_.index;
    }
    std::size_t bytesInMemory() const
    {
        return buffer_.bytes() + receivedSnapshot_.size();
    }
    /// Returns the set in force: the last one in the log, committed or not.
    const ReplicaSet &replicaSet() const
    {
        return sets_.rbegin()->second;
    }

private:
    enum class State : std::uint8_t {
        Follower,
        PreCandidate,
        Candidate,
        Leader,
    };
    struct PendingRead {
        std::uint64_t read = 0;
        Index index = 0;
        std::uint64_t round = 0;
    };

    // Elections.
    void resetElectionTimer(base::TimePoint now);
    void becomeFollower(Term term, ReplicaId leader, base::TimePoint now);
    void startPreVote(base::TimePoint now);
    void startElection(base::TimePoint now, bool handover);
    ReplicaId successor(base::TimePoint now) const;
    void continueHandover(base::TimePoint now);
    void onHandoverRequest(const Message &message, base::TimePoint now);
    void becomeLeader(base::TimePoint now);
    void requestVotes(const VoteRequest &request, Term term);
    void countVotes(base::TimePoint now);
    bool hearsLeader(base::TimePoint now) const;
    void onVoteRequest(const Message &message, const VoteRequest &request, base::TimePoint now);
    void onVoteResponse(const Message &message, const VoteResponse &response, base::TimePoint now);
    void checkQuorum(base::TimePoint now);
    std::uint64_t nextRandom();

    // Receiving.
    bool isForThisReplica(const Message &message) const;
    bool settleTerm(const Message &message, base::TimePoint now);
    void refuseOldTerm(const Message &message);
    void followLeader(ReplicaId leader, base::TimePoint now);
    void onAppendRequest(const Message &message, const AppendRequest &request, base::TimePoint now);
    bool agreesAt(const AppendRequest &request) const;
    void appendFromLeader(const AppendRequest &request);
    Index lastPossibleMatch(Index previous) const;
    void onSnapshotChunk(const Message &message, const SnapshotChunk &chunk, base::TimePoint now);
    void installSnapshot(const SnapshotMeta &meta);

    // Replication by the leader.
    Progress *noteResponse(ReplicaId from, std::uint64_t round, base::TimePoint now);
    void onAppendResponse(const Message &message, const AppendResponse &response, base::TimePoint now);
    void onRefusedAppend(ReplicaId from, Progress &progress, const AppendResponse &response);
    void onSnapshotResponse(const Message &message, const SnapshotChunkResponse &response, base::TimePoint now);
    void onJoinRequest(const Message &message, base::TimePoint now);
    void heartbeat(base::TimePoint now);
    void sendHeartbeat(ReplicaId to, Progress &progress);
    void replicate(ReplicaId to, Progress &progress);
    void startSnapshot(Progress &progress);
    void sendSnapshotChunks(ReplicaId to, Progress &progress);
    void advanceCommit(base::TimePoint now);
    void releaseReads();
    void refuseReads();
    void reviewReplicas(base::TimePoint now);
    bool heardSince(ReplicaId id, base::TimePoint since) const;
    void sendAppend(ReplicaId to, Progress &progress, Index previous, std::vector<Entry> entries);

    // The log and its replica set.
    void appendOwn(EntryKind kind, std::string data);
    void appendEntry(Entry entry);
    void truncateFrom(Index index);
    void commitTo(Index index);
    bool changeUnderWay() const;
    void appendReplicaSet(const ReplicaSet &set, base::TimePoint now);
    void syncProgressWithSet(base::TimePoint now);
    void promoteLearner(base::TimePoint now);
    std::optional<ReplicaId> lostVoter(base::TimePoint now) const;
    void removeReplacedVoter(base::TimePoint now);
    const ReplicaSet &replicaSetAt(Index index) const;
    void send(ReplicaId to, Term term, MessageBody body);

    LogSettings settings_;
    const SnapshotSource &source_;
    HardState hardState_;
    bool hardStateDirty_ = false;
    SnapshotMeta snapshot_;
    LogBuffer buffer_;
    std::map<Index, ReplicaSet> sets_; ///< By index of their entry; the first one is of the snapshot or empty.

    State state_ = State::Follower;
    ReplicaId leader_;
    base::TimePoint lastLeaderContact_{};
    base::TimePoint electionDeadline_{};
    base::TimePoint nextHeartbeat_{};
    base::TimePoint nextReview_{};
    base::TimePoint nextQuorumCheck_{};
    std::optional<base::TimePoint> handoverUntil_; ///< Set while the leadership is being handed over.
    bool handoverSent_ = false; ///< Since the last heartbeat.
    std::set<ReplicaId> votes_;
    std::uint64_t random_ = 0;

    Index committed_ = 0;
    Index applied_ = 0;
    Index persistedIndex_ = 0;
    Index unsavedFrom_ = 1; ///< First entry not yet handed out for saving.
    Index savingTo_ = 0; ///< Last entry handed out for saving.
    std::size_t uncommittedBytes_ = 0;

    std::map<ReplicaId, Progress> progress_;
    std::uint64_t round_ = 0;
    std::deque<std::pair<std::uint64_t, base::TimePoint>> roundStarts_; ///< Of the rounds that may set the lease.
    base::TimePoint startedAt_;
    bool roundWanted_ = false;
    std::vector<PendingRead> pendingReads_;
    Index termStart_ = 0; ///< Index of the entry by which this leadership began.

    SnapshotMeta receivingSnapshot_;
    std::string receivedSnapshot_;
    std::optional<Snapshot> installed_;

    std::vector<Message> messages_;
    std::vector<ReadReady> reads_;
};

} // namespace yuccawheel::coordination
