#include "fakes/fake_cluster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <ostream>
#include <random>

using namespace yuccawheel;
using namespace std::chrono_literals;
using fakes::FakeCluster;

namespace
{

enum class Fault : std::uint8_t {
    None,
    Kill,
    KillAtWrite,
    LosePower,
    LosePowerAtWrite,
    FailSync,
    LoseDisk,
    Pause,
    CutOneWay,
    CutOff,
    Heal,
    Restart,
    HandOver,
};

struct Action {
    Fault fault = Fault::None;
    std::uint32_t node = 1;
    std::uint32_t other = 1;
    std::uint32_t amount = 0;
};

std::ostream &operator<<(std::ostream &out, const Action &action)
{
    return out << '{' << static_cast<int>(action.fault) << ' ' << action.node << ' ' << action.other << ' '
               << action.amount << '}';
}

} // namespace

namespace rc
{

/// Generates numbers from the whole range at any test size; inRange alone starts with a narrow range.
template <typename Number>
Gen<Number> uniform(Number from, Number to)
{
    return gen::resize(kNominalSize, gen::inRange(from, to));
}

template <>
struct Arbitrary<Action> {
    static Gen<Action> arbitrary()
    {
        return gen::build<Action>(gen::set(&Action::fault,
                                           gen::weightedElement<Fault>({{4, Fault::None},
                                                                        {1, Fault::Kill},
                                                                        {2, Fault::KillAtWrite},
                                                                        {1, Fault::LosePower},
                                                                        {2, Fault::LosePowerAtWrite},
                                                                        {1, Fault::FailSync},
                                                                        {2, Fault::LoseDisk},
                                                                        {2, Fault::Pause},
                                                                        {2, Fault::CutOneWay},
                                                                        {1, Fault::CutOff},
                                                                        {4, Fault::Heal},
                                                                        {5, Fault::Restart},
                                                                        {2, Fault::HandOver}})),
                                  gen::set(&Action::node, uniform<std::uint32_t>(1, 6)),
                                  gen::set(&Action::other, uniform<std::uint32_t>(1, 6)),
                                  gen::set(&Action::amount, uniform<std::uint32_t>(0, 3000)));
    }
};

} // namespace rc

namespace
{

/// Runs a cluster under faults. Loses a disk only while all other replicas are running voters, so that a majority
/// always keeps its disks.
class FaultyRun
{
public:
    FaultyRun(std::uint32_t replicas, std::uint64_t seed) : replicas_(replicas), cluster_(optionsOf(replicas, seed))
    {
        cluster_.network().setFaults({10, 5, 1ms, 40ms});
        for (std::uint32_t node = 1; node <= replicas_; ++node) {
            cluster_.setClockRate(node, 1.0 + 0.02 * (node % 3));
        }
    }

    void act(const Action &action)
    {
        const std::uint32_t node = 1 + action.node % replicas_;
        const std::uint32_t other = 1 + action.other % replicas_;
        inject(action, node, other);
        for (std::uint32_t i = 0; i < 1 + action.amount / 50; ++i) {
            for (std::uint32_t at = 1; at <= replicas_; ++at) {
                cluster_.propose(at);
                cluster_.read(at);
            }
            cluster_.run(std::chrono::milliseconds(20 + action.amount % 30));
        }
        if (losesPower_ != 0 && !cluster_.running(losesPower_)) {
            cluster_.losePower(std::exchange(losesPower_, 0));
        }
    }

    /// Ends all faults and checks that the replicas reach agreement without losing acknowledged entries.
    bool recovers()
    {
        cluster_.network().heal();
        cluster_.network().setFaults({});
        for (std::uint32_t node = 1; node <= replicas_; ++node) {
            cluster_.disk(node).clearFaults();
            cluster_.pause(node, 0ms);
            if (!cluster_.running(node)) {
                cluster_.start(node);
            }
        }
        if (!cluster_.runUntil([this] { return cluster_.settled(); }, 60s)) {
            return false;
        }
        cluster_.checkAcknowledged();
        return true;
    }

