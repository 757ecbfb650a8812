#include "workflow_load.h"

#include <gtest/gtest.h>

using namespace yuccawheel;
using namespace std::chrono_literals;
using tests::ManagerSimulation;
using tests::MixedLoad;

namespace
{

constexpr std::int64_t WorkerMilliCpu = 8'000;

workflow::JobSpec job(std::uint32_t count, std::int64_t milliCpu, std::chrono::milliseconds estimate)
{
    workflow::StepSpec step;
    step.count = count;
    step.perTask = {milliCpu, 100, 0};
    step.estimatedRunTime = estimate;
    workflow::JobSpec spec;
    spec.payload = "payload";
    spec.steps = {step};
    return spec;
}

workflow::QueuePolicy policy(const std::string &queue, std::int32_t priority)
{
    workflow::QueuePolicy result;
    result.queue = queue;
    result.service = "service";
    result.priority = priority;
    result.attempts = 3;
    result.stretch = 2;
    result.target = 1s;
    return result;
}

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
    return static_cast<double>(after.workersExamined - before.workersExamined)
        / static_cast<double>(after.dispatches - before.dispatches);
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

// Guards against jobs that count as too late for use, and go last, because their caller's estimate is far too low.
TEST(WorkflowLoad, LowEstimateDoesNotMakeAJobTooLate)
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
    submitAll(4, RunTime, rough);
    simulation.run(100ms);
    const workflow::JobKey underestimated = key + 1;
    submitAll(1, 100ms, rough);
    workflow::QueuePolicy patient = policy("patient", 2);
    patient.target = 1min;
    submitAll(12, RunTime, patient);
    EXPECT_TRUE(simulation.runUntil([&] { return isCompleted(underestimated); }, 2 * RunTime + 1s))
        << "the objective is twice the run time and a second more";
}
