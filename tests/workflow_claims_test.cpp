#include "workflow_jobs.h"
#include "workflow_simulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

using namespace yuccawheel;
using namespace std::chrono_literals;
using tests::job;
using tests::ManagerSimulation;
using workflow::JobKey;
using workflow::JobPhase;

namespace
{

constexpr std::uint32_t Workers = 4;
constexpr std::int64_t WorkerMilliCpu = 16'000;
constexpr JobKey Background = 1;
constexpr JobKey Gang = 2;
constexpr JobKey Small = 3;
constexpr JobKey FirstOfStream = 100;
constexpr auto MaxWait = 3s; ///< Beside free capacity, while most of it is free.
constexpr auto GangRunTime = 2s;

workflow::JobSpec gang(std::uint32_t count, std::int64_t milliCpu)
{
    workflow::JobSpec spec = job(count, milliCpu, GangRunTime);
    spec.steps[0].gang = true;
    return spec;
}

workflow::QueuePolicy policy(std::int32_t priority)
{
    return tests::policy("queue" + std::to_string(priority), priority);
}

/// One task on each worker.
workflow::JobSpec oneEach(std::int64_t milliCpu, std::chrono::milliseconds estimate, bool longRunning)
{
    workflow::JobSpec spec = job(Workers, milliCpu, estimate);
    spec.steps[0].maxPerWorker = 1;
    spec.steps[0].longRunning = longRunning;
    return spec;
}

class WorkflowClaims : public testing::Test
{
protected:
    WorkflowClaims() : simulation_(options())
    {
        for (std::uint32_t number = 0; number < Workers; ++number) {
            simulation_.workers.add("w" + std::to_string(number), WorkerMilliCpu, "rack", simulation_.now);
        }
        simulation_.lead();
        simulation_.run(100ms);
    }