    FakeCluster &cluster()
    {
        return cluster_;
    }

private:
    void inject(const Action &action, std::uint32_t node, std::uint32_t other)
    {
        switch (action.fault) {
        case Fault::None:
            break;
        case Fault::Kill:
            cluster_.kill(node);
            break;
        case Fault::KillAtWrite:
            cluster_.disk(node).killAfter(action.amount % 20);
            break;
        case Fault::LosePower:
            cluster_.losePower(node);
            break;
        case Fault::LosePowerAtWrite:
            cluster_.disk(node).killAfter(action.amount % 20);
            losesPower_ = node;
            break;
        case Fault::FailSync:
            cluster_.disk(node).failSyncAfter(action.amount % 20);
            break;
        case Fault::LoseDisk:
            if (othersAreVoters(node)) {
                cluster_.loseDisk(node);
            }
            break;
        case Fault::Pause:
            cluster_.pause(node, std::chrono::milliseconds(action.amount * 10));
            break;
        case Fault::CutOneWay:
            cluster_.network().cut(node, other);
            break;
        case Fault::CutOff:
            for (std::uint32_t peer = 1; peer <= replicas_; ++peer) {
                cluster_.network().cut(node, peer);
                cluster_.network().cut(peer, node);
            }
            break;
        case Fault::Heal:
            cluster_.network().heal();
            break;
        case Fault::HandOver:
            if (const std::uint32_t leader = cluster_.leader(); leader != 0) {
                cluster_.handOver(leader);
            }
            break;
        case Fault::Restart:
            for (std::uint32_t peer = 1; peer <= replicas_; ++peer) {
                if (!cluster_.running(peer)) {
                    cluster_.start(peer);
                }
            }
            break;
        }
    }

    static FakeCluster::Options optionsOf(std::uint32_t replicas, std::uint64_t seed)
    {
        FakeCluster::Options options{replicas, seed};
        options.snapshotDelay = std::chrono::milliseconds(seed % 3 * 100);
        return options;
    }

    // Before the replica of a lost disk is a voter again, losing another disk could destroy the last copy of an entry.
    bool othersAreVoters(std::uint32_t node) const
    {
        const std::uint32_t leader = cluster_.leader();
        if (leader == 0 || coordination::voterCount(cluster_.log(leader).replicaSet()) != replicas_) {
            return false;
        }
        for (std::uint32_t peer = 1; peer <= replicas_; ++peer) {
            if (peer != node
                && (!cluster_.running(peer)
                    || !coordination::isVoter(cluster_.log(leader).replicaSet(), cluster_.log(peer).self()))) {
                return false;
            }
        }
        return true;
    }

    std::uint32_t replicas_;
    FakeCluster cluster_;
    std::uint32_t losesPower_ = 0;
};

} // namespace

RC_GTEST_PROP(ReplicatedLog, faultsInCombinationLoseNothing, (const std::vector<Action> &actions, std::uint64_t seed))
{
    FaultyRun run(seed % 2 == 0 ? 3 : 5, seed);
    for (const Action &action : actions) {
        run.act(action);
    }
    RC_ASSERT(run.recovers());
}

TEST(ReplicatedLog, acknowledgesWithAMajority)
{
    FakeCluster cluster({3, 5});
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }, 5s));
    for (int i = 0; i < 500; ++i) {
        ASSERT_TRUE(cluster.propose(cluster.leader()));
        cluster.run(5ms);
    }
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.settled(); }, 5s));
    EXPECT_EQ(cluster.acknowledged().size(), 500U);
    cluster.checkAcknowledged();
}

TEST(ReplicatedLog, aSingleReplicaServesAlone)
{
    FakeCluster cluster({1, 5});
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() == 1; }, 100ms));
    ASSERT_TRUE(cluster.propose(1));
    ASSERT_TRUE(cluster.read(1));
    cluster.run(2ms);
    EXPECT_EQ(cluster.acknowledged().size(), 1U);
    EXPECT_EQ(cluster.readsServed(), 1U);
}

TEST(ReplicatedLog, aSnapshotStartsOverWhenItsReceiverRestarts)
{
    FakeCluster cluster({3, 5});
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }, 5s));
    const std::uint32_t late = cluster.leader() % 3 + 1;
    cluster.kill(late);
    for (int i = 0; i < 500; ++i) {
        ASSERT_TRUE(cluster.propose(cluster.leader()));
        cluster.run(5ms);
    }
    cluster.network().setFaults({0, 0, 20ms, 20ms});
    cluster.start(late);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.log(late).bytesInMemory() > 900; }, 5s));
    EXPECT_EQ(cluster.log(late).appliedIndex(), 0U);
    cluster.kill(late);
    cluster.start(late);
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.settled(); }, 5s));
    cluster.checkAcknowledged();
}

