#include "routing/announcement.h"
#include "routing/rendezvous.h"
#include "routing/router.h"
#include "routing/transport_delay.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <random>

using namespace yuccawheel;
using namespace yuccawheel::routing;
using namespace std::chrono_literals;

namespace
{

const std::vector<EntryInfo> Entries{{"a", "z1"}, {"b", "z1"}, {"c", "z1"}, {"d", "z2"}};
constexpr base::Duration Grace = 3s;
constexpr base::Duration MaxDispatchAfterLeaving = 3s;

UpstreamAnnouncement announcement(const std::string &executor, std::uint32_t slots)
{
    UpstreamAnnouncement result;
    result.executor = executor;
    result.incarnation = 1;
    result.address = "127.0.0.1:9";
    result.slots = slots;
    result.connections = 64;
    result.services = {"s"};
    return result;
}

/// Simulates several entries, their upstreams and the network between the entries in virtual time. Checks at each
/// dispatch the upstream's slot limit, the request's deadline and the time since the upstream's last serving heartbeat.
class Cluster
{
public:
    explicit Cluster(std::uint32_t seed) : random_(seed)
    {
        for (const std::uint32_t slots : {8U, 8U, 3U, 1U}) {
            const std::string name = "e" + std::to_string(upstreams_.size());
            upstreams_.push_back(Upstream{announcement(name, slots), upstreams_.size() == 1 ? "z2" : "z1", now_, {}});
        }
        for (std::size_t i = 0; i < Entries.size(); ++i) {
            restart(i, false);
        }
    }

    void step()
    {
        const std::uint32_t kind = pick(100);
        if (kind < 40) {
            request(pick(5) == 0 ? pick(Entries.size()) : busyEntry_);
        } else if (kind < 60) {
            endAttempt();
        } else if (kind < 80) {
            deliver();
        } else if (kind < 97) {
            advance(std::chrono::milliseconds(1 + pick(pick(10) == 0 ? 400 : 20)));
        } else if (kind == 97) {
            partition_ = pick(2) == 0 ? pick(16) : 0;
            busyEntry_ = pick(Entries.size());
        } else if (kind == 98 && pick(16) == 0) {
            restart(pick(Entries.size()), pick(2) == 0);
        } else if (kind == 99 && pick(6) == 0) {
            changeState(upstreams_[pick(upstreams_.size())]);
        }
    }
    std::uint64_t borrowed() const
    {
        return borrowed_;
    }
    std::uint64_t dispatched() const
    {
        return dispatched_;
    }

private:
    struct Upstream {
        UpstreamAnnouncement info;
        std::string zone;
        base::TimePoint servingUntil; ///< Time of its last heartbeat with state serving.
        base::TimePoint nextHeartbeat;
        std::uint32_t running = 0;
    };
    struct Attempt {
        std::size_t entry = 0;
        AttemptId id = 0;
        std::size_t upstream = 0;
        std::uint64_t process = 0; ///< Incarnation of the entry that dispatched the attempt.
        base::TimePoint deadline;
        bool abandoned = false;
        base::TimePoint runsUntil; ///< Set once abandoned.
    };
    struct Envelope {
        std::size_t to = 0;
        std::string from;
        base::TimePoint sentAt;
        std::optional<UpstreamUpdate> update;
        std::optional<ShareMessage> message;
    };

    std::uint32_t pick(std::size_t count)
    {
        return static_cast<std::uint32_t>(random_() % count);
    }
    std::size_t entryIndex(const std::string &name) const
    {
        const auto found =
            std::find_if(Entries.begin(), Entries.end(), [&](const EntryInfo &entry) { return entry.entry == name; });
        return static_cast<std::size_t>(found - Entries.begin());
    }

