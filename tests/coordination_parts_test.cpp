#include "coordination/idempotency_table.h"
#include "coordination/membership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <set>

using namespace yuccawheel;
using namespace yuccawheel::coordination;
using namespace std::chrono_literals;

namespace
{

IdempotencySettings smallTable()
{
    IdempotencySettings settings;
    settings.retention = 1000ms;
    settings.maxSkew = 50ms;
    settings.maxKeys = 5;
    settings.maxAnswerBytes = 10;
    return settings;
}

} // namespace

// Under random attempts, endings, expiry and snapshots: a key starts again only if each earlier attempt ended as "not
// run", and no resend of a key that may have run is answered with "not run".
RC_GTEST_PROP(IdempotencyTable, aKeyRunsOnceAndIsNeverForgottenAsNew, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    IdempotencyTable table(smallTable());
    std::set<IdempotencyKey> mayHaveRun;
    std::set<IdempotencyKey> open;
    std::chrono::milliseconds now = 1h;
    for (int i = 0; i < 400; ++i) {
        now += std::chrono::milliseconds(random() % 60);
        const auto issued = WallTime((now - std::chrono::milliseconds(random() % 1300)) / 200 * 200);
        const IdempotencyKey key{issued, std::to_string(random() % 3)};
        const auto skewedNow = WallTime(now - std::chrono::milliseconds(random() % 500));
        const KeyStatus status = table.begin(key, skewedNow);
        if (status.state == KeyState::Started) {
            RC_ASSERT(!mayHaveRun.contains(key));
            mayHaveRun.insert(key);
            open.insert(key);
        }
        if (mayHaveRun.contains(key) && status.state != KeyState::Started) {
            RC_ASSERT(status.verdict != base::Verdict::NotRun);
        }
        if (!open.empty() && random() % 2 == 0) {
            const IdempotencyKey ending = *std::next(open.begin(), static_cast<long>(random() % open.size()));
            const auto verdict = static_cast<base::Verdict>(random() % 3);
            table.finish(ending, verdict, std::string(random() % 12, 'a'));
            open.erase(ending);
            if (verdict == base::Verdict::NotRun) {
                mayHaveRun.erase(ending);
            }
        }
        if (random() % 10 == 0) {
            IdempotencyTable restored(smallTable());
            RC_ASSERT(restored.decode(table.encode()));
            RC_ASSERT(restored.encode() == table.encode());
            RC_ASSERT(restored.bytes() == table.bytes());
            table = restored;
        }
        RC_ASSERT(table.size() <= 5U);
    }
}

TEST(IdempotencyTable, aResendGetsTheFirstAnswer)
{
    IdempotencyTable table(smallTable());
    const WallTime now(1h);
    const IdempotencyKey key{now, "reserve"};
    EXPECT_EQ(table.begin(key, now).state, KeyState::Started);
    EXPECT_EQ(table.begin(key, now).state, KeyState::Running);
    EXPECT_EQ(table.begin(key, now, 7).state, KeyState::Conflict) << "other content under the same key";
    table.finish(key, base::Verdict::Ran, "done");
    table.finish(key, base::Verdict::NotRun, "");
    const KeyStatus again = table.begin(key, now + 900ms);
    EXPECT_EQ(again.state, KeyState::Finished);
    EXPECT_EQ(again.answer, "done");
    EXPECT_EQ(table.begin(key, now + 1000ms).state, KeyState::Expired);
    EXPECT_EQ(table.begin(key, now + 1000ms).verdict, base::Verdict::MayHaveRun);
    EXPECT_EQ(table.begin(key, now).state, KeyState::Expired) << "a clock set back must not revive a key";
    EXPECT_EQ(table.begin({now + 2s, "reserve"}, now).state, KeyState::Refused);
    EXPECT_FALSE(table.decode("damaged"));
}

TEST(FailureDetector, timeoutFollowsTheIntervalsWithinItsBounds)
{
    FailureDetector detector({500ms, 1000ms, 5000ms, 6});
    base::TimePoint now{1h};
    EXPECT_FALSE(detector.isSuspected(1, now)) << "a process that never sent a heartbeat must not be suspected";
    for (int i = 0; i < 100; ++i) {
        now += 500ms;
        EXPECT_TRUE(detector.recordHeartbeat({1, 7}, now));
        EXPECT_TRUE(detector.recordHeartbeat({2, 7}, now + std::chrono::milliseconds(i % 2 == 0 ? 0 : 400)));
        EXPECT_FALSE(detector.isSuspected(1, now + 900ms));
    }
    EXPECT_TRUE(detector.isSuspected(1, now + 1000ms));
    EXPECT_FALSE(detector.isSuspected(2, now + 1500ms)) << "irregular heartbeats must lengthen the timeout";
    EXPECT_TRUE(detector.isSuspected(2, now + 5400ms));
    EXPECT_FALSE(detector.recordHeartbeat({1, 6}, now + 9s)) << "heartbeats of an earlier incarnation must be ignored";
    EXPECT_TRUE(detector.recordHeartbeat({1, 7}, now + 600s));
    EXPECT_TRUE(detector.isSuspected(1, now + 605s)) << "a single long pause must not lengthen the timeout";
}

TEST(Membership, stateFollowsHeartbeatsAndIncarnations)
{
    Membership membership({{1, "10.0.0.1:70", "a"}, {2, "10.0.0.2:70", "a"}, {3, "10.0.1.1:70", "b"}}, {});
    const base::TimePoint now{1h};
    EXPECT_EQ(membership.state(1), PeerState::Unknown);
    membership.receive({{1, 5}, false}, now);
    membership.receive({{9, 5}, false}, now);
    ASSERT_EQ(membership.update(now).size(), 1U);
    EXPECT_EQ(membership.alivePeers("a").size(), 1U);
    EXPECT_TRUE(membership.update(now).empty());
    ASSERT_EQ(membership.update(now + 6s).size(), 1U);
    EXPECT_EQ(membership.state(1), PeerState::Suspected);
    membership.receive({{1, 5}, true}, now + 7s);
    membership.receive({{1, 5}, false}, now + 7s);
    membership.update(now + 7s);
    EXPECT_EQ(membership.state(1), PeerState::Left) << "a reordered heartbeat must not undo leaving";
    membership.receive({{1, 4}, false}, now + 7s);
    membership.update(now + 7s);
    EXPECT_EQ(membership.state(1), PeerState::Left);
    membership.receive({{1, 6}, false}, now + 8s);
    membership.update(now + 8s);
    EXPECT_EQ(membership.state(1), PeerState::Alive);
}