// Guards against a leader that falls silent while the application makes a snapshot: the log goes on meanwhile, so the
// snapshot is that of an entry which is no longer the last one.
TEST(ReplicatedLog, aSnapshotOfAnEarlierEntryIsSavedWhileTheLogGoesOn)
{
    FakeCluster::Options options{3, 7};
    options.snapshotDelay = 2s;
    FakeCluster cluster(options);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }, 5s));
    const std::uint32_t leader = cluster.leader();
    for (int i = 0; i < 200; ++i) {
        ASSERT_TRUE(cluster.propose(leader));
        cluster.run(100ms);
    }
    EXPECT_EQ(cluster.leader(), leader);
    EXPECT_GT(cluster.log(leader).snapshotIndex(), 0U);
    for (std::uint32_t node = 1; node <= 3; ++node) {
        cluster.losePower(node);
    }
    for (std::uint32_t node = 1; node <= 3; ++node) {
        cluster.start(node);
    }
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.settled(); }, 10s));
    cluster.checkAcknowledged();
    EXPECT_TRUE(cluster.storageErrors().empty());
}

// Guards against a returning replica that forces an election or serves stale reads. It is absent for hundreds of
// entries and several compactions, so it must catch up from a snapshot.
TEST(ReplicatedLog, aReplicaThatReturnsNeitherDisturbsTheLeaderNorServesOldState)
{
    for (const bool paused : {false, true}) {
        FakeCluster cluster({3, 9});
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }, 5s));
        const std::uint32_t leader = cluster.leader();
        const std::uint32_t late = leader % 3 + 1;
        const coordination::Term term = cluster.log(leader).term();
        if (paused) {
            cluster.pause(late, 180s);
        } else {
            cluster.network().cut(leader, late);
            cluster.network().cut(late % 3 + 1, late);
        }
        for (int i = 0; i < 600; ++i) {
            ASSERT_TRUE(cluster.propose(leader));
            cluster.run(300ms);
        }
        EXPECT_GT(cluster.log(leader).snapshotIndex(), 300U);
        EXPECT_FALSE(cluster.read(late));
        cluster.network().heal();
        EXPECT_TRUE(cluster.runUntil([&] { return cluster.settled(); }, 5s));
        EXPECT_EQ(cluster.leader(), leader);
        EXPECT_EQ(cluster.log(leader).term(), term);
        cluster.checkAcknowledged();
    }
}

TEST(ReplicatedLog, aLeaderHandsOverToTheVoterWithTheLongestLog)
{
    FakeCluster cluster({});
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.settled(); }, 10s));
    const std::uint32_t old = cluster.leader();
    const std::uint32_t behind = old % 3 + 1;
    const std::uint32_t ahead = behind % 3 + 1;
    const auto term = cluster.log(old).term();
    cluster.network().cut(old, behind);
    for (int i = 0; i < 20; ++i) {
        ASSERT_TRUE(cluster.propose(old));
    }
    ASSERT_TRUE(cluster.handOver(old));
    EXPECT_FALSE(cluster.propose(old)) << "proposals are refused during the handover";
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.leader() == ahead; }, 500ms))
        << "the handover must not wait for an election timeout";
    EXPECT_EQ(cluster.log(ahead).term(), term + 1);
    EXPECT_EQ(cluster.acknowledged().size(), 20U) << "every proposal is answered before the leader steps down";
    EXPECT_EQ(cluster.log(old).role(), coordination::Role::Follower);
    cluster.network().heal();
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.settled(); }, 10s));
    cluster.checkAcknowledged();
}

TEST(ReplicatedLog, aHandoverThatFindsNoSuccessorEnds)
{
    FakeCluster cluster({});
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.settled(); }, 10s));
    const std::uint32_t old = cluster.leader();
    ASSERT_TRUE(cluster.handOver(old));
    for (std::uint32_t node = 1; node <= 3; ++node) {
        if (node != old) {
            cluster.kill(node);
        }
    }
    EXPECT_FALSE(cluster.propose(old));
    for (std::uint32_t node = 1; node <= 3; ++node) {
        if (node != old) {
            cluster.start(node);
        }
    }
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0 && cluster.propose(cluster.leader()); }, 10s));
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.settled(); }, 10s));
}