    /// Restarts an entry, either gracefully, with all attempts finished, or by a crash that abandons them.
    void restart(std::size_t entry, bool gracefully)
    {
        for (std::size_t i = 0; i < attempts_.size(); ++i) {
            if (attempts_[i].entry == entry && attempts_[i].id != 0 && !attempts_[i].abandoned) {
                gracefully ? finish(attempts_[i], AttemptOutcome::Answered) : abandon(attempts_[i]);
            }
        }
        removeEnded();
        const bool busy = std::any_of(attempts_.begin(), attempts_.end(), [&](const Attempt &attempt) {
            return attempt.entry == entry && attempt.process == incarnations_[entry];
        });
        if (gracefully && !busy && routers_[entry] != nullptr && routers_[entry]->waitingCount() == 0) {
            routers_[entry]->announceShutdown(now_);
            collect(entry);
        }
        RouterOptions options;
        options.entry = Entries[entry].entry;
        options.zone = Entries[entry].zone;
        options.entries = Entries;
        options.incarnation = ++incarnations_[entry];
        options.seed = pick(1000);
        options.remoteBorrowDelay = 0ms;
        options.loans.abandonGrace = Grace;
        routers_[entry] = std::make_unique<Router>(options, now_);
    }
    void changeState(Upstream &upstream)
    {
        if (upstream.info.state == UpstreamState::Serving) {
            upstream.info.state = UpstreamState::Leaving;
        } else if (upstream.running == 0) {
            upstream.info.state = UpstreamState::Serving;
            ++upstream.info.incarnation;
        }
        upstream.nextHeartbeat = now_;
    }
    void request(std::size_t entry)
    {
        RequestInfo info;
        info.service = "s";
        info.caller = pick(2) == 0 ? "x" : "y";
        info.urgency = static_cast<Urgency>(pick(3));
        info.deadline = now_ + std::chrono::milliseconds(50 + pick(pick(4) == 0 ? 15'000 : 2000));
        info.repeatable = pick(2) == 0;
        info.replayable = pick(2) == 0;
        const Decision decision = routers_[entry]->route(info, now_);
        if (decision.kind != DecisionKind::Reject) {
            deadlines_[{entry, decision.request}] = info.deadline;
        }
        applyDecision(entry, decision);
        collect(entry);
    }
    void applyDecision(std::size_t entry, const Decision &decision)
    {
        if (decision.kind != DecisionKind::Dispatch) {
            return;
        }
        const std::string &executor = routers_[entry]->upstream(decision.upstream).info.executor;
        const std::size_t index = executor[1] - '0';
        Upstream &upstream = upstreams_[index];
        ++upstream.running;
        ++dispatched_;
        RC_ASSERT(upstream.running <= upstream.info.slots);
        RC_ASSERT(now_ - upstream.servingUntil <= MaxDispatchAfterLeaving);
        const base::TimePoint deadline = deadlines_.at({entry, decision.request});
        RC_ASSERT(now_ < deadline);
        attempts_.push_back({entry, decision.attempt, index, incarnations_[entry], deadline, false, {}});
    }
    void endAttempt()
    {
        if (attempts_.empty()) {
            return;
        }
        Attempt &attempt = attempts_[pick(attempts_.size())];
        if (!attempt.abandoned) {
            constexpr std::array Outcomes{AttemptOutcome::Answered,
                                          AttemptOutcome::Answered,
                                          AttemptOutcome::Answered,
                                          AttemptOutcome::ServerError,
                                          AttemptOutcome::Refused,
                                          AttemptOutcome::NotSent,
                                          AttemptOutcome::Cut,
                                          AttemptOutcome::CallerGone};
            finish(attempt, Outcomes[pick(Outcomes.size())]);
        }
        removeEnded();
    }
    void abandon(Attempt &attempt)
    {
        attempt.abandoned = true;
        attempt.runsUntil = now_ + std::chrono::milliseconds(pick(2500));
    }
    void finish(Attempt &attempt, AttemptOutcome outcome)
    {
        const std::size_t entry = attempt.entry;
        const AttemptId id = attempt.id;
        if (outcome == AttemptOutcome::TimedOut || outcome == AttemptOutcome::CallerGone) {
            abandon(attempt);
        } else {
            --upstreams_[attempt.upstream].running;
            attempt.id = 0;
        }
        routers_[entry]->finishAttempt(id, AttemptResult{outcome, 1ms, pick(4) == 0}, now_);
        collect(entry);
    }
    void removeEnded()
    {
        std::erase_if(attempts_, [](const Attempt &attempt) { return attempt.id == 0; });
    }
    void advance(base::Duration time)
    {
        now_ += time;
        for (std::size_t i = 0; i < attempts_.size(); ++i) {
            Attempt &attempt = attempts_[i];
            if (attempt.id != 0 && attempt.abandoned && attempt.runsUntil <= now_) {
                --upstreams_[attempt.upstream].running;
                if (attempt.process == incarnations_[attempt.entry] && pick(2) == 0) {
                    routers_[attempt.entry]->releaseAbandonedAttempt(attempt.id, now_);
                }
                attempt.id = 0;
            } else if (attempt.id != 0 && !attempt.abandoned && attempt.deadline <= now_) {
                finish(attempt, AttemptOutcome::TimedOut);
            }
        }
        removeEnded();
        for (Upstream &upstream : upstreams_) {
            heartbeat(upstream);
        }
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            routers_[i]->tick(now_);
            collect(i);
        }
    }
    void heartbeat(Upstream &upstream)
    {
        if (now_ < upstream.nextHeartbeat) {
            return;
        }
        upstream.nextHeartbeat = now_ + 500ms;
        upstream.info.running = upstream.running;
        upstream.servingUntil = upstream.info.state == UpstreamState::Serving ? now_ : upstream.servingUntil;
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            if (Entries[i].zone == upstream.zone && pick(4) != 0) {
                static_cast<void>(routers_[i]->applyHeartbeat(upstream.info, now_));
                collect(i);
            }
        }
    }
    void collect(std::size_t entry)
    {
        std::vector<Decision> decisions;
        routers_[entry]->takeDecisions(decisions);
        for (const Decision &decision : decisions) {
            applyDecision(entry, decision);
        }
        for (ShareMessage &message : routers_[entry]->takeShareMessages()) {
            borrowed_ += message.kind == ShareMessageKind::LoanGrant && message.slots > 0 ? 1 : 0;
            network_.push_back({entryIndex(message.to), message.from, now_, std::nullopt, std::move(message)});
        }
        for (UpstreamUpdate &update : routers_[entry]->takeUpdates()) {
            for (std::size_t i = 0; i < Entries.size(); ++i) {
                if (i != entry) {
                    network_.push_back({i, Entries[entry].entry, now_, update, std::nullopt});
                }
            }
        }
    }
    /// Delivers some messages out of order; some are lost, some duplicated.
    void deliver()
    {
        for (std::uint32_t count = pick(12); count > 0 && !network_.empty(); --count) {
            const auto place = network_.begin() + pick(std::min<std::size_t>(network_.size(), 6));
            const Envelope envelope = *place;
            const std::uint32_t fate = pick(20);
            if (fate != 0) {
                network_.erase(place);
            }
            const bool crossesPartition =
                ((partition_ >> entryIndex(envelope.from)) & 1U) != ((partition_ >> envelope.to) & 1U);
            if (fate == 1 || crossesPartition) {
                continue;
            }
            if (envelope.update) {
                UpstreamUpdate update = *envelope.update;
                update.age += now_ - envelope.sentAt;
                routers_[envelope.to]->receive(update, now_);
            } else {
                routers_[envelope.to]->receive(*envelope.message, now_);
            }
            collect(envelope.to);
        }
    }

