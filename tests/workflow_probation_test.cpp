#include "workflow_jobs.h"
#include "workflow_simulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>

using namespace yuccawheel;
using namespace std::chrono_literals;
using tests::ManagerSimulation;
using workflow::JobKey;
using workflow::JobPhase;

namespace
{

constexpr std::int64_t WorkerMilliCpu = 16'000;
constexpr JobKey FirstService = 1;
constexpr JobKey SecondService = 2;
constexpr JobKey Later = 3;
constexpr auto MaxRestart = 9s; ///< Of a long-running task: 3 s from 6 s after its last run.
constexpr auto MaxWait = 3s; ///< Beside free capacity, while most of it is free.

workflow::QueuePolicy policy()
{
    workflow::QueuePolicy result = tests::policy("queue", 0);
    result.attempts = 20;
    return result;
}

workflow::JobSpec job(std::uint32_t count, bool longRunning = false)
{
    workflow::JobSpec spec = tests::job(count, 1'000, 400ms);
    spec.steps[0].longRunning = longRunning;
    spec.steps[0].maxPerWorker = longRunning ? 1 : 0;
    return spec;
}

class WorkflowProbation : public testing::Test
{
protected:
    WorkflowProbation() : simulation_(options())
    {
    }

    void addWorkers(std::uint32_t count)
    {
        for (std::uint32_t number = 0; number < count; ++number) {
            simulation_.workers.add("w" + std::to_string(number), WorkerMilliCpu, "rack", simulation_.now);
        }
        simulation_.lead();
        simulation_.run(100ms);
    }
    std::size_t tasksAtWork(JobKey key)
    {
        std::size_t count = 0;
        for (const auto &[id, worker] : simulation_.workers.all()) {
            count += static_cast<std::size_t>(std::count_if(
                worker.runs.begin(), worker.runs.end(), [key](const auto &item) { return item.first.job == key; }));
        }
        return count;
    }
    /// Lets all tasks of a job fail that are at work.
    void failAll(JobKey key)
    {
        for (const auto &[id, worker] : simulation_.workers.all()) {
            std::set<workflow::TaskRef> tasks;
            for (const auto &[task, run] : worker.runs) {
                tasks.insert(task);
            }
            for (const workflow::TaskRef &task : tasks) {
                if (task.job == key) {
                    simulation_.workers.fail(id, task, {});
                }
            }
        }
    }
    /// Has a single worker run a long-running task, and puts it on probation for the failures of two other jobs.
    void putOnProbation(std::chrono::milliseconds failingAfter)
    {
        simulation_.submit(FirstService, job(1, true), policy());
        simulation_.run(500ms);
        failingFrom_ = FirstOfFailing;
        failingAfter_ = failingAfter;
        simulation_.workers.worker("w0").failsAll = true;
        simulation_.submit(FirstOfFailing, job(1), policy());
        simulation_.submit(FirstOfFailing + 1, job(1), policy());
        ASSERT_TRUE(simulation_.runUntil([this] { return health().onProbation(); }, failingAfter + 1s));
        simulation_.workers.worker("w0").failsAll = false;
        simulation_.cancel(FirstOfFailing);
        simulation_.cancel(FirstOfFailing + 1);
        ASSERT_TRUE(simulation_.runUntil([this] { return !health().isQuarantined(simulation_.now); }, 20s));
    }
    const workflow::WorkerHealth &health()
    {
        return simulation_.manager->workers().begin()->second.health;
    }

    static constexpr JobKey FirstOfFailing = 50;
    static constexpr std::chrono::milliseconds LongTime = 1h;
    ManagerSimulation simulation_;

private:
    ManagerSimulation::Options options()
    {
        ManagerSimulation::Options result;
        result.workers.runTimeOf = [this](const workflow::TaskRef &task, const std::string &) {
            return task.job == FirstService || task.job == SecondService ? LongTime
                : task.job >= failingFrom_                               ? failingAfter_
                                                                         : 400ms;
        };
        return result;
    }

    JobKey failingFrom_ = 1'000'000;
    std::chrono::milliseconds failingAfter_{0};
};

} // namespace

// Guards against long-running tasks of two jobs that fail once each and are never started again, on nearly empty
// workers.
TEST_F(WorkflowProbation, LongRunningTasksOfTwoJobsThatFailOnceEachAreStartedAgain)
{
    constexpr std::uint32_t Workers = 3;
    addWorkers(Workers);
    simulation_.submit(FirstService, job(Workers, true), policy());
    simulation_.submit(SecondService, job(Workers, true), policy());
    simulation_.run(4s);
    failAll(FirstService);
    simulation_.run(300ms);
    failAll(SecondService);
    simulation_.run(100ms);
    EXPECT_TRUE(simulation_.runUntil(
        [&] { return tasksAtWork(FirstService) == Workers && tasksAtWork(SecondService) == Workers; }, MaxRestart));
    simulation_.submit(Later, job(1), policy());
    EXPECT_TRUE(simulation_.runUntil([&] { return tasksAtWork(Later) == 1; }, MaxWait));
}

// Guards against a worker on probation that is never given a task again because it runs one that lasts.
TEST_F(WorkflowProbation, WorkerOnProbationBesideALongRunningTaskIsGivenTasks)
{
    addWorkers(1);
    putOnProbation(100ms);
    simulation_.submit(Later, job(1), policy());
    EXPECT_TRUE(simulation_.runUntil([&] { return tasksAtWork(Later) == 1; }, MaxWait));
    EXPECT_TRUE(simulation_.runUntil([this] { return !health().onProbation(); }, 2s));
}

// Guards against a probation that never ends because the task given on probation is one that lasts.
TEST_F(WorkflowProbation, LongRunningTrialEndsProbation)
{
    addWorkers(1);
    putOnProbation(500ms);
    simulation_.submit(SecondService, job(1, true), policy());
    ASSERT_TRUE(simulation_.runUntil([&] { return tasksAtWork(SecondService) == 1; }, MaxWait));
    simulation_.submit(Later, job(4), policy());
    EXPECT_TRUE(simulation_.runUntil([&] { return tasksAtWork(Later) > 0; }, MaxWait));
    EXPECT_TRUE(simulation_.runUntil([this] { return !health().onProbation(); }, 5s));
}

// Guards against tasks that wait for a long trial to outlast runs that took long to fail.
TEST_F(WorkflowProbation, LongTrialDoesNotKeepTheNextOneFromStarting)
{
    addWorkers(1);
    putOnProbation(20s);
    simulation_.submit(SecondService, job(1, true), policy());
    ASSERT_TRUE(simulation_.runUntil([&] { return tasksAtWork(SecondService) == 1; }, MaxWait));
    simulation_.submit(Later, job(1), policy());
    EXPECT_TRUE(simulation_.runUntil([&] { return tasksAtWork(Later) > 0; }, MaxWait));
}

// Guards against a gang that needs two places on a worker on probation, and waits for others to end that.
TEST_F(WorkflowProbation, GangThatNeedsSeveralPlacesOnAWorkerOnProbationStarts)
{
    addWorkers(1);
    putOnProbation(100ms);
    workflow::JobSpec gang = job(3);
    gang.steps[0].gang = true;
    simulation_.submit(Later, gang, policy());
    EXPECT_TRUE(simulation_.runUntil([&] { return tasksAtWork(Later) == 3; }, MaxWait));
}

// Guards against a worker that is fed with tasks which all fail there at once, because a task that lasts works there.
TEST_F(WorkflowProbation, FailingWorkerThatRunsALongRunningTaskIsNotFed)
{
    constexpr JobKey Jobs = 200;
    addWorkers(2);
    simulation_.submit(FirstService, job(2, true), policy());
    simulation_.run(500ms);
    simulation_.workers.worker("w0").failsAll = true;
    // Fills the other worker, so that tasks wait all the time.
    std::size_t most = 0;
    for (JobKey key = 100; key < 100 + Jobs; ++key) {
        workflow::JobSpec spec = job(2);
        spec.steps[0].perTask.milliCpu = 4'000;
        simulation_.submit(key, spec, policy());
        for (int passed = 0; passed < 100; ++passed) {
            simulation_.run(1ms);
            if (health().onProbation() && !health().isQuarantined(simulation_.now)) {
                most = std::max(most, simulation_.workers.worker("w0").runs.size());
            }
        }
    }
    std::uint64_t failures = 0;
    for (const auto &[key, record] : simulation_.state.jobs()) {
        for (const workflow::TaskRecord &task : record.steps[0].tasks) {
            failures += task.failures;
        }
    }
    EXPECT_LE(most, 2U) << "beside the task that lasts, one at a time";
    EXPECT_LE(failures, 10U) << "8 places at first, and one task after each of the quarantines of 2, 4 and 8 s";
    EXPECT_EQ(tasksAtWork(FirstService), 2U);
}

// Guards against a task that has to run alone and waits for a worker to become empty on which another one lasts.
TEST_F(WorkflowProbation, SuspectGetsAWorkerWithoutALongRunningTask)
{
    constexpr JobKey Suspect = 10;
    constexpr std::uint32_t Workers = 4;
    JobKey next = 100;
    const auto load = [&](std::uint32_t count) {
        workflow::JobSpec spec = job(count);
        spec.steps[0].perTask.milliCpu = 4'000;
        simulation_.submit(next++, spec, policy());
    };
    addWorkers(Workers);
    workflow::JobSpec suspect = job(1);
    suspect.steps[0].perTask.milliCpu = 2'000;
    simulation_.submit(Suspect, suspect, policy());
    simulation_.run(30ms); // Until it is committed.
    const workflow::TaskRef task{Suspect, 0, 0, 0};
    for (std::uint32_t run = 1; run <= 2; ++run) {
        ASSERT_TRUE(simulation_.runUntil(
            [&] {
                const workflow::TaskRecord &record = *simulation_.state.findTask(task);
                return record.phase == workflow::TaskPhase::Placed && record.run == run;
            },
            5s));
        const workflow::WorkerNumber worker = simulation_.state.findTask(task)->worker;
        load(8); // Some of these run beside it.
        simulation_.run(100ms);
        simulation_.workers.crash(simulation_.state.workers().at(worker).identity.id, simulation_.now);
    }
    simulation_.submit(FirstService, job(Workers / 2, true), policy());
    for (int tick = 0; tick < 200 && !simulation_.state.findJob(Suspect)->hasEnded(); ++tick) {
        load(Workers); // As much as the workers can do.
        simulation_.run(100ms);
    }
    EXPECT_EQ(simulation_.phaseOf(Suspect), JobPhase::Completed);
}