TEST(ReplicatedLog, aPartitionedLeaderStepsDownAndServesNoReads)
{
    FakeCluster cluster({3, 9});
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }, 5s));
    const std::uint32_t old = cluster.leader();
    cluster.run(100ms);
    for (std::uint32_t node = 1; node <= 3; ++node) {
        cluster.network().cut(node, old);
    }
    ASSERT_TRUE(cluster.read(old)) << "the leader has not noticed the partition yet";
    cluster.propose(old);
    cluster.run(3s);
    EXPECT_NE(cluster.log(old).role(), coordination::Role::Leader);
    EXPECT_EQ(cluster.readsServed(), 0U);
    EXPECT_TRUE(cluster.acknowledged().empty());
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0 && cluster.leader() != old; }, 5s));
}

// Guards against losing an entry to the vote of a replica that has lost its disk. Once that replica has caught up, the
// loss of a second disk must not lose entries either.
TEST(ReplicatedLog, aReplicaWithAnEmptyDiskDoesNotVoteBeforeItHasCaughtUp)
{
    FakeCluster cluster({3, 9});
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }, 5s));
    const std::uint32_t leader = cluster.leader();
    const std::uint32_t lost = leader % 3 + 1;
    const std::uint32_t other = lost % 3 + 1;
    for (int i = 0; i < 200; ++i) {
        ASSERT_TRUE(cluster.propose(leader));
        cluster.run(5ms);
    }
    // Only the leader and the replica about to be lost hold the last entries.
    cluster.kill(other);
    ASSERT_TRUE(cluster.propose(leader));
    cluster.run(50ms);
    cluster.loseDisk(lost);
    cluster.kill(leader);
    cluster.start(lost);
    cluster.start(other);
    cluster.run(20s);
    EXPECT_EQ(cluster.leader(), 0U) << "if the replica with the empty disk could vote, the last entry would be lost";
    EXPECT_EQ(cluster.log(lost).role(), coordination::Role::Joining);
    cluster.start(leader);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.settled(); }, 20s));
    cluster.checkAcknowledged();
    cluster.loseDisk(cluster.leader());
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }, 10s));
    cluster.checkAcknowledged();
    EXPECT_EQ(cluster.acknowledged().size(), 201U);
}

TEST(ReplicatedLog, aRemovedReplicaStaysOut)
{
    FakeCluster cluster({3, 9});
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }, 5s));
    cluster.run(1s);
    const std::uint32_t leader = cluster.leader();
    const std::uint32_t removed = leader % 3 + 1;
    const coordination::Term term = cluster.log(leader).term();
    ASSERT_TRUE(cluster.remove(removed));
    EXPECT_FALSE(cluster.remove(removed % 3 + 1)) << "only one change of the replica set may be in progress";
    cluster.run(30s);
    EXPECT_EQ(cluster.leader(), leader);
    EXPECT_EQ(cluster.log(leader).term(), term);
    EXPECT_EQ(coordination::voterCount(cluster.log(leader).replicaSet()), 2U);
    EXPECT_TRUE(cluster.propose(leader));
    cluster.run(50ms);
    EXPECT_EQ(cluster.acknowledged().size(), 1U);
}

// Section 5.4.2 and figure 8 of the Raft paper: an entry of an earlier term may still be overwritten although a
// majority holds it.
TEST(ReplicatedLog, entriesOfEarlierTermsDoNotCommitByCountingCopies)
{
    struct NoSnapshots : coordination::SnapshotSource {
        std::optional<std::string> readSnapshot(coordination::Index, std::uint64_t, std::size_t) const override
        {
            return std::nullopt;
        }
    } source;
    using namespace coordination;
    const ReplicaSet set{{{{1, 1}, true}, {{2, 1}, true}, {{3, 1}, true}}};
    RecoveredState state = ReplicatedLog::bootstrap(7, {1, 1}, set);
    state.hardState.term = 2;
    state.entries.push_back(Entry{2, 2, EntryKind::Application, "of term 2"});
    LogSettings settings;
    settings.self = {1, 1};
    base::TimePoint now{1h};
    ReplicatedLog log(settings, state, source, now);
    const auto settle = [&] {
        static_cast<void>(log.takeReady(now));
        log.markPersisted(now);
    };
    log.tick(now += 3s);
    log.receive(Message{7, {2, 1}, {1, 1}, 3, VoteResponse{true, true}}, now);
    log.receive(Message{7, {2, 1}, {1, 1}, 3, VoteResponse{false, true}}, now);
    ASSERT_EQ(log.role(), Role::Leader);
    settle();
    log.receive(Message{7, {2, 1}, {1, 1}, 3, AppendResponse{true, 2, 2, 1}}, now);
    settle();
    EXPECT_EQ(log.commitIndex(), 0U) << "a majority holds entry 2, but no entry of term 3";
    log.receive(Message{7, {2, 1}, {1, 1}, 3, AppendResponse{true, 3, 2, 1}}, now);
    EXPECT_EQ(log.commitIndex(), 3U);
}