    std::mt19937 random_;
    base::TimePoint now_{1h};
    std::uint32_t partition_ = 0; ///< One bit per entry; messages between entries with different bits are lost.
    std::size_t busyEntry_ = 0;
    std::vector<Upstream> upstreams_;
    std::array<std::unique_ptr<Router>, 4> routers_;
    std::array<std::uint64_t, 4> incarnations_{};
    std::vector<Attempt> attempts_;
    std::map<std::pair<std::size_t, RequestId>, base::TimePoint> deadlines_;
    std::vector<Envelope> network_;
    std::uint64_t borrowed_ = 0;
    std::uint64_t dispatched_ = 0;
};

/// A single entry in a cell without other entries.
class RouterTest : public testing::Test
{
protected:
    void start(RouterOptions options = {})
    {
        options.entry = "a";
        options.zone = "z1";
        options.entries = {{"a", "z1"}};
        router_ = std::make_unique<Router>(options, now_);
    }
    void announce(const std::string &executor, std::uint32_t slots, UpstreamState state = UpstreamState::Serving)
    {
        UpstreamAnnouncement info = announcement(executor, slots);
        info.running = 0;
        info.state = state;
        ASSERT_TRUE(router_->applyHeartbeat(info, now_));
    }
    Decision route(const std::string &caller, Urgency urgency = Urgency::Normal, base::Duration timeout = 10s)
    {
        return router_->route({"s", caller, urgency, now_ + timeout, true, true}, now_);
    }
    /// Ends the attempt and returns the request that is dispatched to the freed slot; zero if none.
    RequestId finish(AttemptId attempt, AttemptOutcome outcome = AttemptOutcome::Answered)
    {
        router_->finishAttempt(attempt, {outcome, 1ms, false}, now_);
        decisions_.clear();
        router_->takeDecisions(decisions_);
        return decisions_.empty() ? 0 : decisions_.front().request;
    }

    base::TimePoint now_{1h};
    std::unique_ptr<Router> router_;
    std::vector<Decision> decisions_;
};

} // namespace

RC_GTEST_PROP(RouterCluster, slotsAndLeavingHoldUnderFaults, ())
{
    constexpr int Steps = 6000;
    Cluster cluster(*rc::gen::noShrink(rc::gen::inRange<std::uint32_t>(0, UINT32_MAX)));
    for (int step = 0; step < Steps; ++step) {
        cluster.step();
    }
    RC_CLASSIFY(cluster.borrowed() > 10, "loans");
    RC_CLASSIFY(cluster.dispatched() > 200, "dispatches");
}

