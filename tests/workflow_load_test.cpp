#include "workflow_jobs.h"
#include "workflow_load.h"

#include <gtest/gtest.h>

using namespace yuccawheel;
using namespace std::chrono_literals;
using tests::job;
using tests::ManagerSimulation;
using tests::MixedLoad;
using tests::policy;

namespace
{

constexpr std::int64_t WorkerMilliCpu = 8'000;

void addWorkers(ManagerSimulation &simulation, std::size_t count)
{
    for (std::size_t number = 0; number < count; ++number) {
        simulation.workers.add("w" + std::to_string(number), WorkerMilliCpu, "rack", simulation.now);
    }
    simulation.lead();
    simulation.run(100ms);
}

/// Returns how many checks of a worker a dispatch takes while all workers are full and as many steps wait.
double workersExaminedPerDispatch(std::size_t workers)
{
    ManagerSimulation::Options options;
    options.workers.runTime = 1h;
    options.gateways = workers;
    ManagerSimulation simulation(options);
    addWorkers(simulation, workers);
    simulation.submit(1, job(static_cast<std::uint32_t>(workers), WorkerMilliCpu, 400ms), policy("running", 0));
    workflow::QueuePolicy waiting = policy("waiting", 1);
    waiting.eligibility = workflow::EligibilityPolicy{10ms, 1ms, 1'500ms};
    for (workflow::JobKey key = 2; key < 2 + workers; ++key) {
        workflow::JobSpec spec = job(2, WorkerMilliCpu, 400ms);
        spec.steps[0].gang = key % 2 == 0;
        simulation.submit(key, spec, waiting);
    }
    simulation.run(2s); // Until eligibility is known.
    const workflow::DispatchCost before = simulation.manager->dispatchCost();
    simulation.run(2s);
    const workflow::DispatchCost &after = simulation.manager->dispatchCost();
    return static_cast<double>(after.workersExamined + after.workersIndexed - before.workersExamined
                               - before.workersIndexed)
        / static_cast<double>(after.dispatches - before.dispatches);
}

/// Returns how many checks of a worker it takes to choose the workers of a query, without those for indexes.
double workersExaminedPerQuery(std::size_t workers)
{
    constexpr workflow::JobKey Jobs = 200;
    ManagerSimulation::Options options;
    options.gateways = Jobs;
    options.workers.runTime = 1h;
    ManagerSimulation simulation(options);
    addWorkers(simulation, workers);
    // Half of each worker is in use, so that none has free capacity to spare.
    simulation.submit(1, job(static_cast<std::uint32_t>(workers), WorkerMilliCpu / 2, 1h), policy("running", 0));
    simulation.run(1s);
    workflow::QueuePolicy queried = policy("queried", 1);
    queried.eligibility = workflow::EligibilityPolicy{10ms, 1ms, 1'500ms};
    const workflow::DispatchCost before = simulation.manager->dispatchCost();
    for (workflow::JobKey key = 2; key < 2 + Jobs; ++key) {
        simulation.submit(key, job(1, 10, 400ms), queried);
    }
    EXPECT_TRUE(simulation.runUntil([&] { return simulation.queries >= Jobs; }, 1s));
    const workflow::DispatchCost &after = simulation.manager->dispatchCost();
    return static_cast<double>(after.workersExamined - before.workersExamined) / Jobs;
}

/// Returns how many entries the indexes of free capacity get in a second of urgent jobs whose steps query.
std::uint64_t workersIndexedPerSecond(std::size_t workers)
{
    ManagerSimulation::Options options;
    options.gateways = 100;
    ManagerSimulation simulation(options);
    addWorkers(simulation, workers);
    workflow::QueuePolicy queried = policy("queried", 0);
    queried.eligibility = workflow::EligibilityPolicy{10ms, 0ms, 1'500ms};
    const std::uint64_t before = simulation.manager->dispatchCost().workersIndexed;
    for (workflow::JobKey key = 1; key <= 100; ++key) {
        simulation.submit(key, job(1, 10, 400ms), queried);
        simulation.run(10ms);
    }
    return simulation.manager->dispatchCost().workersIndexed - before;
}

/// Returns whether a job whose estimate is far too low meets its objective, in a queue whose estimates say nothing.
bool meetsObjectiveInSpiteOfEstimate(bool leaderChanges)
{
    constexpr auto RunTime = 2s;
    ManagerSimulation::Options options;
    options.workers.runTime = RunTime;
    ManagerSimulation simulation(options);
    addWorkers(simulation, 4);
    workflow::JobKey key = 0;
    const auto submitAll = [&](std::size_t jobs, std::chrono::milliseconds estimate, const auto &queue) {
        for (std::size_t number = 0; number < jobs; ++number) {
            simulation.submit(++key, job(1, WorkerMilliCpu, estimate), queue);
        }
    };
    // Estimates of this queue say nothing about its run times.
    const workflow::QueuePolicy rough = policy("rough", 1);
    for (int round = 0; round < 16; ++round) {
        submitAll(4, round % 2 == 0 ? 100ms : 4'000ms, rough);
        simulation.run(RunTime + 200ms);
    }
    const auto isCompleted = [&](workflow::JobKey each) {
        const workflow::JobRecord *const record = simulation.state.findJob(each);
        return record != nullptr && record->phase == workflow::JobPhase::Completed;
    };
    if (leaderChanges) {
        simulation.loseLeader();
        simulation.run(1s);
        simulation.lead();
        simulation.run(200ms);
    }
    submitAll(4, RunTime, rough);
    simulation.run(100ms);
    const workflow::JobKey underestimated = key + 1;
    submitAll(1, 100ms, rough);
    workflow::QueuePolicy patient = policy("patient", 2);
    patient.target = 1min;
    submitAll(12, RunTime, patient);
    // The objective is twice the run time and a second more.
    return simulation.runUntil([&] { return isCompleted(underestimated); }, 2 * RunTime + 1s);
}

} // namespace

// Guards against a leader that spends its whole processor on dispatches: at 350 workers, urgent jobs waited for it.
TEST(WorkflowLoad, DispatchCostGrowsAtMostLinearlyWithWorkersAndWaitingSteps)
{
    constexpr double Growth = 4;
    const double small = workersExaminedPerDispatch(40);
    const double large = workersExaminedPerDispatch(static_cast<std::size_t>(40 * Growth));
    EXPECT_LE(large, Growth * small);
}

// Guards against queries that look at every worker: at 350 workers, choosing whom to ask about took half of the time
// that decisions took.
TEST(WorkflowLoad, ChoosingWorkersForAQueryCostsNoMoreOnALargerDeployment)
{
    constexpr std::size_t Workers = 150;
    EXPECT_LE(workersExaminedPerQuery(3 * Workers), 1.2 * workersExaminedPerQuery(Workers));
}

// Guards against a leader that sorts all workers in each dispatch: with 1,100 workers, and a dispatch for each job that
// arrives and each answer to its query, that took most of the time of its decisions.
TEST(WorkflowLoad, UrgentJobsDoNotIndexAllWorkersEachTime)
{
    constexpr std::size_t Workers = 200;
    constexpr std::uint64_t IndexesPerSecond = 20;
    EXPECT_LE(workersIndexedPerSecond(Workers), IndexesPerSecond * Workers);
}

// Guards against a leader that compares each report with every worker: with 1,100 workers, reports took up to a quarter
// of its main thread's time.
TEST(WorkflowLoad, ReportsAreComparedOnlyWithWorkersOfTheirIdOrAddress)
{
    constexpr std::size_t Workers = 300;
    constexpr std::uint64_t Rounds = 4;
    ManagerSimulation simulation({});
    addWorkers(simulation, Workers);
    simulation.run(2s);
    const std::uint64_t before = simulation.manager->dispatchCost().workersMatched;
    simulation.run(1'500ms * Rounds);
    const std::uint64_t matched = simulation.manager->dispatchCost().workersMatched - before;
    EXPECT_GE(matched, Workers * Rounds);
    EXPECT_LE(matched, 2 * Workers * (Rounds + 1));
}

// Guards against capacity that idles for gangs that can't start yet while their queries keep others from tickets.
TEST(WorkflowLoad, GangBurstLeavesNoCapacityIdleBesideWaitingTasks)
{
    constexpr double OfferedLoad = 0.9;
    MixedLoad load(120, 2);
    load.run(12s);
    load.setRate(MixedLoad::Gangs, 2);
    load.run(6s);
    load.setRate(MixedLoad::Gangs, 1);
    load.takeMeanUse();
    load.run(18s);
    EXPECT_GT(load.waitingTasks(), 0U);
    EXPECT_GE(load.takeMeanUse(), OfferedLoad);
}

// Guards against gangs that learn one query after the other where they may run, until their objective is used up: most
// of what large gangs lost on a quiet day of 350 workers.
TEST(WorkflowLoad, GangThatNeedsManyWorkersMeetsItsObjectiveOnIdleWorkers)
{
    constexpr std::size_t Workers = 300;
    ManagerSimulation::Options options;
    options.gateways = 40;
    options.workers.runTime = 1s;
    ManagerSimulation simulation(options);
    addWorkers(simulation, Workers);
    simulation.serviceTimeOf = [](const workflow::EligibilityQuery &query) {
        return 442ms + std::chrono::ceil<std::chrono::milliseconds>(query.workers.size() * 6'370us);
    };
    // Three workers in ten may run each gang.
    simulation.mayRun = [](const std::string &step, const std::string &worker) {
        return std::hash<std::string>{}(step + worker) * 0x9e3779b97f4a7c15ULL % 10 < 3;
    };
    workflow::QueuePolicy gangs = policy("gangs", 1); // An objective of twice the run time and a second more.
    gangs.eligibility = workflow::EligibilityPolicy{442ms, 6'370us, 1'500ms};
    workflow::JobSpec spec = job(60, WorkerMilliCpu, 1s);
    spec.steps[0].gang = true;
    simulation.submit(1, spec, gangs);
    EXPECT_TRUE(simulation.runUntil(
        [&] {
            const workflow::JobRecord *const record = simulation.state.findJob(1);
            return record != nullptr && record->phase == workflow::JobPhase::Completed;
        },
        3s));
}

// Guards against large gangs that never start because smaller ones keep overtaking them: when a sixth of 350 workers
// was lost, the largest tenth was served less than half as often as all.
TEST(WorkflowLoad, LargestGangsAreServedHalfAsOftenAsAllUnderOverload)
{
    constexpr double Overload = 1.2; // Relative to the deployment's size: what is left of the workers is offered 1.08.
    MixedLoad load(350, 2);
    load.run(4s);
    for (const MixedLoad::Queue queue : {MixedLoad::Short, MixedLoad::Gangs, MixedLoad::Wide}) {
        load.setRate(queue, Overload);
    }
    load.run(4s);
    const base::TimePoint from = load.now();
    load.run(24s);
    const base::TimePoint until = load.now();
    load.run(12s);
    const double all = load.servedShare(MixedLoad::Gangs, from, until);
    const double largest = load.servedShare(MixedLoad::Gangs, from, until, 0.1);
    EXPECT_GE(largest, all / 2);
}

// Guards against a gang that waits for ever behind a wide one that can't start, while most of the room is free.
TEST(WorkflowLoad, GangStartsBehindAWideOneThatCannotWhileMostRoomIsFree)
{
    constexpr std::uint32_t Workers = 10;
    constexpr workflow::JobKey Lasting = 1;
    constexpr workflow::JobKey Wide = 2;
    constexpr workflow::JobKey Small = 3;
    ManagerSimulation::Options options;
    options.workers.runTimeOf = [](const workflow::TaskRef &task, const std::string &) {
        return task.job == Lasting ? std::chrono::milliseconds(1h) : 400ms;
    };
    ManagerSimulation simulation(options);
    addWorkers(simulation, Workers);
    workflow::JobSpec lasting = job(Workers, WorkerMilliCpu / 8, 400ms);
    lasting.steps[0].maxPerWorker = 1;
    simulation.submit(Lasting, lasting, policy("lasting", 0));
    simulation.run(1s);
    workflow::QueuePolicy gangs = policy("gangs", 1);
    gangs.eligibility = workflow::EligibilityPolicy{10ms, 1ms, 1'500ms};
    workflow::JobSpec wide = job(Workers / 2, WorkerMilliCpu, 400ms);
    wide.steps[0].gang = true;
    workflow::QueuePolicy wideGangs = gangs;
    wideGangs.priority = 0;
    wideGangs.target = 1h; // Never late, so that it stays ahead.
    simulation.submit(Wide, wide, wideGangs);
    simulation.run(1s);
    workflow::JobSpec small = job(2, WorkerMilliCpu / 4, 400ms);
    small.steps[0].gang = true;
    simulation.submit(Small, small, gangs);
    simulation.run(30ms); // Until it is committed.
    EXPECT_TRUE(simulation.runUntil([&] { return simulation.phaseOf(Small) == workflow::JobPhase::Completed; }, 10s));
}

// Guards against jobs that count as too late for use, and go last, because their caller's estimate is far too low.
TEST(WorkflowLoad, LowEstimateDoesNotMakeAJobTooLate)
{
    EXPECT_TRUE(meetsObjectiveInSpiteOfEstimate(false));
}

// Guards against a leader that has to learn how far estimates can be relied on.
TEST(WorkflowLoad, LowEstimateDoesNotMakeAJobTooLateAfterAChangeOfLeader)
{
    EXPECT_TRUE(meetsObjectiveInSpiteOfEstimate(true));
}