// Requests votes directly, because a pre-vote would hide most faults in the handling of votes.
TEST(ReplicatedLog, aVoteNeedsAnUpToDateLogAndIsSavedAndGivenOnce)
{
    using namespace coordination;
    struct NoSnapshots : SnapshotSource {
        std::optional<std::string> readSnapshot(Index, std::uint64_t, std::size_t) const override
        {
            return std::nullopt;
        }
    } source;
    const ReplicaSet set{{{{1, 1}, true}, {{2, 1}, true}, {{3, 1}, true}}};
    RecoveredState state = ReplicatedLog::bootstrap(7, {1, 1}, set);
    state.hardState.term = 4;
    state.entries.push_back(Entry{2, 4, EntryKind::Application, "x"});
    LogSettings settings;
    settings.self = {1, 1};
    const base::TimePoint now{1h};
    const auto ask = [&](ReplicatedLog &log, std::uint32_t node, VoteRequest request) {
        log.receive(Message{7, {node, 1}, {1, 1}, 5, request}, now);
        Ready ready = log.takeReady(now);
        log.markPersisted(now);
        const bool granted = std::get<VoteResponse>(ready.messages.back().body).granted;
        if (granted && !request.preVote) {
            EXPECT_EQ(ready.hardState.value().votedFor.node, node)
                << "a granted vote must be saved together with the response";
        }
        state.hardState = ready.hardState.value_or(state.hardState);
        return granted;
    };
    for (const bool preVote : {true, false}) {
        ReplicatedLog log(settings, state, source, now);
        EXPECT_FALSE(ask(log, 2, {preVote, 1, 4})) << "the log of the candidate is shorter";
        EXPECT_FALSE(ask(log, 2, {preVote, 9, 3})) << "the log of the candidate is longer but ends in an earlier term";
        EXPECT_TRUE(ask(log, 2, {preVote, 2, 4}));
    }
    ReplicatedLog restarted(settings, state, source, now);
    EXPECT_FALSE(ask(restarted, 3, {false, 9, 4})) << "the vote of this term has been given";
    EXPECT_TRUE(ask(restarted, 2, {false, 2, 4})) << "the same candidate gets the vote again";

    RecoveredState empty;
    LogSettings fresh = settings;
    fresh.self = {1, 9};
    ReplicatedLog joining(fresh, empty, source, now);
    joining.receive(Message{7, {2, 1}, {1, 9}, 5, VoteRequest{false, 9, 4}}, now);
    EXPECT_TRUE(joining.takeReady(now).messages.empty()) << "a replica without a cluster must not answer vote requests";
}

TEST(ReplicatedLog, aLearnerBecomesAVoterUnderAStreamOfReadsAndProposals)
{
    FakeCluster cluster({3, 9});
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }, 5s));
    const std::uint32_t leader = cluster.leader();
    const std::uint32_t lost = leader % 3 + 1;
    cluster.loseDisk(lost);
    cluster.network().cut(leader, lost);
    cluster.start(lost);
    cluster.run(5s);
    EXPECT_EQ(coordination::voterCount(cluster.log(leader).replicaSet()), 3U)
        << "a learner without entries must not be promoted";
    EXPECT_FALSE(coordination::isVoter(cluster.log(leader).replicaSet(), cluster.log(lost).self()));
    cluster.network().heal();
    for (int i = 0; i < 1000; ++i) {
        cluster.read(leader);
        cluster.propose(leader);
        cluster.run(10ms);
    }
    EXPECT_TRUE(coordination::isVoter(cluster.log(leader).replicaSet(), cluster.log(lost).self()));
    EXPECT_EQ(cluster.log(lost).role(), coordination::Role::Follower);
}