/// Two entries of one zone; `first` is the primary relay of executor `e`.
struct RelayPair {
    static UpstreamTableOptions options(const std::string &entry)
    {
        UpstreamTableOptions options;
        options.zone = "z1";
        options.entry = entry;
        options.zoneEntries = {"a", "b"};
        return options;
    }

    std::vector<UpstreamUpdate> announceTo(UpstreamTable &table, base::Duration at)
    {
        EXPECT_TRUE(table.applyHeartbeat(upstream, base::TimePoint(10s + at)).has_value());
        return table.takeUpdates();
    }

    const std::vector<std::string> order = rendezvousOrder("e", {"a", "b"});
    UpstreamTable first{options(order[0])};
    UpstreamTable second{options(order[1])};
    UpstreamAnnouncement upstream = announcement("e", 8);
};

TEST(UpstreamRelay, thePrimaryRelayIsReplacedWhenItFallsSilent)
{
    RelayPair pair;
    std::size_t relayedBySecond = 0;
    // The second entry receives each announcement before the first one.
    for (const base::Duration beat : {0ms, 500ms, 1000ms, 1500ms, 2000ms}) {
        relayedBySecond += pair.announceTo(pair.second, beat).size();
        const auto updates = pair.announceTo(pair.first, beat + 1ms);
        EXPECT_EQ(updates.empty(), beat % 1000ms != 0ms);
        for (const UpstreamUpdate &update : updates) {
            EXPECT_TRUE(pair.second.applyUpdate(update, base::TimePoint(10s + beat + 2ms)).has_value());
        }
    }
    EXPECT_EQ(relayedBySecond, 1) << "only the first announcement, which changes the table";
    // The first entry stops. The second one takes over before other entries consider the upstream silent.
    EXPECT_TRUE(pair.announceTo(pair.second, 2500ms).empty());
    EXPECT_TRUE(pair.announceTo(pair.second, 3000ms).empty());
    EXPECT_EQ(pair.announceTo(pair.second, 3500ms).size(), 1);
    EXPECT_LT(1500ms, UpstreamTableOptions().silenceTimeout);
}

TEST(UpstreamRelay, changesAreRelayedAtOnce)
{
    RelayPair pair;
    EXPECT_EQ(pair.announceTo(pair.second, 0ms).size(), 1);
    pair.upstream.services = {"s", "t"};
    EXPECT_EQ(pair.announceTo(pair.second, 1ms).size(), 1);
    pair.upstream.state = UpstreamState::Leaving;
    EXPECT_EQ(pair.announceTo(pair.second, 2ms).size(), 1);
}

TEST_F(RouterTest, unknownServicesAndLeavingUpstreamsAreRejected)
{
    start();
    EXPECT_EQ(route("x").rejection, Rejection::UnknownService);
    announce("e0", 2);
    EXPECT_EQ(route("x").kind, DecisionKind::Dispatch);
    announce("e0", 2, UpstreamState::Leaving);
    announce("e0", 2);
    EXPECT_EQ(route("x").rejection, Rejection::NoUpstream)
        << "a late heartbeat does not make a leaving upstream serving again";
}

TEST_F(RouterTest, aSilentUpstreamReceivesNoRequests)
{
    start();
    announce("e0", 2);
    now_ += 2600ms;
    EXPECT_EQ(route("x").rejection, Rejection::NoUpstream);
}

TEST_F(RouterTest, relayedUpdatesAgeFromTheOriginalHeartbeat)
{
    start();
    router_->receive(UpstreamUpdate{announcement("e0", 2), "z1", 4, 2s}, now_);
    now_ += 3100ms;
    router_->receive(UpstreamUpdate{announcement("e0", 2), "z1", 5, 2s}, now_);
    EXPECT_EQ(route("x").kind, DecisionKind::Dispatch);
    router_->receive(UpstreamUpdate{announcement("e0", 2), "z1", 5, 0s}, now_);
    now_ += 600ms;
    EXPECT_EQ(route("x").rejection, Rejection::NoUpstream)
        << "2.6 s after the heartbeat; a duplicate update does not count as a newer one";
}

