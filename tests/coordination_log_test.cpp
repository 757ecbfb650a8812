#include "fakes/fake_cluster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <ostream>

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

/// A number of the whole range at any size, where inRange would begin with a narrow one.
template <typename Number>
Gen<Number> evenly(Number from, Number to)
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
                                                                        {5, Fault::Restart}})),
                                  gen::set(&Action::node, evenly<std::uint32_t>(1, 6)),
                                  gen::set(&Action::other, evenly<std::uint32_t>(1, 6)),
                                  gen::set(&Action::amount, evenly<std::uint32_t>(0, 3000)));
    }
};

} // namespace rc

namespace
{

/// Runs a cluster under faults. It takes a disk only while all others are whole voters: a majority always keeps its
/// disks.
class FaultyRun
{
public:
    FaultyRun(std::uint32_t replicas, std::uint64_t seed) : replicas_(replicas), cluster_({replicas, seed})
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
        if (powerGoes_ != 0 && !cluster_.running(powerGoes_)) {
            cluster_.losePower(std::exchange(powerGoes_, 0));
        }
    }

    /// Ends all faults and checks that the replicas come to agree, with nothing lost.
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
            powerGoes_ = node;
            break;
        case Fault::FailSync:
            cluster_.disk(node).failSyncAfter(action.amount % 20);
            break;
        case Fault::LoseDisk:
            if (othersAreWhole(node)) {
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
        case Fault::Restart:
            for (std::uint32_t peer = 1; peer <= replicas_; ++peer) {
                if (!cluster_.running(peer)) {
                    cluster_.start(peer);
                }
            }
            break;
        }
    }

    // With the last disk lost not yet replaced by a voter, a second loss could take the only copies of an entry.
    bool othersAreWhole(std::uint32_t node) const
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
    std::uint32_t powerGoes_ = 0;
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
    EXPECT_EQ(cluster.log(late).applied(), 0U);
    cluster.kill(late);
    cluster.start(late);
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.settled(); }, 5s));
    cluster.checkAcknowledged();
}