TEST(ReplicatedLog, aSpareReplicaReplacesALostDiskAtOnce)
{
    FakeCluster::Options options{3, 11};
    options.spares = 1;
    FakeCluster cluster(options);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }, 5s));
    cluster.run(2s);
    const std::uint32_t leader = cluster.leader();
    ASSERT_EQ(cluster.log(4).role(), coordination::Role::Learner);
    const std::uint32_t lost = leader % 3 + 1;
    cluster.propose(leader);
    cluster.loseDisk(lost);
    cluster.start(lost);
    const auto isReplaced = [&] {
        const coordination::ReplicaSet &set = cluster.log(leader).replicaSet();
        return coordination::isVoter(set, cluster.log(4).self()) && coordination::voterCount(set) == 3
            && cluster.log(lost).role() == coordination::Role::Learner;
    };
    EXPECT_TRUE(cluster.runUntil(isReplaced, 2s)) << "the spare must be promoted before another voter can be lost";
    cluster.kill(cluster.leader());
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }, 5s));
    cluster.checkAcknowledged();
}

// Guards against a lost disk that is never replaced: join requests go to the configured nodes only, and none of them
// led.
TEST(ReplicatedLog, aReplicaJoinsThroughAnyNodeThatFollowsTheLeader)
{
    constexpr std::uint32_t Spare = 4; // Not among the configured nodes.
    FakeCluster::Options options{3, 11};
    options.spares = 1;
    FakeCluster cluster(options);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }, 5s));
    cluster.run(2s);
    const std::uint32_t lost = cluster.leader() % 3 + 1;
    cluster.loseDisk(lost);
    cluster.start(lost);
    cluster.run(5s); // The spare becomes a voter.
    for (int change = 0; change < 50 && cluster.leader() != Spare; ++change) {
        const std::uint32_t leader = cluster.leader();
        cluster.kill(leader);
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0 && cluster.leader() != leader; }, 10s));
        cluster.start(leader);
        cluster.run(2s);
    }
    ASSERT_EQ(cluster.leader(), Spare);
    cluster.loseDisk(lost);
    cluster.start(lost);
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.log(lost).role() == coordination::Role::Learner; }, 3s));
}

TEST(ReplicatedLog, aVoterReplacedWhilePartitionedBecomesALearner)
{
    FakeCluster::Options options{3, 12};
    options.spares = 1;
    FakeCluster cluster(options);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }, 5s));
    cluster.run(2s);
    const std::uint32_t leader = cluster.leader();
    const std::uint32_t partitioned = leader % 3 + 1;
    for (std::uint32_t peer = 1; peer <= 4; ++peer) {
        cluster.network().cut(partitioned, peer);
        cluster.network().cut(peer, partitioned);
    }
    cluster.run(15s);
    EXPECT_FALSE(coordination::isVoter(cluster.log(leader).replicaSet(), cluster.log(partitioned).self()));
    cluster.network().heal();
    cluster.run(5s);
    EXPECT_EQ(cluster.log(partitioned).role(), coordination::Role::Learner);
    EXPECT_EQ(cluster.leader(), leader) << "the returning replica must not force an election";
}

TEST(ReplicatedLog, aLeadersLeaseExpiresBeforeAnotherLeads)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FakeCluster::Options options{3, seed};
        options.spares = 1;
        FakeCluster cluster(options);
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }, 5s));
        cluster.run(1s);
        const std::uint32_t old = cluster.leader();
        // One voter has lost contact with the leader; the other one loses its memory of it by restarting.
        const std::uint32_t silent = old % 3 + 1;
        const std::uint32_t restarted = silent % 3 + 1;
        cluster.network().cut(old, silent);
        cluster.network().cut(silent, old);
        cluster.run(std::chrono::milliseconds(2'000 + 100 * seed));
        cluster.kill(restarted);
        cluster.network().cut(old, restarted);
        cluster.network().cut(restarted, old);
        cluster.start(restarted);
        for (int elapsed = 0; elapsed < 4'000; ++elapsed) {
            cluster.run(1ms);
            const auto lease = cluster.log(old).leaseEnd();
            const std::uint32_t leader = cluster.leader();
            EXPECT_FALSE(lease && *lease > cluster.now() && leader != old && leader != 0) << "seed " << seed;
        }
        EXPECT_NE(cluster.leader(), old);
    }
}