TEST_F(RouterTest, anAttemptStartsOnlyBeforeItsDeadlineAndAtAServingUpstream)
{
    start();
    announce("e0", 3);
    const Decision paused = route("x", Urgency::Normal, 1s);
    const Decision left = route("x");
    EXPECT_TRUE(router_->canStart(paused.attempt, now_ + 999ms));
    EXPECT_FALSE(router_->canStart(paused.attempt, now_ + 1s));
    EXPECT_FALSE(router_->canStart(left.attempt, now_ + 2600ms)) << "the upstream is silent by then";
    announce("e0", 3, UpstreamState::Leaving);
    EXPECT_FALSE(router_->canStart(left.attempt, now_));
    const FinishResult finish = router_->finishAttempt(left.attempt, {AttemptOutcome::Withdrawn, 0ms, false}, now_);
    EXPECT_EQ(finish.verdict, base::Verdict::NotRun);
    EXPECT_TRUE(finish.retrying);
    EXPECT_EQ(router_->upstream(left.upstream).latency.count(), 0) << "not recorded as a failure of the upstream";
}

TEST_F(RouterTest, urgentRequestsOvertakeBulkRequests)
{
    start();
    announce("e0", 1);
    const Decision running = route("x");
    std::vector<RequestId> bulk;
    bulk.reserve(20);
    for (int i = 0; i < 20; ++i) {
        bulk.push_back(route("x", Urgency::Bulk).request);
    }
    const RequestId urgent = route("y", Urgency::Urgent).request;
    EXPECT_EQ(finish(running.attempt), urgent);
    EXPECT_EQ(finish(decisions_[0].attempt), bulk[0]);
}

TEST_F(RouterTest, bulkRequestsLeaveASlotFree)
{
    start();
    announce("e0", 8);
    int dispatched = 0;
    for (int i = 0; i < 20; ++i) {
        dispatched += route("x", Urgency::Bulk).kind == DecisionKind::Dispatch ? 1 : 0;
    }
    EXPECT_EQ(dispatched, 7);
    EXPECT_EQ(route("y", Urgency::Urgent).kind, DecisionKind::Dispatch);
}

TEST_F(RouterTest, aFloodingCallerIsLimitedAndOthersTakeTurns)
{
    start();
    announce("e0", 1);
    Decision running = route("flood");
    Decision last = running;
    for (int i = 0; i < 100; ++i) {
        last = route("flood");
    }
    EXPECT_EQ(last.rejection, Rejection::CallerLimitExceeded);
    EXPECT_GE(last.retryAfter, 1s);
    const RequestId quiet = route("quiet").request;
    finish(running.attempt);
    EXPECT_EQ(finish(decisions_[0].attempt), quiet) << "after at most one more request of the flooding caller";
}

TEST_F(RouterTest, overloadIsRejectedEarly)
{
    RouterOptions options;
    options.maxWaiting = 4;
    start(options);
    announce("e0", 1);
    const Decision running = route("x");
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(route("x" + std::to_string(i), Urgency::Bulk).kind, DecisionKind::Queued);
    }
    EXPECT_EQ(route("y", Urgency::Bulk).rejection, Rejection::Overloaded);
    EXPECT_EQ(route("y", Urgency::Urgent).kind, DecisionKind::Queued) << "evicts a bulk request";
    router_->takeDecisions(decisions_);
    ASSERT_EQ(decisions_.size(), 1);
    EXPECT_EQ(decisions_[0].rejection, Rejection::Overloaded);
    EXPECT_EQ(decisions_[0].verdict, base::Verdict::NotRun);
    now_ += 11s;
    finish(running.attempt, AttemptOutcome::TimedOut);
    router_->tick(now_);
    router_->takeDecisions(decisions_);
    ASSERT_EQ(decisions_.size(), 4);
    EXPECT_EQ(decisions_[0].rejection, Rejection::DeadlinePassed);
}

TEST_F(RouterTest, anExpectedWaitPastTheDeadlineIsRejectedImmediately)
{
    start();
    announce("e0", 1);
    Decision running = route("x");
    router_->finishAttempt(running.attempt, {AttemptOutcome::Answered, 400ms, true}, now_);
    running = route("x");
    EXPECT_EQ(route("x", Urgency::Normal, 1s).kind, DecisionKind::Queued);
    EXPECT_EQ(route("y", Urgency::Normal, 1s).kind, DecisionKind::Queued);
    EXPECT_EQ(route("z", Urgency::Normal, 100ms).rejection, Rejection::Overloaded);
    EXPECT_EQ(route("z", Urgency::Urgent, 100ms).kind, DecisionKind::Queued) << "no request is ahead of an urgent one";
}