    /// Runs a task on each worker that holds less than half of it, and hands in a gang that fits beside none of them.
    void blockGang(bool longRunning, std::chrono::milliseconds estimate, std::int64_t gangMilliCpu = 10'000)
    {
        simulation_.submit(Background, oneEach(7'000, estimate, longRunning), policy(2));
        simulation_.run(500ms);
        ASSERT_EQ(simulation_.state.findJob(Background)->placed, Workers);
        workflow::QueuePolicy patient = policy(1);
        patient.target = 1h; // Never late, so that it stays ahead.
        simulation_.submit(Gang, gang(Workers, gangMilliCpu), patient);
        simulation_.run(500ms);
    }
    /// Returns whether a task of the job is started within `limit`.
    bool starts(JobKey key, std::chrono::milliseconds limit)
    {
        return simulation_.runUntil([&] { return isStarted(key); }, limit);
    }
    bool isStarted(JobKey key) const
    {
        const workflow::JobRecord *const record = simulation_.state.findJob(key);
        return record != nullptr && (record->placed > 0 || record->phase == JobPhase::Completed);
    }
    /// Keeps the workers nearly full with a stream of small tasks, and returns whether a gang that needs most of all
    /// of them is done in time.
    bool gangIsDoneUnderStream(std::chrono::milliseconds estimate,
                               std::chrono::milliseconds shortest = 1s,
                               std::chrono::milliseconds longest = 1s)
    {
        // What runs ends, what is let through until then ends, and the gang runs.
        const auto limit = 2 * longest + GangRunTime + 1s;
        constexpr std::size_t Backlog = 8;
        JobKey next = FirstOfStream;
        const auto feed = [&] {
            std::size_t waiting = 0;
            for (JobKey key = std::max(FirstOfStream, next - std::min<JobKey>(next, 100)); key < next; ++key) {
                waiting += isStarted(key) ? 0 : 1;
            }
            for (; waiting < Backlog; ++waiting) {
                runTimes_[next] = next % 2 == 0 ? shortest : longest;
                simulation_.submit(next++, job(1, 1'000, estimate), policy(2));
            }
            simulation_.run(10ms);
        };
        for (int round = 0; round < 300; ++round) {
            feed();
        }
        workflow::QueuePolicy patient = policy(1);
        patient.target = 1h; // Never late, so that it stays ahead.
        simulation_.submit(Gang, gang(Workers, 12'000), patient);
        const base::TimePoint end = simulation_.now + limit;
        while (simulation_.now < end && !isCompleted(Gang)) {
            feed();
        }
        return isCompleted(Gang);
    }
    bool isCompleted(JobKey key) const
    {
        const workflow::JobRecord *const record = simulation_.state.findJob(key);
        return record != nullptr && record->phase == JobPhase::Completed;
    }

    std::map<JobKey, std::chrono::milliseconds> runTimes_; ///< A second if unset.
    ManagerSimulation simulation_;

private:
    ManagerSimulation::Options options()
    {
        ManagerSimulation::Options result;
        result.workers.runTimeOf = [this](const workflow::TaskRef &task, const std::string &) {
            const auto found = runTimes_.find(task.job);
            return found != runTimes_.end() ? found->second : task.job == Gang ? GangRunTime : 1'000ms;
        };
        return result;
    }
};

} // namespace

// Guards against a small job that waits for ever beside a gang which waits for long-running tasks to end.
TEST_F(WorkflowClaims, SmallJobStartsBesideAGangThatLongRunningTasksBlock)
{
    runTimes_[Background] = 1h;
    blockGang(true, 60s);
    simulation_.submit(Small, job(1, 1'000, 1s), policy(2));
    EXPECT_TRUE(starts(Small, MaxWait));
}

// Guards against gangs that wait behind one that long-running tasks block.
TEST_F(WorkflowClaims, GangStartsBesideAGangThatLongRunningTasksBlock)
{
    runTimes_[Background] = 1h;
    blockGang(true, 60s);
    simulation_.submit(Small, gang(Workers, 4'000), policy(2));
    EXPECT_TRUE(starts(Small, MaxWait));
}

// Guards against a blocked gang that doesn't start once the long-running tasks are gone.
TEST_F(WorkflowClaims, BlockedGangStartsOnceLongRunningTasksEnd)
{
    runTimes_[Background] = 1h;
    blockGang(true, 60s);
    simulation_.run(3s);
    simulation_.cancel(Background);
    EXPECT_TRUE(starts(Gang, 2s));
}

// Guards against a small job that waits beside free capacity for as long as a gang waits for long tasks.
TEST_F(WorkflowClaims, SmallJobStartsBesideAGangThatWaitsForLongTasks)
{
    runTimes_[Background] = 60s;
    blockGang(false, 60s, WorkerMilliCpu);
    simulation_.submit(Small, job(1, 1'000, 1s), policy(2));
    EXPECT_TRUE(starts(Small, MaxWait));
}

// The same for a job that would end after the gang is expected to start.
TEST_F(WorkflowClaims, LongJobStartsBesideAGangThatWaitsWhileMostCapacityIsFree)
{
    runTimes_[Background] = 30s;
    runTimes_[Small] = 60s;
    blockGang(false, 30s, WorkerMilliCpu);
    simulation_.submit(Small, job(1, 1'000, 60s), policy(2));
    EXPECT_TRUE(starts(Small, MaxWait));
}

// Guards against a small job that waits because the tasks that a gang waits for take far longer than estimated.
TEST_F(WorkflowClaims, SmallJobStartsBesideAGangThatWaitsForUnderestimatedTasks)
{
    runTimes_[Background] = 60s;
    blockGang(false, 100ms, WorkerMilliCpu);
    simulation_.run(2s);
    simulation_.submit(Small, job(1, 1'000, 1s), policy(2));
    EXPECT_TRUE(starts(Small, MaxWait));
}

// Guards against long-running tasks that don't restart because a gang has claimed what they need.
TEST_F(WorkflowClaims, LongRunningTaskRestartsBesideAGangThatWaits)
{
    constexpr JobKey Service = 4;
    runTimes_[Background] = 20s;
    runTimes_[Service] = 1h;
    workflow::JobSpec service = job(1, 1'000, 60s);
    service.steps[0].longRunning = true;
    simulation_.submit(Service, service, policy(2));
    simulation_.run(500ms);
    const workflow::TaskRef task{Service, 0, 0, 0};
    const auto isAtWork = [&] {
        return simulation_.state.findTask(task)->phase == workflow::TaskPhase::Placed;
    };
    ASSERT_TRUE(isAtWork());
    blockGang(false, 20s, WorkerMilliCpu);
    simulation_.workers.fail(
        simulation_.state.workers().at(simulation_.state.findTask(task)->worker).identity.id, task, {});
    ASSERT_TRUE(simulation_.runUntil([&] { return !isAtWork(); }, 1s));
    EXPECT_TRUE(simulation_.runUntil(isAtWork, MaxWait));
}

// Guards against a gang that never asks for tickets for idle workers, because another one waits for those of another
// service.
TEST_F(WorkflowClaims, GangStartsBesideAGangThatWaitsForAnotherService)
{
    runTimes_[Background] = 60s;
    for (const char *const id : {"other0", "other1"}) {
        simulation_.workers.add(id, WorkerMilliCpu, "rack", simulation_.now);
        simulation_.workers.worker(id).identity.service = "other";
    }
    simulation_.loseLeader();
    simulation_.lead(); // Now all workers report.
    simulation_.run(2s);
    blockGang(false, 60s, WorkerMilliCpu);
    workflow::JobSpec filling = oneEach(WorkerMilliCpu - 7'000, 60s, false);
    runTimes_[FirstOfStream] = 60s;
    simulation_.submit(FirstOfStream, filling, policy(0));
    simulation_.run(500ms);
    workflow::QueuePolicy other = policy(2);
    other.service = "other";
    other.eligibility = workflow::EligibilityPolicy{10ms, 1ms, 1'500ms};
    simulation_.submit(Small, gang(2, 8'000), other);
    EXPECT_TRUE(starts(Small, MaxWait));
}

// Guards against a wide gang that small tasks overtake for ever.
TEST_F(WorkflowClaims, GangIsDoneUnderAStreamOfSmallTasks)
{
    EXPECT_TRUE(gangIsDoneUnderStream(1s));
}

// The same with estimates by which all small tasks would end before the gang can start.
TEST_F(WorkflowClaims, GangIsDoneUnderAStreamOfUnderestimatedTasks)
{
    EXPECT_TRUE(gangIsDoneUnderStream(10ms));
}

// The same with tasks of which nothing tells how long they take.
TEST_F(WorkflowClaims, GangIsDoneUnderAStreamOfUnpredictableTasks)
{
    EXPECT_TRUE(gangIsDoneUnderStream(1s, 100ms, 10s));
}

// Guards against a gang that tasks which are let through in the meantime keep from starting in its turn.
TEST_F(WorkflowClaims, GangStartsSoonAfterTheLongTasksThatItWaitsFor)
{
    runTimes_[Background] = 10s;
    blockGang(false, 10s, WorkerMilliCpu);
    JobKey next = FirstOfStream;
    const base::TimePoint end = simulation_.now + 13s;
    while (simulation_.now < end && !isStarted(Gang)) {
        simulation_.submit(next++, job(1, 1'000, 1s), policy(2));
        simulation_.run(50ms);
    }
    EXPECT_TRUE(isStarted(Gang));
}