// Guards against two leaders at a time: a voter that is told late that it is to take over, when the leader has given
// the handover up and holds a lease again, must not be elected before that lease has ended.
TEST(ReplicatedLog, aHandoverRequestThatComesLateElectsNoSecondLeader)
{
    int resumptions = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FakeCluster::Options options{3, seed};
        options.spares = 1;
        FakeCluster cluster(options);
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }, 5s));
        cluster.run(1s);
        const std::uint32_t old = cluster.leader();
        ASSERT_TRUE(cluster.handOver(old));
        std::vector<std::uint32_t> others;
        for (std::uint32_t node = 1; node <= 3; ++node) {
            if (node != old) {
                others.push_back(node);
            }
        }
        for (const std::uint32_t node : others) {
            cluster.pause(node, node == others[seed % 2] ? 1'100ms : 1ms);
        }
        bool resumed = false; // The leader has given the handover up and leads on.
        for (int elapsed = 0; elapsed < 4'000; ++elapsed) {
            cluster.run(1ms);
            const auto lease = cluster.log(old).leaseEnd();
            const std::uint32_t leader = cluster.leader();
            resumed = resumed || (elapsed > 1'000 && lease && leader == old);
            if (resumed && leader == old) {
                cluster.network().cut(others[seed % 2], old);
                cluster.network().cut(old, others[seed % 2]);
            }
            EXPECT_FALSE(lease && *lease > cluster.now() && leader != old && leader != 0)
                << "seed " << seed << " after " << elapsed << " ms";
        }
        resumptions += resumed ? 1 : 0;
        if (resumed) {
            EXPECT_EQ(cluster.leader(), old) << "seed " << seed;
            EXPECT_TRUE(cluster.propose(old)) << "seed " << seed;
        }
    }
    EXPECT_GT(resumptions, 0);
}

// Guards the same with messages that are lost, late, repeated and out of order, and with processes that pause: while a
// leader holds a lease, no replica leads in a later term, however often handovers are started and given up.
TEST(ReplicatedLog, noOtherLeadsDuringALeaseBesideHandovers)
{
    int handovers = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        FakeCluster::Options options{seed % 2 == 0 ? 3U : 5U, seed};
        options.spares = 1;
        FakeCluster cluster(options);
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }, 5s));
        cluster.network().setFaults({5, 5, 1ms, 40ms});
        std::mt19937_64 random(seed);
        for (int elapsed = 0; elapsed < 20'000; ++elapsed) {
            if (elapsed % 2'000 == 0 && cluster.leader() != 0 && cluster.handOver(cluster.leader())) {
                ++handovers;
                // Until about the time when the leader gives up.
                const auto paused = static_cast<std::uint32_t>(1 + random() % options.replicas);
                if (paused != cluster.leader()) {
                    cluster.pause(paused, std::chrono::milliseconds(900 + random() % 300));
                }
            }
            cluster.run(1ms);
            const std::uint32_t leader = cluster.leader();
            for (std::uint32_t node = 1; node <= options.replicas; ++node) {
                const auto lease = cluster.log(node).leaseEnd();
                ASSERT_FALSE(lease && *lease > cluster.now() && leader != node)
                    << "seed " << seed << " after " << elapsed << " ms: " << node << " beside " << leader;
            }
        }
    }
    EXPECT_GT(handovers, 0);
}

// Guards against a configuration that nobody answers for after all replicas have lost their power: several of them
// start elections at about the same time, and when messages are slow, as on busy managers, none of them gets its votes
// before the next one starts. The timeouts are those of the managers; 4 s is the time in which the others have to know
// again.
TEST(ReplicatedLog, aLeaderIsElectedInTimeAfterTheLossOfAllPowerWhileMessagesAreSlow)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        FakeCluster::Options options{5, seed};
        options.spares = 1;
        options.electionTimeout = 700ms;
        options.electionJitter = 500ms;
        FakeCluster cluster(options);
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }, 5s));
        cluster.run(1s);
        for (std::uint32_t node = 1; node <= 5; ++node) {
            cluster.losePower(node);
        }
        cluster.network().setFaults({0, 0, 150ms, 300ms});
        cluster.run(900ms);
        for (std::uint32_t node = 1; node <= 5; ++node) {
            cluster.start(node);
            cluster.run(60ms);
        }
        EXPECT_TRUE(cluster.runUntil([&] { return cluster.leader() != 0; }, 4s)) << "seed " << seed;
    }
}