TEST_F(RouterTest, retriesUseOtherUpstreamsAndKeepTheVerdict)
{
    start();
    announce("e0", 1);
    announce("e1", 1);
    const Decision first = route("x");
    const FinishResult finish = router_->finishAttempt(first.attempt, {AttemptOutcome::Cut, 1ms, false}, now_);
    EXPECT_TRUE(finish.retrying);
    router_->takeDecisions(decisions_);
    ASSERT_EQ(decisions_.size(), 1);
    EXPECT_NE(decisions_[0].upstream, first.upstream);
    const FinishResult second =
        router_->finishAttempt(decisions_[0].attempt, {AttemptOutcome::NotSent, 1ms, false}, now_);
    EXPECT_TRUE(second.retrying);
    EXPECT_EQ(second.verdict, base::Verdict::MayHaveRun) << "the first attempt may have run";
    decisions_.clear();
    router_->takeDecisions(decisions_);
    ASSERT_EQ(decisions_.size(), 1);
    EXPECT_FALSE(router_->finishAttempt(decisions_[0].attempt, {AttemptOutcome::Cut, 1ms, false}, now_).retrying)
        << "at most three attempts";
}

TEST_F(RouterTest, onlyUnrunOrRepeatableRequestsAreRetried)
{
    start();
    announce("e0", 2);
    for (const AttemptOutcome outcome : {AttemptOutcome::Cut, AttemptOutcome::TimedOut, AttemptOutcome::ServerError}) {
        const Decision decision = router_->route({"s", "x", Urgency::Normal, now_ + 5s, false, true}, now_);
        EXPECT_FALSE(router_->finishAttempt(decision.attempt, {outcome, 1ms, false}, now_).retrying);
    }
    Decision decision = router_->route({"s", "x", Urgency::Normal, now_ + 5s, true, true}, now_);
    EXPECT_FALSE(router_->finishAttempt(decision.attempt, {AttemptOutcome::Cut, 1ms, true}, now_).retrying)
        << "part of the answer has been sent";
    decision = router_->route({"s", "x", Urgency::Normal, now_ + 5s, true, false}, now_);
    EXPECT_FALSE(router_->finishAttempt(decision.attempt, {AttemptOutcome::Cut, 1ms, false}, now_).retrying)
        << "the body is not buffered";
    decision = router_->route({"s", "x", Urgency::Normal, now_ + 5s, false, true}, now_);
    EXPECT_TRUE(router_->finishAttempt(decision.attempt, {AttemptOutcome::Refused, 1ms, false}, now_).retrying);
}

TEST_F(RouterTest, retriesStopWhenTheBudgetIsExhausted)
{
    start();
    announce("e0", 8);
    int retries = 0;
    for (int i = 0; i < 400; ++i) {
        Decision decision = route("x");
        for (bool retrying = true; retrying && decision.kind == DecisionKind::Dispatch;) {
            retrying = router_->finishAttempt(decision.attempt, {AttemptOutcome::Cut, 1ms, false}, now_).retrying;
            retries += retrying ? 1 : 0;
            decisions_.clear();
            router_->takeDecisions(decisions_);
            decision = decisions_.empty() ? Decision{} : decisions_[0];
        }
    }
    EXPECT_GT(retries, 40);
    EXPECT_LE(retries, 20 + 400 / 10);
}

TEST_F(RouterTest, failingUpstreamsAreEjectedWithinTheLimitAndReturnOnProbation)
{
    start();
    for (int i = 0; i < 10; ++i) {
        announce("e" + std::to_string(i), 4);
    }
    const auto round = [&](AttemptOutcome outcome) {
        std::map<UpstreamIndex, int> seen;
        for (int i = 0; i < 400; ++i) {
            const Decision decision = router_->route({"s", "x", Urgency::Normal, now_ + 5s, false, false}, now_);
            ++seen[decision.upstream];
            router_->finishAttempt(
                decision.attempt, {decision.upstream < 6 ? outcome : AttemptOutcome::Answered, 1ms, false}, now_);
        }
        return seen;
    };
    round(AttemptOutcome::ServerError);
    EXPECT_EQ(router_->counters().ejections, 3) << "30 % of ten upstreams, although six fail";
    now_ += 6s;
    for (int i = 0; i < 10; ++i) {
        announce("e" + std::to_string(i), 4);
    }
    EXPECT_EQ(round(AttemptOutcome::Answered).size(), 10);
    EXPECT_EQ(router_->counters().ejections, 3);
}

