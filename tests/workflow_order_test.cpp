#include "workflow/eligibility.h"
#include "workflow/objective.h"
#include "workflow/pace.h"
#include "workflow/worker_health.h"
#include "workflow/worker_lease.h"

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

TEST(Objective, CountsTheLongestChain)
{
    JobRecord job = record(1s, 2, 500ms);
    EXPECT_EQ(objectiveOf(job), 4'500ms);
    EXPECT_EQ(remainingChain(job), 2s);
    job.steps[0].tasks[0].phase = TaskPhase::Done;
    job.steps[0].done = 1;
    EXPECT_EQ(remainingChain(job), 1s);
}

TEST(Objective, JobsThatCanBeOnTimeGoFirstThenPriorityThenTime)
{
    JobRecord urgent = record(1s, 2, 500ms);
    JobRecord later = record(1s, 3, 500ms);
    JobRecord patient = record(1s, 4, 500ms);
    patient.policy.priority = 2;
    const Rank first = rankOf(1, urgent, 0, Start, Start);
    const Rank second = rankOf(2, later, 0, Start, Start);
    const Rank third = rankOf(3, patient, 0, Start, Start);
    const Rank late = rankOf(1, urgent, 0, Start, Start + 3s);
    const Rank hopeless = rankOf(1, urgent, 0, Start, Start + 15s);
    EXPECT_EQ(late.hope, Rank::Hope::Late);
    EXPECT_EQ(hopeless.hope, Rank::Hope::Hopeless);
    EXPECT_LT(first, second);
    EXPECT_LT(second, third);
    EXPECT_LT(third, late);
    EXPECT_LT(late, hopeless);
}

TEST(Objective, HurryFollowsWhatTheObjectiveLeaves)
{
    EXPECT_EQ(hurryOf(record(400ms, 1.5, 250ms)), Hurry::Much);
    EXPECT_EQ(hurryOf(record(3s, 2.2, 1s)), Hurry::Some);
    EXPECT_EQ(hurryOf(record(2s, 4, 3s)), Hurry::None);
}

TEST(PaceBook, FindsSlowWorkersThroughRoughEstimates)
{
    PaceBook pace;
    for (int round = 0; round < 40; ++round) {
        const auto estimate = std::chrono::milliseconds(round % 2 == 0 ? 500 : 1'500); // Of tasks of 1 s.
        pace.learn(1, estimate, 1'000ms);
        pace.learn(2, estimate, 1'000ms);
        pace.learn(3, estimate, 1'300ms);
    }
    EXPECT_GT(pace.slowness(3), 1.1);
    EXPECT_LT(pace.slowness(1), 1.05);
    EXPECT_EQ(pace.slowness(4), 1) << "nothing is known";
    EXPECT_GT(pace.longest(1s), 3s);
}

TEST(WorkerHealth, OneJobThatFailsEverywhereCondemnsNoWorker)
{
    WorkerHealth health;
    for (int run = 0; run < 5; ++run) {
        health.failed(1, Start);
    }
    EXPECT_TRUE(health.accepts(Start, 3));
    health.failed(2, Start);
    EXPECT_FALSE(health.accepts(Start + 1s, 0));
    EXPECT_TRUE(health.accepts(Start + 3s, 0)) << "tried again after a while,";
    EXPECT_FALSE(health.accepts(Start + 3s, 1)) << "with one task at a time";
    health.failed(3, Start + 3s);
    EXPECT_FALSE(health.accepts(Start + 6s, 0)) << "and after twice as long";
    health.succeeded();
    EXPECT_TRUE(health.accepts(Start + 6s, 5));
}

TEST(WorkerLease, IsOverOnlyWhenASlowClockMustHavePassedIt)
{
    WorkerLease lease;
    EXPECT_FALSE(lease.extension(10s, Start));
    lease.observe(100s, Start);
    const auto until = lease.extension(10s, Start + 1s);
    EXPECT_EQ(until, 111s);
    lease.granted(*until);
    EXPECT_GT(lease.surelyOverAt(), Start + 11s + 200ms);
    EXPECT_LT(lease.surelyOverAt(), Start + 11s + 400ms);
    lease.mayLastUntil(Start + 60s);
    EXPECT_EQ(lease.surelyOverAt(), Start + 60s);
}

TEST(WorkerLease, ReadingThatTheLifeCannotHaveIsAnotherLife)
{
    WorkerLease lease;
    lease.observe(100s, Start);
    EXPECT_TRUE(lease.isPlausible(102s, Start + 2s));
    EXPECT_TRUE(lease.isPlausible(100s, Start + 5s)) << "a late answer";
    EXPECT_FALSE(lease.isPlausible(1s, Start + 2s));
    EXPECT_FALSE(lease.isPlausible(500s, Start + 2s));
}

TEST(EligibilityGateways, LongCallsLeaveSomeMachinesToShortOnes)
{
    EligibilityGateways machines;
    for (std::uint64_t machine = 1; machine <= 3; ++machine) {
        machines.add(machine);
    }
    std::set<std::uint64_t> busy;
    for (int call = 0; call < 4; ++call) {
        const auto machine = machines.choose(800ms, Start);
        if (machine) {
            machines.started(*machine, 800ms, Start);
            busy.insert(*machine);
        }
    }
    EXPECT_EQ(busy.size(), 2U);
    const auto quick = machines.choose(10ms, Start);
    ASSERT_TRUE(quick.has_value());
    EXPECT_FALSE(busy.contains(*quick));
}

TEST(EligibilityGateways, LongCallsAreHeldBackUntilAMachineIsNearlyFree)
{
    EligibilityGateways machines;
    machines.add(1);
    machines.started(1, 800ms, Start);
    EXPECT_FALSE(machines.choose(800ms, Start + 400ms));
    EXPECT_TRUE(machines.choose(800ms, Start + 790ms));
    EXPECT_FALSE(machines.choose(10ms, Start + 400ms));
    EXPECT_TRUE(machines.choose(10ms, Start + 700ms)) << "short ones may wait for a little while";
}

TEST(EligibilityGateways, UnansweredCallMayStillBeServed)
{
    EligibilityGateways machines;
    machines.add(1);
    machines.add(2);
    machines.started(1, 800ms, Start);
    machines.unanswered(1, 800ms, Start + 2s);
    EXPECT_EQ(machines.choose(800ms, Start + 2s), 2U);
    machines.started(2, 800ms, Start + 2s);
    EXPECT_FALSE(machines.choose(800ms, Start + 2s));
    EXPECT_EQ(machines.choose(800ms, Start + 2'900ms), 2U) << "the other one's line is known";
    machines.answered(2, 800ms, Start + 2'800ms);
    machines.started(1, 800ms, Start + 4s);
    machines.unanswered(1, 800ms, Start + 6s);
    machines.remove(2);
    EXPECT_FALSE(machines.choose(10ms, Start + 6'850ms)) << "after a second one it is left alone for longer";
    EXPECT_TRUE(machines.choose(10ms, Start + 7s));
}
