#include "workflow/eligibility.h"
#include "workflow/objective.h"
#include "workflow/worker_health.h"
#include "workflow/worker_lease.h"
#include "workflow/worker_speed.h"

#include <gtest/gtest.h>

using namespace yuccawheel;
using namespace std::chrono_literals;
using namespace yuccawheel::workflow;

namespace
{

const base::TimePoint Start{1h};

JobRecord record(std::chrono::milliseconds estimate, double stretch, std::chrono::milliseconds target)
{
    JobRecord job;
    job.spec.steps.resize(2);
    job.spec.steps[0].estimatedRunTime = estimate;
    job.spec.steps[1].estimatedRunTime = estimate;
    job.spec.steps[1].after = {0};
    job.steps.resize(2);
    job.steps[0].tasks.resize(1);
    job.steps[1].tasks.resize(1);
    job.policy.stretch = stretch;
    job.policy.target = target;
    return job;
}

} // namespace

TEST(Objective, UsesTheCriticalPath)
{
    JobRecord job = record(1s, 2, 500ms);
    EXPECT_EQ(objectiveOf(job, RunTimeModel()), 4'500ms);
    EXPECT_EQ(remainingCriticalPath(job, RunTimeModel()), 2s);
    job.steps[0].tasks[0].phase = TaskPhase::Done;
    job.steps[0].done = 1;
    EXPECT_EQ(remainingCriticalPath(job, RunTimeModel()), 1s);
}

TEST(Objective, RanksByLatenessThenPriorityThenLatestStart)
{
    JobRecord urgent = record(1s, 2, 500ms);
    JobRecord schedule = record(1s, 3, 500ms);
    JobRecord patient = record(1s, 4, 500ms);
    patient.policy.priority = 2;
    const Rank first = rankOf(1, urgent, 0, RunTimeModel(), Start, Start);
    const Rank second = rankOf(2, schedule, 0, RunTimeModel(), Start, Start);
    const Rank third = rankOf(3, patient, 0, RunTimeModel(), Start, Start);
    const Rank late = rankOf(1, urgent, 0, RunTimeModel(), Start, Start + 3s);
    const Rank tooLate = rankOf(1, urgent, 0, RunTimeModel(), Start, Start + 15s);
    EXPECT_EQ(late.lateness, Rank::Lateness::Late);
    EXPECT_EQ(tooLate.lateness, Rank::Lateness::TooLateForUse);
    EXPECT_LT(first, second);
    EXPECT_LT(second, third);
    EXPECT_LT(third, late);
    EXPECT_LT(late, tooLate);
}

// Guards against gangs that are overtaken by every later one with less slack, until they are late themselves.
TEST(Objective, RanksGangsOfOnePriorityByArrival)
{
    JobRecord earlier = record(4s, 2, 1s);
    JobRecord later = record(500ms, 2, 1s);
    for (JobRecord *const gang : {&earlier, &later}) {
        gang->spec.steps[0].gang = true;
    }
    const base::TimePoint now = Start + 200ms;
    const Rank first = rankOf(2, earlier, 0, RunTimeModel(), Start, now);
    const Rank second = rankOf(1, later, 0, RunTimeModel(), Start + 100ms, now);
    EXPECT_EQ(first.lateness, Rank::Lateness::OnTime);
    EXPECT_LT(first, second);
    const Rank late = rankOf(2, earlier, 0, RunTimeModel(), Start, Start + 30s);
    EXPECT_LT(second, late);
}

TEST(Objective, SlackDependsOnTimeBeyondTheCriticalPath)
{
    EXPECT_EQ(slackOf(record(400ms, 1.5, 250ms), RunTimeModel()), Slack::Tight);
    EXPECT_EQ(slackOf(record(3s, 2.2, 1s), RunTimeModel()), Slack::Moderate);
    EXPECT_EQ(slackOf(record(2s, 4, 3s), RunTimeModel()), Slack::Ample);
}

TEST(RunTimeModel, WeighsEstimatesByHowWellTheyPredict)
{
    RunTimeModel model;
    EXPECT_EQ(model.expectedRunTime("rough", 100ms), 100ms) << "nothing is known yet";
    for (int round = 0; round < 200; ++round) {
        model.record("rough", std::chrono::milliseconds(round % 2 == 0 ? 100 : 4'000), 2'000ms);
        const auto runTime = std::chrono::milliseconds(round % 2 == 0 ? 1'000 : 3'000);
        model.record("exact", runTime / 2, runTime);
    }
    EXPECT_NEAR(static_cast<double>(model.expectedRunTime("rough", 100ms).count()), 2'000, 20);
    EXPECT_NEAR(static_cast<double>(model.expectedRunTime("exact", 500ms).count()), 1'000, 20);
    EXPECT_NEAR(static_cast<double>(model.expectedRunTime("exact", 1'500ms).count()), 3'000, 60);
    EXPECT_EQ(model.expectedRunTime("other", 100ms), 100ms);
}

TEST(WorkerSpeedTracker, FindsSlowWorkersDespiteRoughEstimates)
{
    WorkerSpeedTracker speeds;
    for (int round = 0; round < 40; ++round) {
        const auto estimate = std::chrono::milliseconds(round % 2 == 0 ? 500 : 1'500); // The tasks take 1 s.
        speeds.recordRunTime(1, estimate, 1'000ms);
        speeds.recordRunTime(2, estimate, 1'000ms);
        speeds.recordRunTime(3, estimate, 1'300ms);
    }
    EXPECT_GT(speeds.slowdown(3), 1.1);
    EXPECT_LT(speeds.slowdown(1), 1.05);
    EXPECT_EQ(speeds.slowdown(4), 1) << "no samples yet";
    EXPECT_GT(speeds.maxRunTime(1s), 3s);
}

TEST(WorkerHealth, FailuresOfASingleJobDoNotQuarantine)
{
    WorkerHealth health;
    const auto fullWeight = [](workflow::JobKey) {
        return 1.0;
    };
    for (int task = 0; task < 3; ++task) {
        health.addTask();
    }
    for (int run = 0; run < 5; ++run) {
        health.recordFailure(1, 0ms, fullWeight, Start);
    }
    EXPECT_TRUE(health.canAccept(Start));
    health.recordFailure(2, 0ms, fullWeight, Start);
    EXPECT_FALSE(health.canAccept(Start + 1s));
    EXPECT_TRUE(health.canAccept(Start + 3s)) << "the quarantine has ended";
    health.addTask();
    EXPECT_FALSE(health.canAccept(Start + 3s)) << "on probation: one task at a time";
    health.recordFailure(3, 0ms, fullWeight, Start + 3s);
    EXPECT_FALSE(health.canAccept(Start + 6s)) << "the second quarantine lasts twice as long";
    health.recordSuccess();
    for (int task = 0; task < 5; ++task) {
        health.addTask();
    }
    EXPECT_TRUE(health.canAccept(Start + 6s));
}

// Guards against jobs that fail on all workers and keep each of them from others.
TEST(WorkerHealth, FailuresOfJobsThatFailElsewhereWeighLess)
{
    WorkerHealth health;
    const auto halfWeight = [](workflow::JobKey) {
        return 0.5;
    };
    EXPECT_FALSE(health.recordFailure(1, 0ms, halfWeight, Start));
    EXPECT_FALSE(health.recordFailure(2, 0ms, halfWeight, Start));
    EXPECT_FALSE(health.recordFailure(3, 0ms, halfWeight, Start));
    EXPECT_TRUE(health.recordFailure(4, 0ms, halfWeight, Start));
}

// Guards against a worker that a task at work since before the failures, or one just started, puts back in use.
TEST(WorkerHealth, OnlyRunsThatOutlastTheFailedOnesEndProbation)
{
    WorkerHealth health;
    const auto fullWeight = [](workflow::JobKey) {
        return 1.0;
    };
    health.recordFailure(1, 2s, fullWeight, Start);
    ASSERT_TRUE(health.recordFailure(2, 3s, fullWeight, Start));
    EXPECT_FALSE(health.recordAtWork(Start - 1h, 1h));
    EXPECT_FALSE(health.recordAtWork(Start + 3s, 5s));
    EXPECT_TRUE(health.onProbation());
    EXPECT_TRUE(health.recordAtWork(Start + 3s, 6s));
    EXPECT_FALSE(health.onProbation());
}

TEST(WorkerLease, ExpiryBoundAllowsForASlowClock)
{
    WorkerLease lease;
    EXPECT_FALSE(lease.readingAfter(10s, Start));
    lease.observeClock(100s, Start);
    const auto until = lease.readingAfter(10s, Start + 1s);
    EXPECT_EQ(until, 111s);
    lease.recordGrant(*until);
    EXPECT_GT(lease.expiresBy(), Start + 11s + 200ms);
    EXPECT_LT(lease.expiresBy(), Start + 11s + 400ms);
    lease.assumeHeldUntil(Start + 60s);
    EXPECT_EQ(lease.expiresBy(), Start + 60s);
}

TEST(WorkerLease, ImplausibleClockReadingMeansAnotherIncarnation)
{
    WorkerLease lease;
    lease.observeClock(100s, Start);
    EXPECT_TRUE(lease.isPlausible(102s, Start + 2s));
    EXPECT_TRUE(lease.isPlausible(100s, Start + 5s)) << "a delayed answer";
    EXPECT_FALSE(lease.isPlausible(1s, Start + 2s));
    EXPECT_FALSE(lease.isPlausible(500s, Start + 2s));
}

TEST(EligibilityGateways, LongQueriesLeaveSomeGatewaysToShortOnes)
{
    EligibilityGateways gateways;
    for (std::uint64_t gateway = 1; gateway <= 3; ++gateway) {
        gateways.add(gateway);
    }
    std::set<std::uint64_t> busy;
    for (int call = 0; call < 4; ++call) {
        const auto gateway = gateways.choose(800ms, Start);
        if (gateway) {
            gateways.recordQuery(*gateway, 800ms, Start);
            busy.insert(*gateway);
        }
    }
    EXPECT_EQ(busy.size(), 2U);
    const auto quick = gateways.choose(10ms, Start);
    ASSERT_TRUE(quick.has_value());
    EXPECT_FALSE(busy.contains(*quick));
}

TEST(EligibilityGateways, HoldsLongQueriesUntilAGatewayIsAlmostFree)
{
    EligibilityGateways gateways;
    gateways.add(1);
    gateways.recordQuery(1, 800ms, Start);
    EXPECT_FALSE(gateways.choose(800ms, Start + 400ms));
    EXPECT_TRUE(gateways.choose(800ms, Start + 790ms));
    EXPECT_FALSE(gateways.choose(10ms, Start + 400ms));
    EXPECT_TRUE(gateways.choose(10ms, Start + 700ms)) << "short queries may wait up to 100 ms";
}

TEST(EligibilityGateways, TimedOutQueryKeepsItsGatewayBusy)
{
    EligibilityGateways gateways;
    gateways.add(1);
    gateways.add(2);
    gateways.recordQuery(1, 800ms, Start);
    gateways.recordTimeout(1, 800ms, Start + 2s);
    EXPECT_EQ(gateways.choose(800ms, Start + 2s), 2U);
    gateways.recordQuery(2, 800ms, Start + 2s);
    EXPECT_FALSE(gateways.choose(800ms, Start + 2s));
    EXPECT_EQ(gateways.choose(800ms, Start + 2'900ms), 2U) << "the backlog of the other gateway is known";
    gateways.recordAnswer(2, 800ms, Start + 2'800ms);
    gateways.recordQuery(1, 800ms, Start + 4s);
    gateways.recordTimeout(1, 800ms, Start + 6s);
    gateways.remove(2);
    EXPECT_FALSE(gateways.choose(10ms, Start + 6'850ms)) << "the second timeout doubles the backoff";
    EXPECT_TRUE(gateways.choose(10ms, Start + 7s));
}