TEST_F(RouterTest, anAbandonedAttemptKeepsItsSlotUntilReleased)
{
    start();
    announce("e0", 1);
    Decision decision = route("x");
    router_->finishAttempt(decision.attempt, {AttemptOutcome::TimedOut, 1ms, false}, now_);
    EXPECT_EQ(route("x").kind, DecisionKind::Queued);
    router_->releaseAbandonedAttempt(decision.attempt, now_);
    router_->takeDecisions(decisions_);
    ASSERT_EQ(decisions_.size(), 1);
    router_->finishAttempt(decisions_[0].attempt, {AttemptOutcome::TimedOut, 1ms, false}, now_);
    now_ += Grace;
    announce("e0", 1);
    router_->tick(now_);
    EXPECT_EQ(route("x").kind, DecisionKind::Dispatch);
}

namespace
{

/// An entry with one peer, whose messages the test sends.
class PeerTest : public testing::Test
{
protected:
    void start(std::uint64_t incarnation)
    {
        RouterOptions options;
        options.entry = "a";
        options.zone = "z1";
        options.entries = {{"a", "z1"}, {"b", "z1"}};
        options.incarnation = incarnation;
        router_ = std::make_unique<Router>(options, now_);
        announce();
    }
    void announce()
    {
        ASSERT_TRUE(router_->applyHeartbeat(announcement("e0", 2), now_));
    }
    /// Advances the time with a heartbeat and a tick.
    void advance(base::Duration time)
    {
        now_ += time;
        announce();
        router_->tick(now_);
    }
    Decision route()
    {
        return router_->route({"s", "x", Urgency::Urgent, now_ + 5s, true, true}, now_);
    }
    void sendFromPeer(ShareMessageKind kind, LoanId id, std::uint32_t slots)
    {
        ShareMessage message;
        message.kind = kind;
        message.to = "a";
        message.from = "b";
        message.executor = "e0";
        message.id = id;
        message.slots = slots;
        message.term = 20s;
        message.incarnation = 9;
        router_->receive(message, now_);
    }
    std::optional<ShareMessage> takeLastSent(ShareMessageKind kind)
    {
        std::optional<ShareMessage> found;
        for (ShareMessage &message : router_->takeShareMessages()) {
            if (message.kind == kind) {
                found = std::move(message);
            }
        }
        return found;
    }

    base::TimePoint now_{1h};
    std::unique_ptr<Router> router_;
};

} // namespace

TEST_F(PeerTest, sharesAreWithheldWhileASilentPeerMayHoldLoans)
{
    start(1);
    router_->announceShutdown(now_);
    EXPECT_FALSE(takeLastSent(ShareMessageKind::ShutdownNotice)) << "requests of a previous process may still run";
    advance(4s);
    EXPECT_EQ(route().kind, DecisionKind::Queued);
    EXPECT_FALSE(router_->isReady(now_));
    advance(17s);
    EXPECT_TRUE(router_->isReady(now_));
    EXPECT_EQ(route().kind, DecisionKind::Dispatch);
    start(2);
    advance(21s);
    router_->announceShutdown(now_);
    EXPECT_TRUE(takeLastSent(ShareMessageKind::ShutdownNotice));
}

TEST_F(PeerTest, aGrantIsUsedOnceAndOnlyByTheRequestingProcess)
{
    start(1);
    advance(21s);
    EXPECT_EQ(route().kind, DecisionKind::Dispatch);
    EXPECT_EQ(route().kind, DecisionKind::Queued);
    const auto asked = takeLastSent(ShareMessageKind::LoanRequest);
    ASSERT_TRUE(asked);
    sendFromPeer(ShareMessageKind::HeldLoansQuery, 0, 0);
    sendFromPeer(ShareMessageKind::LoanGrant, asked->id, 1);
    EXPECT_EQ(router_->waitingCount(), 1) << "the lender restarted after sending the grant";
    EXPECT_EQ(takeLastSent(ShareMessageKind::LoanReturn)->id, asked->id);
    advance(500ms);
    const auto again = takeLastSent(ShareMessageKind::LoanRequest);
    ASSERT_TRUE(again);
    sendFromPeer(ShareMessageKind::LoanGrant, again->id, 1);
    EXPECT_EQ(router_->waitingCount(), 0);
    sendFromPeer(ShareMessageKind::LoanGrant, again->id, 1);
    sendFromPeer(ShareMessageKind::LoanGrant, LoanId{7} << 32U, 1);
    EXPECT_FALSE(takeLastSent(ShareMessageKind::LoanReturn))
        << "one loan is in use, the other may be in use by a previous process";
}

TEST_F(PeerTest, toleratesAPausePastALoansExpiryAndAReducedUpstream)
{
    start(1);
    advance(21s);
    const Decision own = route();
    route();
    const auto asked = takeLastSent(ShareMessageKind::LoanRequest);
    ASSERT_TRUE(asked);
    sendFromPeer(ShareMessageKind::LoanGrant, asked->id, 1);
    now_ += 30s;
    announce();
    router_->finishAttempt(own.attempt, {AttemptOutcome::Answered, 1ms, true}, now_);
    EXPECT_EQ(route().kind, DecisionKind::Dispatch);
    ASSERT_TRUE(router_->applyHeartbeat(announcement("e0", 1), now_));
    EXPECT_EQ(route().kind, DecisionKind::Queued);
}

TEST(TransportDelay, boundsDelayIncludingPauses)
{
    const base::TimePoint receiver{1h};
    const base::TimePoint sender{5h};
    ProbeResponder echoes;
    TransportDelay delay(7);
    EXPECT_FALSE(echoes.makeEcho(sender));
    EXPECT_FALSE(delay.upperBound(receiver)) << "unknown before the first echo";
    echoes.handleProbe(makeDelayProbe(7, receiver), sender);
    const auto echo = echoes.makeEcho(sender + 1s);
    ASSERT_TRUE(echo);
    delay.handleEcho(*echo, receiver + 4s);
    EXPECT_GE(*delay.upperBound(receiver + 4s), 3s) << "3 s of transport delay";
    EXPECT_LE(*delay.upperBound(receiver + 4s), 3s + 20ms) << "plus the clock drift during 1 s";
    EXPECT_GE(*delay.upperBound(receiver + 5s), 4s) << "the update arrived 1 s after the echo";
    TransportDelay restarted(8);
    restarted.handleEcho(*echo, receiver + 4s);
    EXPECT_FALSE(restarted.upperBound(receiver + 4s)) << "a probe of a previous process";
    TransportDelay implausible(7);
    implausible.handleEcho({{7, 2h}, 0s}, receiver);
    implausible.handleEcho({{7, 1h}, 1h}, receiver);
    implausible.handleEcho({{7, 1h}, -1h}, receiver);
    EXPECT_FALSE(implausible.upperBound(receiver)) << "impossible times";
}

TEST(WaitQueue, anIdleClassGainsNoCredit)
{
    WaitQueue queue;
    for (RequestId id = 1; id <= 200; ++id) {
        queue.push(id, Urgency::Urgent, "x");
        queue.popFront(true);
    }
    for (RequestId id = 201; id <= 220; ++id) {
        queue.push(id, id <= 210 ? Urgency::Bulk : Urgency::Urgent, "x");
    }
    int urgent = 0;
    for (int turn = 0; turn < 5; ++turn) {
        urgent += *queue.front(true) > 210 ? 1 : 0;
        queue.popFront(true);
    }
    EXPECT_GE(urgent, 4);
}

RC_GTEST_PROP(Announcement,
              parsesArbitraryBodiesSafelyAndRoundTripsValidOnes,
              (const std::string &text, std::uint32_t cut))
{
    UpstreamAnnouncement info = announcement("e-1", 8);
    info.incarnation = cut;
    info.state = cut % 2 == 0 ? UpstreamState::Serving : UpstreamState::Leaving;
    info.running = cut % 3;
    std::string json = formatAnnouncement(info);
    RC_ASSERT(parseAnnouncement(json).value() == info);
    RC_ASSERT(!parseAnnouncement(json.substr(0, cut % json.size())));
    json.insert(cut % json.size(), text);
    static_cast<void>(parseAnnouncement(json));
    static_cast<void>(parseAnnouncement(text));
    RC_ASSERT(!parseAnnouncement(std::string(20'000, '[')));
}

TEST(Announcement, valuesOutOfRangeAreRejected)
{
    const std::string good = formatAnnouncement(announcement("e1", 8));
    const std::vector<std::pair<std::string, std::string>> changes{{"\"e1\"", "\"\""},
                                                                   {"\"e1\"", "\"a b\""},
                                                                   {"127.0.0.1:9", "127.0.0.1"},
                                                                   {"127.0.0.1:9", "127.0.0.1:0"},
                                                                   {"127.0.0.1:9", "127.0.0.256:9"},
                                                                   {"127.0.0.1:9", "host:9"},
                                                                   {"\"slots\":8", "\"slots\":0"},
                                                                   {"\"slots\":8", "\"slots\":-8"},
                                                                   {"\"slots\":8", "\"slots\":1e9"},
                                                                   {"serving", "ready"},
                                                                   {"[\"s\"]", "[1]"},
                                                                   {"[\"s\"]", "{}"}};
    ASSERT_TRUE(parseAnnouncement(good));
    for (const auto &[from, to] : changes) {
        std::string changed = good;
        changed.replace(changed.find(from), from.size(), to);
        EXPECT_FALSE(parseAnnouncement(changed)) << changed;
    }
}
