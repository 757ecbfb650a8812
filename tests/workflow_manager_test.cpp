#include "workflow_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace yuccawheel;
using namespace std::chrono_literals;
using tests::ManagerSimulation;
using workflow::JobPhase;

namespace
{

constexpr workflow::JobKey Key = 0xabc;

workflow::StepSpec step(std::uint32_t count, std::int64_t milliCpu)
{
    workflow::StepSpec spec;
    spec.count = count;
    spec.perTask = {milliCpu, 100, 0};
    spec.estimatedRunTime = 400ms;
    return spec;
}

workflow::StepSpec gang(std::uint32_t count, std::int64_t milliCpu)
{
    workflow::StepSpec spec = step(count, milliCpu);
    spec.gang = true;
    return spec;
}

workflow::JobSpec job(std::vector<workflow::StepSpec> steps)
{
    workflow::JobSpec spec;
    spec.payload = "payload";
    spec.steps = std::move(steps);
    return spec;
}

workflow::QueuePolicy policy()
{
    workflow::QueuePolicy result;
    result.queue = "queue";
    result.service = "service";
    result.attempts = 3;
    result.stretch = 2;
    result.target = 1s;
    return result;
}

workflow::QueuePolicy checkedPolicy(std::chrono::microseconds perCall, std::chrono::microseconds perWorker)
{
    workflow::QueuePolicy result = policy();
    result.eligibility = workflow::EligibilityPolicy{perCall, perWorker, 2'000ms};
    return result;
}

bool haveAllJobsEnded(const ManagerSimulation &simulation)
{
    const auto &jobs = simulation.state.jobs();
    return std::all_of(
        jobs.begin(), jobs.end(), [](const auto &item) { return item.second.hasEnded() && item.second.placed == 0; });
}

class WorkflowManager : public testing::Test
{
protected:
    void addWorkers(ManagerSimulation &simulation, int count, std::int64_t milliCpu = 16'000)
    {
        for (int number = 0; number < count; ++number) {
            simulation.workers.add(
                "w" + std::to_string(number), milliCpu, "rack" + std::to_string(number % 2), simulation.now);
        }
        simulation.lead();
        simulation.run(100ms);
    }
    /// Submits a gang whose eligibility query stays unanswered for `unanswered`.
    void submitWithUnansweredQuery(ManagerSimulation &simulation, std::chrono::milliseconds unanswered)
    {
        addWorkers(simulation, 4);
        simulation.dropQueries = true;
        simulation.submit(Key, job({gang(3, 10'000)}), checkedPolicy(500ms, 7ms));
        simulation.run(unanswered);
        simulation.dropQueries = false;
    }
    /// Fills a single worker of 16 cores with the four tasks of `Key` and shrinks it below what they hold.
    void fillAndShrinkWorker(ManagerSimulation &simulation, std::int64_t milliCpu)
    {
        addWorkers(simulation, 1);
        simulation.submit(Key, job({step(4, 4'000)}), policy());
        simulation.run(500ms);
        simulation.workers.setCapacity("w0", {milliCpu, 1'000'000, 0}, 2s, simulation.now);
        simulation.run(2s);
    }
    static bool isPlaced(const ManagerSimulation &simulation, const workflow::TaskRef &task)
    {
        const workflow::TaskRecord *const record = simulation.state.findTask(task);
        return record != nullptr && record->phase == workflow::TaskPhase::Placed;
    }
    static std::string workerOf(const ManagerSimulation &simulation, const workflow::TaskRef &task)
    {
        return simulation.state.workers().at(simulation.state.findTask(task)->worker).identity.id;
    }
    static ManagerSimulation::Options longRuns()
    {
        ManagerSimulation::Options options;
        options.workers.runTime = 6s;
        return options;
    }
    /// Has the task of `Key` run for half a second on one of two workers. Returns that worker.
    std::string runTaskOnOneOfTwo(ManagerSimulation &simulation)
    {
        addWorkers(simulation, 2);
        simulation.submit(Key, job({step(1, 1'000)}), policy());
        simulation.run(500ms);
        return workerOf(simulation, {Key, 0, 0, 0});
    }
    static bool ended(const ManagerSimulation &simulation, workflow::JobKey key, JobPhase phase)
    {
        const workflow::JobRecord *const record = simulation.state.findJob(key);
        return record != nullptr && record->phase == phase && record->placed == 0;
    }
};

} // namespace

TEST_F(WorkflowManager, RunsStepsInOrder)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 2);
    workflow::StepSpec last = step(4, 2'000);
    last.after = {0};
    simulation.submit(Key, job({step(3, 2'000), last}), policy());
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 3s));
    EXPECT_EQ(simulation.workers.starts(), 7U);
}

TEST_F(WorkflowManager, StartsGangOnlyAsAWhole)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 4);
    simulation.submit(Key, job({gang(6, 10'000)}), policy());
    simulation.run(5s);
    EXPECT_EQ(simulation.workers.starts(), 0U) << "only four members of 10 cores fit on four workers";
    simulation.workers.add("w8", 64'000, "rack0", simulation.now);
    simulation.loseLeader();
    simulation.lead();
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 5s));
    EXPECT_EQ(simulation.workers.starts(), 6U);
    EXPECT_EQ(simulation.workers.incompleteGangEnds(), 0U);
}

// Guards against members of a gang that wait for one whose worker has fallen silent, until they give up.
TEST_F(WorkflowManager, GangWhoseWorkerFallsSilentIsStoppedBeforeItsMembersGiveUp)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 5);
    bool cut = false;
    simulation.losesStart = [&](const workflow::TaskRef &task) {
        const std::string &id = simulation.state.workers().at(simulation.state.findTask(task)->worker).identity.id;
        if (!cut && task.index == 0) {
            cut = simulation.workers.worker(id).cut = true;
        }
        return simulation.workers.worker(id).cut;
    };
    simulation.submit(Key, job({gang(4, 10'000)}), policy());
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 20s));
    EXPECT_TRUE(cut);
    EXPECT_EQ(simulation.workers.incompleteGangEnds(), 0U);
}

// Guards against gangs that are placed on workers of which a new leader knows nothing: one that is cut off gets no
// order, and the other members wait in vain.
TEST_F(WorkflowManager, GangIsNotPlacedOnWorkersThatANewLeaderHasNotHeardFrom)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 3);
    simulation.workers.worker("w0").cut = true;
    simulation.loseLeader();
    simulation.lead();
    simulation.submit(Key, job({gang(2, 10'000)}), policy());
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 1s));
    EXPECT_EQ(simulation.workers.incompleteGangEnds(), 0U);
}

// Guards against the same on idle workers that have fallen silent: without an order to them, only their reports are
// missed.
TEST_F(WorkflowManager, GangIsNotPlacedOnAnIdleWorkerThatIsSilent)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 3);
    simulation.workers.worker("w0").cut = true;
    simulation.run(5s);
    simulation.submit(Key, job({gang(2, 10'000)}), policy());
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 1s));
    EXPECT_EQ(simulation.workers.incompleteGangEnds(), 0U);
}

// Guards against orders that their workers refuse: tickets counted as valid from the time at which a busy leader
// handled the answer that brought them.
TEST_F(WorkflowManager, TicketsOfAnswersThatAreHandledLateExpireInTime)
{
    ManagerSimulation::Options options;
    options.serviceTime = 20ms;
    options.answerDelay = 600ms;
    ManagerSimulation simulation(options);
    addWorkers(simulation, 2);
    // A second job gets its tickets while the workers are full and starts when they are about to expire.
    simulation.submit(Key, job({step(2, 16'000)}), policy());
    simulation.run(100ms);
    for (workflow::JobKey key = 1; key <= 20; ++key) {
        workflow::StepSpec spec = step(2, 8'000);
        spec.estimatedRunTime = 100ms;
        simulation.submit(Key + key, job({spec}), checkedPolicy(20ms, 0ms));
    }
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key + 20, JobPhase::Completed); }, 30s));
    EXPECT_EQ(simulation.expiredTickets, 0U);
}

// Guards against run times that count from a change of leader: the queue's jobs would seem shorter than they are.
TEST_F(WorkflowManager, RunsOfAnEarlierLeaderAreNotTimed)
{
    constexpr std::uint32_t Tasks = 40;
    ManagerSimulation::Options options;
    options.workers.runTime = 3s;
    ManagerSimulation simulation(options);
    addWorkers(simulation, 4);
    simulation.submit(Key, job({step(Tasks, 1'000)}), policy());
    EXPECT_TRUE(simulation.runUntil([&] { return simulation.workers.running() == Tasks; }, 1s));
    simulation.run(2s);
    simulation.loseLeader();
    simulation.run(200ms);
    simulation.lead();
    EXPECT_TRUE(simulation.runUntil([&] { return simulation.phaseOf(Key) == JobPhase::Completed; }, 5s));
    EXPECT_EQ(simulation.state.runTimes().expectedRunTime(policy().queue, 400ms), 400ms) << "nothing was learned";
}

TEST_F(WorkflowManager, FailsJobAfterAllAttempts)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 4);
    workflow::JobSpec poison = job({step(1, 1'000)});
    poison.payload = "poison";
    simulation.submit(Key, poison, policy());
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Failed); }, 10s));
    EXPECT_EQ(simulation.workers.starts(), 3U);
}

TEST_F(WorkflowManager, QuarantinesWorkerThatFailsEveryTask)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 3);
    simulation.workers.worker("w0").failsAll = true;
    for (workflow::JobKey key = 1; key <= 60; ++key) {
        simulation.submit(key, job({step(1, 1'000)}), policy());
        simulation.run(100ms);
    }
    simulation.run(5s);
    int failed = 0;
    for (workflow::JobKey key = 1; key <= 60; ++key) {
        failed += simulation.phaseOf(key) == JobPhase::Completed ? 0 : 1;
    }
    EXPECT_EQ(failed, 0);
    EXPECT_LT(simulation.workers.starts(), 60U + 15U) << "few runs are placed on the failing worker";
}

// Guards against workers quarantined for the failures of jobs that fail everywhere, which leave sound jobs no room.
TEST_F(WorkflowManager, JobsThatFailEverywhereDoNotQuarantineTheWorkers)
{
    constexpr std::size_t Workers = 20;
    ManagerSimulation simulation({});
    addWorkers(simulation, Workers);
    std::size_t quarantined = 0;
    workflow::JobKey key = 0;
    const auto submit = [&](bool fails) {
        workflow::JobSpec spec = job({step(1, 4'000)});
        spec.payload = fails ? "poison" : "payload";
        simulation.submit(++key, spec, policy());
    };
    for (int round = 0; round < 80; ++round) {
        for (int number = 0; number < 8; ++number) {
            submit(number % 2 == 0);
        }
        simulation.run(100ms);
        const auto count =
            std::count_if(simulation.manager->workers().begin(),
                          simulation.manager->workers().end(),
                          [&](const auto &entry) { return entry.second.health.isQuarantined(simulation.now); });
        quarantined = std::max(quarantined, static_cast<std::size_t>(count));
    }
    EXPECT_LE(quarantined, Workers / 4);
}

// Guards against a gateway that backs off once for each query of one outage, which keeps steps without tickets long
// after.
TEST_F(WorkflowManager, QueriesThatTimeOutTogetherAreOneOutage)
{
    constexpr std::size_t Jobs = 20;
    constexpr auto MaxBackoff = 4s;
    for (const std::uint64_t gateways : {1, 4, 16}) {
        for (const auto outage : {2s, 6s, 13s}) {
            ManagerSimulation::Options options;
            options.gateways = gateways;
            ManagerSimulation simulation(options);
            addWorkers(simulation, 8);
            simulation.dropQueries = true;
            for (workflow::JobKey key = 1; key <= Jobs; ++key) {
                simulation.submit(key, job({step(2, 1'000)}), checkedPolicy(20ms, 1ms));
            }
            simulation.run(outage);
            simulation.dropQueries = false;
            EXPECT_TRUE(simulation.runUntil([&] { return simulation.workers.starts() == 2 * Jobs; }, MaxBackoff + 2s))
                << gateways << " gateways, " << outage.count() << " s";
        }
    }
}

TEST_F(WorkflowManager, TaskLimitPerWorkerIncludesProposedPlacements)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 3);
    workflow::StepSpec limited = step(6, 1'000);
    limited.maxPerWorker = 2;
    simulation.submit(Key, job({limited}), policy());
    // The fake workers assert the limit at each start.
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 5s));
}

TEST_F(WorkflowManager, CancelStopsAllTasksOfAJob)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 2);
    simulation.submit(Key, job({step(8, 2'000)}), policy());
    simulation.run(100ms);
    EXPECT_EQ(simulation.workers.running(), 8U);
    simulation.cancel(Key);
    simulation.run(100ms);
    EXPECT_EQ(simulation.workers.running(), 0U);
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Cancelled); }, 1s));
}

TEST_F(WorkflowManager, NextLeaderPlacesNothingOnDrainingWorker)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 1);
    simulation.propose(workflow::WorkerDrainingEntry{"w0", simulation.workers.worker("w0").identity.born});
    simulation.run(50ms);
    simulation.loseLeader();
    simulation.run(10ms);
    simulation.lead();
    simulation.submit(Key, job({step(1, 1'000)}), policy());
    simulation.run(1s);
    EXPECT_EQ(simulation.workers.starts(), 0U);
}

TEST_F(WorkflowManager, JobIsPendingUntilARunIsConfirmed)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 1);
    simulation.workers.worker("w0").cut = true;
    simulation.submit(Key, job({step(1, 1'000)}), policy());
    simulation.run(500ms);
    EXPECT_EQ(simulation.phaseOf(Key), JobPhase::Running) << "a run has been placed";
    EXPECT_EQ(simulation.manager->pendingJobs("queue", simulation.now), 1U) << "but the worker can't have started it";
}

TEST_F(WorkflowManager, TasksOfSilentWorkerMoveAfterItsLeaseExpires)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 2);
    simulation.submit(Key, job({step(2, 16'000)}), policy());
    simulation.run(100ms);
    ASSERT_EQ(simulation.workers.running(), 2U);
    simulation.workers.worker("w0").cut = true;
    simulation.run(5s);
    EXPECT_FALSE(ended(simulation, Key, JobPhase::Completed)) << "the task may still run on the disconnected worker";
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 10s));
}

TEST_F(WorkflowManager, RestartedWorkerWithTheSameIdIsANewIncarnation)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 1);
    simulation.submit(Key, job({step(2, 1'000)}), policy());
    simulation.run(100ms);
    ASSERT_EQ(simulation.workers.running(), 2U);
    simulation.workers.restart("w0", simulation.now);
    // Much shorter than a lease: the new incarnation proves that the old one has ended.
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 4s));
}

TEST_F(WorkflowManager, PlacesTasksOnEligibleWorkersOnly)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 6);
    simulation.mayRun = [](const std::string &, const std::string &worker) {
        return worker == "w3";
    };
    simulation.submit(Key, job({step(3, 1'000)}), checkedPolicy(9ms, 100us));
    EXPECT_TRUE(simulation.runUntil([&] { return !simulation.workers.worker("w3").runs.empty(); }, 1s));
    EXPECT_EQ(simulation.workers.running(), simulation.workers.worker("w3").runs.size());
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 3s));
}

TEST_F(WorkflowManager, RepeatsUnansweredQuery)
{
    ManagerSimulation simulation({});
    submitWithUnansweredQuery(simulation, 1s);
    ASSERT_EQ(simulation.queries, 1U);
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 6s));
}

TEST_F(WorkflowManager, RepeatsQueryOfRemovedGatewayImmediately)
{
    ManagerSimulation simulation({});
    submitWithUnansweredQuery(simulation, 200ms);
    simulation.manager->removeGateway(1, simulation.now);
    simulation.manager->addGateway(2);
    EXPECT_TRUE(simulation.runUntil([&] { return simulation.workers.running() == 3; }, 500ms));
}

// Load pattern: a burst of long queries, during which the leader is lost. The service keeps processing the queries of
// the first leader. If the next leader queued its own behind them, all answers would arrive after their timeout, the
// repeated queries would queue up as well, and the backlog would never clear.
TEST_F(WorkflowManager, NewLeaderDuringQueryBurstCausesNoLateAnswers)
{
    ManagerSimulation::Options options;
    options.gateways = 3;
    options.serviceTime = 540ms;
    ManagerSimulation simulation(options);
    addWorkers(simulation, 10);
    const workflow::QueuePolicy checked = checkedPolicy(500ms, 4ms);
    constexpr workflow::JobKey Jobs = 30;
    for (workflow::JobKey key = 1; key <= Jobs; ++key) {
        simulation.submit(key, job({gang(2, 6'000)}), checked);
    }
    simulation.run(900ms);
    simulation.loseLeader();
    simulation.run(500ms);
    simulation.lead();
    const auto allEnded = [&] {
        return std::all_of(simulation.state.jobs().begin(), simulation.state.jobs().end(), [](const auto &item) {
            return item.second.phase == JobPhase::Completed;
        });
    };
    EXPECT_TRUE(simulation.runUntil(allEnded, 30s));
    EXPECT_EQ(simulation.lateAnswers, 0U);
}

// Load pattern: workers full of small tasks of a less urgent queue when a gang of a more urgent one arrives.
TEST_F(WorkflowManager, GangPreemptsLessUrgentResumableTasks)
{
    ManagerSimulation simulation(longRuns());
    addWorkers(simulation, 4);
    workflow::StepSpec lowPriority = step(32, 2'000);
    lowPriority.checkpointing = true;
    workflow::QueuePolicy lessUrgent = policy();
    lessUrgent.priority = 2;
    lessUrgent.target = 60s;
    simulation.submit(1, job({lowPriority}), lessUrgent);
    ASSERT_TRUE(simulation.runUntil([&] { return simulation.workers.running() == 32; }, 1s));
    workflow::QueuePolicy moreUrgent = checkedPolicy(9ms, 100us);
    moreUrgent.priority = 1;
    simulation.mayRun = [](const std::string &, const std::string &worker) {
        return worker != "w3";
    };
    simulation.submit(Key, job({gang(3, 10'000)}), moreUrgent);
    EXPECT_TRUE(simulation.runUntil(
        [&] { return simulation.state.findJob(Key) && simulation.state.findJob(Key)->placed == 3; }, 1s));
    EXPECT_EQ(simulation.workers.worker("w3").runs.size(), 8U) << "an ineligible worker must not be preempted";
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 8s));
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, 1, JobPhase::Completed); }, 20s));
}

TEST_F(WorkflowManager, DoesNotPreemptEquallyUrgentOrUnresumableTasks)
{
    ManagerSimulation simulation(longRuns());
    addWorkers(simulation, 2);
    workflow::StepSpec notResumable = step(8, 2'000);
    workflow::StepSpec resumable = notResumable;
    resumable.checkpointing = true;
    workflow::QueuePolicy lessUrgent = policy();
    lessUrgent.priority = 2;
    simulation.submit(1, job({notResumable}), lessUrgent);
    simulation.submit(2, job({resumable}), policy());
    ASSERT_TRUE(simulation.runUntil([&] { return simulation.workers.running() == 16; }, 1s));
    workflow::QueuePolicy moreUrgent = policy();
    moreUrgent.target = 60s;
    simulation.submit(Key, job({gang(2, 10'000)}), moreUrgent);
    simulation.run(2s);
    EXPECT_EQ(simulation.workers.running(), 16U);
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 20s));
}

// Capacity claimed for a gang must not idle: less urgent resumable tasks use it until the gang fits.
TEST_F(WorkflowManager, ResumableTasksUseCapacityClaimedForAGang)
{
    ManagerSimulation simulation(longRuns());
    addWorkers(simulation, 4);
    workflow::StepSpec notResumable = step(4, 12'000);
    workflow::QueuePolicy lessUrgent = policy();
    lessUrgent.priority = 2;
    lessUrgent.target = 60s;
    simulation.submit(1, job({notResumable}), lessUrgent);
    ASSERT_TRUE(simulation.runUntil([&] { return simulation.workers.running() == 4; }, 1s));
    workflow::QueuePolicy moreUrgent = policy();
    moreUrgent.target = 60s;
    simulation.submit(Key, job({gang(4, 10'000)}), moreUrgent);
    simulation.run(200ms);
    workflow::StepSpec small = step(2, 4'000);
    workflow::StepSpec resumable = small;
    resumable.checkpointing = true;
    simulation.submit(2, job({small}), lessUrgent);
    simulation.submit(3, job({resumable}), lessUrgent);
    simulation.run(1s);
    EXPECT_EQ(simulation.state.findJob(3)->placed, 2U);
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 20s));
}

TEST_F(WorkflowManager, LeaderRestartsFromTheLogAfterLostProposals)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 2);
    simulation.submit(1, job({step(2, 2'000)}), policy());
    simulation.submit(Key, job({step(4, 2'000)}), policy());
    simulation.run(22ms);
    simulation.dropProposals(); // Includes the placements.
    simulation.run(3s);
    EXPECT_NE(simulation.phaseOf(Key), JobPhase::Completed);
    simulation.leadAgain();
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 5s));
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, 1, JobPhase::Completed); }, 5s));
}

// Guards against a task that runs in two places: a leader that had started again from the log placed it once more while
// its first placement was still to be committed, and sent both orders, which had the same run number.
TEST_F(WorkflowManager, PlacementsFromBeforeARestartFromTheLogAreStartedOnce)
{
    ManagerSimulation simulation(longRuns());
    addWorkers(simulation, 2);
    simulation.submit(Key, job({step(1, 1'000)}), policy());
    ASSERT_TRUE(simulation.runUntil([&] { return simulation.proposedWorker(Key).has_value(); }, 1s));
    const std::string first = simulation.state.workers().at(*simulation.proposedWorker(Key)).identity.id;
    simulation.delayProposals(300ms);
    simulation.leadAgainAtOnce();
    simulation.workers.worker(first).cut = true;
    simulation.run(250ms);
    simulation.workers.worker(first).cut = false;
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 20s));
    EXPECT_EQ(simulation.workers.starts(), 1U);
}

// Injects lost and delayed orders, restarts and disconnections of workers, changes of leader, and leaders that start
// again from the log while their proposals are on their way. The fake workers assert that no task runs twice, no worker
// exceeds its capacity and steps run in order. All jobs must end.
RC_GTEST_PROP(WorkflowManagerRandom, KeepsItsGuaranteesUnderFaults, ())
{
    ManagerSimulation::Options options;
    options.seed = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint64_t>(1, 1'000'000));
    options.lostAnswerShare = 0.05;
    options.lateEffectShare = 0.5;
    options.workers.runTime = 700ms;
    std::mt19937_64 random(options.seed);
    options.commitDelay = std::chrono::milliseconds(20 + random() % 200);
    ManagerSimulation simulation(options);
    for (int number = 0; number < 5; ++number) {
        simulation.workers.add(
            "w" + std::to_string(number), 16'000, "rack" + std::to_string(number % 2), simulation.now);
    }
    simulation.lead();
    constexpr workflow::JobKey Jobs = 25;
    for (workflow::JobKey key = 1; key <= Jobs; ++key) {
        const auto width = static_cast<std::uint32_t>(1 + random() % 4);
        workflow::StepSpec first = step(4 * width, 2'000);
        first.checkpointing = random() % 2 == 0;
        workflow::StepSpec second = random() % 2 == 0 ? gang(width, 6'000) : step(width, 2'000);
        second.after = {0};
        workflow::QueuePolicy queue = policy();
        queue.priority = static_cast<std::int32_t>(random() % 3);
        queue.target = 20s;
        simulation.submit(key, job({first, second}), queue);
        simulation.run(std::chrono::milliseconds(random() % 400));
        const std::string worker = "w" + std::to_string(random() % 5);
        switch (random() % 8) {
        case 0:
            simulation.workers.restart(worker, simulation.now);
            break;
        case 1:
            simulation.workers.worker(worker).cut = true;
            break;
        case 2:
            simulation.loseLeader();
            simulation.run(std::chrono::milliseconds(random() % 1'500));
            simulation.lead();
            break;
        case 3:
            simulation.cancel(1 + random() % key);
            break;
        case 4:
            simulation.leadAgain();
            break;
        default:
            break;
        }
        for (const std::string &id : simulation.ids()) {
            simulation.workers.worker(id).cut = simulation.workers.worker(id).cut && random() % 4 != 0;
        }
    }
    for (const std::string &id : simulation.ids()) {
        simulation.workers.worker(id).cut = false;
    }
    RC_ASSERT(simulation.runUntil([&] { return haveAllJobsEnded(simulation); }, 60s));
}

// Guards against a worker that is overfilled because its capacity has shrunk since it joined.
TEST_F(WorkflowManager, ShrunkenWorkerGetsNothingUntilWhatItRunsFits)
{
    constexpr std::int64_t Shrunken = 8'000;
    ManagerSimulation::Options options;
    options.workers.runTime = 3s;
    options.workers.stopTime = 400ms;
    ManagerSimulation simulation(options);
    addWorkers(simulation, 1);
    simulation.submit(Key, job({step(4, 4'000)}), policy());
    simulation.run(500ms);
    ASSERT_EQ(simulation.workers.running(), 4U);
    const auto setCapacity = [&](std::int64_t milliCpu) {
        constexpr auto Notice = 1'700ms; // One report and a little more.
        simulation.workers.setCapacity("w0", {milliCpu, 1'000'000, 0}, Notice, simulation.now);
        simulation.run(Notice);
    };
    setCapacity(Shrunken);
    // What is being stopped still counts, so none of these may start before the others have ended.
    simulation.submit(Key + 1, job({step(6, 4'000)}), policy());
    simulation.cancel(Key);
    EXPECT_TRUE(simulation.runUntil([&] { return simulation.workers.running() == 2; }, 3s));
    simulation.loseLeader();
    simulation.lead();
    EXPECT_EQ(simulation.state.workers().begin()->second.identity.capacity.milliCpu, Shrunken);
    EXPECT_TRUE(simulation.runUntil([&] { return simulation.workers.starts() == 8; }, 8s));
    setCapacity(16'000);
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key + 1, JobPhase::Completed); }, 8s));
}

// Guards against a leader that ends because an earlier one used capacity that has shrunk since.
TEST_F(WorkflowManager, NewLeaderAcceptsWhatExceedsAShrunkenWorker)
{
    ManagerSimulation simulation(longRuns());
    fillAndShrinkWorker(simulation, 4'000);
    simulation.loseLeader();
    simulation.lead();
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 10s));
}

// Guards against a worker that a new leader overfills: it went by the capacity that the log held, and the worker had
// shrunk while there was no leader.
TEST_F(WorkflowManager, NewLeaderPlacesNothingOnAWorkerBeforeItReportsItsCapacity)
{
    constexpr auto Notice = 2s;
    ManagerSimulation simulation(longRuns());
    addWorkers(simulation, 1);
    simulation.run(500ms);
    simulation.loseLeader();
    simulation.workers.setCapacity("w0", {8'000, 1'000'000, 0}, Notice, simulation.now);
    simulation.run(Notice);
    simulation.loseReports = true;
    simulation.lead();
    simulation.submit(Key, job({step(4, 4'000)}), policy());
    simulation.submit(Key + 1, job({gang(2, 6'000)}), policy());
    simulation.run(1s);
    EXPECT_EQ(simulation.workers.starts(), 0U);
    simulation.loseReports = false;
    EXPECT_TRUE(simulation.runUntil([&] { return simulation.workers.starts() == 2; }, 1s));
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 20s));
}

// Guards against a worker that is overfilled because it has shrunk between the report that it joined with and the
// commit.
TEST_F(WorkflowManager, WorkerThatShrinksWhileItJoinsGetsNoMoreThanItHolds)
{
    constexpr auto Notice = 1'550ms; // One report and a little more.
    ManagerSimulation simulation(longRuns());
    simulation.submit(Key, job({step(4, 4'000)}), policy());
    simulation.workers.add("w0", 16'000, "rack0", simulation.now);
    simulation.lead();
    simulation.run(5ms);
    simulation.delayProposals(Notice);
    simulation.workers.setCapacity("w0", {8'000, 1'000'000, 0}, Notice, simulation.now);
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 60s));
}

// Guards against managers that abort one after the other: a worker that holds less than is reserved on it was taken as
// free for tasks that ask for none of what it lacks.
TEST_F(WorkflowManager, ShrunkenWorkerGetsNoTaskThatAsksForNothing)
{
    ManagerSimulation simulation(longRuns());
    fillAndShrinkWorker(simulation, 8'000);
    workflow::StepSpec filling = step(2, 1'000);
    filling.bestEffort = true;
    workflow::StepSpec empty = step(2, 0);
    empty.perTask = {};
    workflow::StepSpec fillingGang = gang(2, 1'000);
    fillingGang.bestEffort = true;
    simulation.submit(Key + 1, job({filling}), policy());
    simulation.submit(Key + 2, job({empty}), policy());
    simulation.submit(Key + 3, job({fillingGang}), policy());
    simulation.submit(Key + 4, job({filling}), checkedPolicy(10ms, 1ms));
    simulation.run(500ms);
    simulation.loseLeader();
    simulation.lead();
    simulation.run(500ms);
    EXPECT_EQ(simulation.workers.running(), 4U);
    simulation.workers.setCapacity("w0", {16'000, 1'000'000, 0}, 0ms, simulation.now);
    for (workflow::JobKey key = Key; key <= Key + 4; ++key) {
        EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, key, JobPhase::Completed); }, 20s));
    }
}

// Capacities shrink and grow while tasks of all shapes wait, also such that ask for none of a resource, and leaders
// change. The fake workers assert that none of them is overfilled. All jobs must end once the capacity is back.
RC_GTEST_PROP(WorkflowManagerRandom, KeepsItsGuaranteesWhileCapacitiesChange, ())
{
    constexpr auto Notice = 2s; // One report and a little more.
    constexpr std::size_t Workers = 3;
    ManagerSimulation::Options options;
    options.seed = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint64_t>(1, 1'000'000));
    options.workers.runTime = 1s;
    options.workers.stopTime = 200ms;
    ManagerSimulation simulation(options);
    std::mt19937_64 random(options.seed);
    for (std::size_t number = 0; number < Workers; ++number) {
        simulation.workers.add(
            "w" + std::to_string(number), 16'000, "rack" + std::to_string(number % 2), simulation.now);
    }
    simulation.lead();
    const auto randomStep = [&random] {
        const auto width = static_cast<std::uint32_t>(1 + random() % 3);
        workflow::StepSpec spec = random() % 3 == 0 ? gang(width, 4'000) : step(2 * width, 3'000);
        spec.checkpointing = random() % 2 == 0;
        spec.bestEffort = random() % 3 == 0;
        spec.perTask.milliCpu = random() % 4 == 0 ? 0 : spec.perTask.milliCpu;
        spec.perTask.memoryMib = random() % 2 == 0 ? 0 : 200'000;
        return spec;
    };
    const auto setCapacity = [&](std::size_t worker, const placement::Resources &capacity) {
        simulation.workers.setCapacity("w" + std::to_string(worker), capacity, Notice, simulation.now);
    };
    constexpr workflow::JobKey Jobs = 15;
    for (workflow::JobKey key = 1; key <= Jobs; ++key) {
        workflow::QueuePolicy queue = random() % 2 == 0 ? policy() : checkedPolicy(5ms, 100us);
        queue.priority = static_cast<std::int32_t>(random() % 3);
        queue.target = 20s;
        simulation.submit(key, job({randomStep(), randomStep()}), queue);
        simulation.run(std::chrono::milliseconds(random() % 500));
        if (random() % 2 == 0) {
            setCapacity(random() % Workers,
                        {static_cast<std::int64_t>(random() % 3) * 8'000,
                         static_cast<std::int64_t>(random() % 3) * 500'000,
                         0});
            simulation.run(Notice);
        } else if (random() % 3 == 0) {
            simulation.loseLeader();
            simulation.lead();
        }
    }
    for (std::size_t worker = 0; worker < Workers; ++worker) {
        setCapacity(worker, {16'000, 1'000'000, 0});
    }
    RC_ASSERT(simulation.runUntil([&] { return haveAllJobsEnded(simulation); }, 60s));
}

// Guards against a run that is started again elsewhere because the row that lists it could not be read.
TEST_F(WorkflowManager, UnreadableRowsAreNoProofThatARunIsMissing)
{
    ManagerSimulation simulation(longRuns());
    addWorkers(simulation, 2);
    simulation.submit(Key, job({step(4, 2'000)}), policy());
    simulation.run(1s);
    simulation.loseRows = true;
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 8s));
    EXPECT_EQ(simulation.workers.starts(), 4U);
}

// Guards against tasks that run again after they were done: while a start order had no answer, ends beyond the first
// 500 of a worker's list counted as runs that are not there.
TEST_F(WorkflowManager, EndsBeyondAFullListAreNoProofThatARunIsMissing)
{
    constexpr std::uint32_t Tasks = 600;
    ManagerSimulation simulation(longRuns());
    addWorkers(simulation, 1, 64'000);
    simulation.submit(Key, job({step(Tasks, 100)}), policy());
    ASSERT_TRUE(simulation.runUntil([&] { return simulation.workers.running() == Tasks; }, 2s));
    simulation.run(5s);
    simulation.losesStart = [](const workflow::TaskRef &task) {
        return task.job == Key + 1;
    };
    simulation.submit(Key + 1, job({step(1, 1'000)}), policy());
    simulation.run(3s);
    simulation.losesStart = {};
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 5s));
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key + 1, JobPhase::Completed); }, 10s));
    EXPECT_EQ(simulation.workers.starts(), Tasks + 1);
}

// The same for a new leader, to which every run is uncertain.
TEST_F(WorkflowManager, NewLeaderFindsEndsBeyondAFullList)
{
    constexpr std::uint32_t Tasks = 1'200;
    ManagerSimulation simulation(longRuns());
    addWorkers(simulation, 1, 128'000);
    simulation.submit(Key, job({step(Tasks, 100)}), policy());
    ASSERT_TRUE(simulation.runUntil([&] { return simulation.workers.running() == Tasks; }, 2s));
    simulation.run(5'500ms);
    simulation.loseLeader();
    simulation.run(2s);
    simulation.lead();
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 5s));
    EXPECT_EQ(simulation.workers.starts(), Tasks);
}

// Guards against managers that end one after the other: a worker lists the end of a task that its job doesn't have.
TEST_F(WorkflowManager, EndOfATaskThatItsJobDoesNotHaveIsIgnored)
{
    ManagerSimulation simulation(longRuns());
    addWorkers(simulation, 1);
    simulation.submit(Key, job({step(2, 1'000)}), policy());
    simulation.run(500ms);
    fakes::CalledWorkers::Worker &worker = simulation.workers.worker("w0");
    for (const workflow::TaskRef &odd : {workflow::TaskRef{Key, 0, UINT32_MAX, 0},
                                         workflow::TaskRef{Key, 0, 1, 0},
                                         workflow::TaskRef{Key, UINT32_MAX, 0, 0},
                                         workflow::TaskRef{Key, 0, 0, UINT32_MAX},
                                         workflow::TaskRef{Key + 1, 0, 0, 0}}) {
        worker.ended.push_back({worker.nextEnd++, toString(odd), 1, workflow::RunOutcome::Failed, {}});
    }
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 8s));
    EXPECT_EQ(simulation.workers.starts(), 2U);
}

// Guards against a sound worker that gets no work because reports of another writer, for a service that doesn't exist,
// name its address.
TEST_F(WorkflowManager, ReportForAnUnknownServiceReplacesNoWorker)
{
    ManagerSimulation simulation(longRuns());
    addWorkers(simulation, 1);
    workflow::Configuration configuration;
    configuration.version = 1;
    configuration.services.push_back({"service", false, false});
    simulation.propose(workflow::ConfigurationEntry{configuration});
    simulation.submit(Key, job({step(1, 1'000)}), policy());
    simulation.run(500ms);
    ASSERT_EQ(simulation.workers.running(), 1U);
    workflow::WorkerReport odd = simulation.workers.report("w0", simulation.now);
    odd.worker.id = "odd";
    odd.worker.service = "nowhere";
    odd.worker.born += 1'000;
    for (int report = 0; report < 8; ++report) {
        simulation.manager->onReport(odd, simulation.now);
        simulation.run(1s);
    }
    EXPECT_TRUE(ended(simulation, Key, JobPhase::Completed));
    EXPECT_EQ(simulation.workers.starts(), 1U);
    simulation.submit(Key + 1, job({step(1, 1'000)}), policy());
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key + 1, JobPhase::Completed); }, 8s));
}

// Guards against a task that is started again although the worker on which it was done is back and lists its end: a
// worker that had been given up got work before its list was read, and ends of its earlier runs counted for nothing.
TEST_F(WorkflowManager, EndsOfAWorkerThatReturnsAfterItsLeaseSettleTheirTasks)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 1);
    simulation.submit(Key, job({step(1, 1'000)}), policy());
    simulation.run(200ms);
    ASSERT_EQ(simulation.workers.running(), 1U);
    simulation.workers.worker("w0").cut = true;
    simulation.run(16s);
    ASSERT_TRUE(simulation.state.workers().empty());
    simulation.workers.worker("w0").cut = false;
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 5s));
    EXPECT_EQ(simulation.workers.starts(), 1U);
}

// The same for a gang, with another leader and another worker that is full.
TEST_F(WorkflowManager, EndsOfAWorkerThatReturnsToANewLeaderSettleItsGang)
{
    ManagerSimulation::Options options;
    options.workers.runTimeOf = [](const workflow::TaskRef &task, const std::string &) {
        return task.job == Key ? 400ms : 20'000ms;
    };
    ManagerSimulation simulation(options);
    addWorkers(simulation, 1);
    simulation.submit(Key, job({gang(2, 8'000)}), policy());
    simulation.run(200ms);
    ASSERT_EQ(simulation.workers.running(), 2U);
    simulation.workers.worker("w0").cut = true;
    simulation.run(8s);
    simulation.workers.add("w1", 16'000, "rack1", simulation.now);
    simulation.loseLeader();
    simulation.lead();
    simulation.submit(Key + 1, job({step(4, 4'000)}), policy());
    simulation.run(13s);
    ASSERT_EQ(simulation.state.workers().size(), 1U);
    simulation.workers.worker("w0").cut = false;
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 5s));
    EXPECT_EQ(simulation.workers.startsAfterDone(), 0U);
}

// Guards against one start too many of a task that fails: failed runs of a worker that was given up counted for
// nothing.
TEST_F(WorkflowManager, FailuresOfAWorkerThatReturnsAfterItsLeaseCount)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 1);
    simulation.workers.worker("w0").failsAll = true;
    workflow::QueuePolicy queue = policy();
    queue.attempts = 1;
    simulation.submit(Key, job({step(1, 1'000)}), queue);
    simulation.run(200ms);
    simulation.workers.worker("w0").cut = true;
    simulation.run(16s);
    simulation.workers.worker("w0").cut = false;
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Failed); }, 8s));
    EXPECT_EQ(simulation.workers.starts(), 1U);
}

// Guards against work that is started again elsewhere although its worker is back: its lease ran out while the next
// call to it was not yet due.
TEST_F(WorkflowManager, WorkerThatReportsAgainIsAskedBeforeItIsGivenUp)
{
    for (std::chrono::milliseconds phase{0}; phase < 900ms; phase += 50ms) {
        ManagerSimulation simulation({});
        addWorkers(simulation, 2);
        simulation.submit(Key, job({step(1, 1'000)}), policy());
        simulation.run(200ms);
        const std::string id = workerOf(simulation, {Key, 0, 0, 0});
        simulation.workers.worker(id).cut = true;
        simulation.run(phase);
        simulation.submit(Key + 1, job({step(30, 1'000)}), policy()); // Calls that time out at another time.
        const auto &views = simulation.manager->workers();
        const auto isLeaseOver = [&] {
            return std::any_of(views.begin(), views.end(), [&](const auto &item) {
                return item.second.identity.id == id && simulation.now >= item.second.lease.expiresBy() + 199ms;
            });
        };
        ASSERT_TRUE(simulation.runUntil(isLeaseOver, 12s));
        simulation.workers.worker(id).cut = false;
        simulation.manager->onReport(simulation.workers.report(id, simulation.now), simulation.now);
        EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 5s));
        EXPECT_EQ(simulation.workers.startsAfterDone(), 0U) << phase.count() << " ms";
    }
}

// Guards against members of a gang that wait until they give up: its placement was rejected in part, since a worker was
// removed before it was committed.
TEST_F(WorkflowManager, GangThatIsPlacedInPartIsNotStarted)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 2);
    simulation.submit(Key, job({gang(2, 10'000)}), policy());
    simulation.run(21ms);
    simulation.proposeFirst(workflow::WorkerGoneEntry{1, {}});
    simulation.workers.worker("w0").cut = true;
    simulation.run(8s);
    EXPECT_EQ(simulation.workers.incompleteGangEnds(), 0U);
    simulation.workers.add("w2", 16'000, "rack0", simulation.now);
    simulation.loseLeader();
    simulation.lead();
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 5s));
}

// Guards against the same after a change of leader: the next one didn't know that a member had never started.
TEST_F(WorkflowManager, NewLeaderStopsAGangThatIsNotWhole)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 4);
    simulation.losesStart = [&](const workflow::TaskRef &task) {
        if (task.index == 0) {
            simulation.workers.worker(workerOf(simulation, task)).cut = true;
        }
        return task.index == 0;
    };
    simulation.submit(Key, job({gang(3, 10'000)}), policy());
    simulation.run(150ms);
    ASSERT_EQ(simulation.workers.running(), 2U);
    simulation.losesStart = {};
    simulation.loseLeader();
    simulation.run(100ms);
    simulation.lead();
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 20s));
    EXPECT_EQ(simulation.workers.incompleteGangEnds(), 0U);
}

// Guards against a gang that counts as whole although a member was lost again before the last one was there.
TEST_F(WorkflowManager, GangThatLosesAMemberBeforeTheLastOneStartsIsStoppedBeforeItsMembersGiveUp)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 3);
    std::string lost;
    simulation.losesStart = [&](const workflow::TaskRef &task) {
        return task.index == 1 && lost.empty();
    };
    simulation.submit(Key, job({gang(2, 10'000)}), policy());
    ASSERT_TRUE(simulation.runUntil([&] { return simulation.workers.running() == 1; }, 1s));
    simulation.run(100ms);
    const workflow::TaskRecord &first = *simulation.state.findTask({Key, 0, 0, 0});
    lost = simulation.state.workers().at(first.worker).identity.id;
    simulation.workers.crash(lost, simulation.now);
    simulation.workers.worker(lost).cut = true;
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 30s));
    EXPECT_EQ(simulation.workers.incompleteGangEnds(), 0U);
}

// Guards against members that wait for one that was lost just before the last one was there: only a poll that was
// pending since then told, too late for a second stop.
TEST_F(WorkflowManager, GangThatLosesAMemberShortlyBeforeTheLastOneStartsIsStoppedInTimeForASecondStop)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 2);
    simulation.submit(Key, job({gang(2, 10'000)}), policy());
    ASSERT_TRUE(simulation.runUntil([&] { return isPlaced(simulation, {Key, 0, 0, 0}); }, 1s));
    const std::string lost = workerOf(simulation, {Key, 0, 0, 0});
    simulation.workers.worker(workerOf(simulation, {Key, 0, 0, 1})).downUntil = simulation.now + 4ms;
    ASSERT_TRUE(simulation.runUntil([&] { return simulation.workers.running() == 1; }, 10ms));
    simulation.run(2ms);
    simulation.workers.crash(lost, simulation.now);
    simulation.workers.worker(lost).cut = true;
    ASSERT_TRUE(simulation.runUntil([&] { return simulation.workers.running() == 1; }, 200ms));
    EXPECT_TRUE(simulation.runUntil([&] { return simulation.workers.running() == 0; }, 2'000ms));
    EXPECT_EQ(simulation.workers.incompleteGangEnds(), 0U);
}

// Guards against a gang at work that is stopped since one of its workers leaves a call unanswered before any poll has
// told of its progress.
TEST_F(WorkflowManager, GangAtWorkGoesOnThoughACallIsNotAnswered)
{
    ManagerSimulation simulation(longRuns());
    addWorkers(simulation, 3);
    simulation.submit(Key, job({gang(3, 10'000)}), policy());
    simulation.run(700ms);
    ASSERT_EQ(simulation.workers.running(), 3U);
    simulation.losesStart = [](const workflow::TaskRef &task) {
        return task.job == Key + 1;
    };
    simulation.submit(Key + 1, job({step(1, 1'000)}), policy());
    simulation.run(1s);
    simulation.losesStart = {};
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 8s));
    EXPECT_EQ(simulation.workers.starts(), 4U);
}

// Guards against a gang at work that its leader stops when it starts again from the log.
TEST_F(WorkflowManager, LeaderThatStartsAgainLetsAGangAtWorkGoOn)
{
    for (std::chrono::milliseconds phase{200}; phase < 2'200ms; phase += 10ms) {
        ManagerSimulation simulation(longRuns());
        addWorkers(simulation, 3);
        simulation.submit(Key, job({gang(3, 10'000)}), policy());
        simulation.run(phase);
        ASSERT_EQ(simulation.workers.running(), 3U);
        simulation.leadAgainAtOnce();
        EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 8s));
        EXPECT_EQ(simulation.workers.starts(), 3U) << phase.count() << " ms";
    }
}

// Guards against members that wait until they give up: one that resumes from a checkpoint lists the progress of that
// checkpoint while it waits, and its gang counted as working.
TEST_F(WorkflowManager, GangThatResumesFromACheckpointIsStoppedBeforeItsMembersGiveUp)
{
    ManagerSimulation::Options options;
    options.workers.progressOfCheckpoint = 40;
    options.workers.runTimeOf = [](const workflow::TaskRef &task, const std::string &) {
        return task.job == Key ? 6'000ms : 300ms;
    };
    ManagerSimulation simulation(options);
    addWorkers(simulation, 4);
    simulation.submit(Key, job({gang(2, 10'000)}), policy());
    simulation.run(500ms);
    const std::string first = workerOf(simulation, {Key, 0, 0, 0});
    ASSERT_EQ(simulation.workers.running(), 2U);
    simulation.workers.fail(first, {Key, 0, 0, 0}, "300");
    std::string lost;
    simulation.losesStart = [&](const workflow::TaskRef &task) {
        if (task.job == Key && task.index == 1 && lost.empty()) {
            lost = workerOf(simulation, task);
            simulation.workers.worker(lost).cut = true;
        }
        return task.job == Key && task.index == 1 && workerOf(simulation, task) == lost;
    };
    ASSERT_TRUE(simulation.runUntil([&] { return !lost.empty(); }, 2s));
    // Their ends let workers answer polls.
    simulation.submit(Key + 1, job({step(16, 1'000)}), policy());
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 30s));
    EXPECT_FALSE(lost.empty());
    EXPECT_EQ(simulation.workers.incompleteGangEnds(), 0U);
}

// Guards against members that wait until they give up: that one of them had ended was read, but not acted on before the
// slow log had committed it.
TEST_F(WorkflowManager, GangOfWhichAMemberEndsIsStoppedWithoutWaitingForTheLog)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 3);
    simulation.submit(Key, job({gang(2, 10'000)}), policy());
    ASSERT_TRUE(simulation.runUntil([&] { return isPlaced(simulation, {Key, 0, 0, 0}); }, 1s));
    simulation.workers.worker(workerOf(simulation, {Key, 0, 0, 1})).downUntil = simulation.now + 4ms;
    ASSERT_TRUE(simulation.runUntil([&] { return simulation.workers.running() == 1; }, 10ms));
    simulation.run(2ms);
    simulation.workers.fail(workerOf(simulation, {Key, 0, 0, 0}), {Key, 0, 0, 0}, {});
    simulation.drops = [](const workflow::LogEntry &entry) {
        return std::holds_alternative<workflow::EndsEntry>(entry);
    };
    simulation.run(5s);
    EXPECT_EQ(simulation.workers.incompleteGangEnds(), 0U);
}

// Guards against members that wait until they give up for one that was there and is no longer, whatever took it away
// and when, while the order of the last one is held up.
TEST_F(WorkflowManager, GangThatLosesAMemberInAnyWayIsStoppedBeforeItsMembersGiveUp)
{
    using Loss = std::function<void(ManagerSimulation &, const std::string &)>;
    const workflow::TaskRef first{Key, 0, 0, 0};
    const auto report = [](ManagerSimulation &simulation, const std::string &id) {
        simulation.manager->onReport(simulation.workers.report(id, simulation.now), simulation.now);
    };
    const std::vector<std::pair<std::string, Loss>> losses{
        {"failure",
         [&](auto &simulation, const auto &id) {
             simulation.workers.fail(id, first, {});
         }},
        {"crash",
         [&](auto &simulation, const auto &id) {
             simulation.workers.crash(id, simulation.now);
         }},
        {"restart",
         [&](auto &simulation, const auto &id) {
             simulation.workers.restart(id, simulation.now);
         }},
        {"move",
         [&](auto &simulation, const auto &id) {
             simulation.workers.restartElsewhere(id, simulation.now);
         }},
        {"reported move",
         [&](auto &simulation, const auto &id) {
             simulation.workers.restartElsewhere(id, simulation.now);
             report(simulation, id);
         }},
        {"cut",
         [&](auto &simulation, const auto &id) {
             simulation.workers.worker(id).cut = true;
         }},
        {"lost answers",
         [&](auto &simulation, const auto &id) {
             simulation.workers.worker(id).answersLost = true;
         }},
        {"drain",
         [&](auto &simulation, const auto &id) {
             simulation.workers.worker(id).isDraining = true;
             report(simulation, id);
         }},
        {"drain and end",
         [&](auto &simulation, const auto &id) {
             simulation.workers.worker(id).isDraining = true;
             report(simulation, id);
             simulation.workers.stop(id, {first, 1, 1}, simulation.now);
         }},
        {"smaller worker",
         [&](auto &simulation, const auto &id) {
             simulation.workers.setCapacity(id, {1'000, 1'000'000, 0}, 0ms, simulation.now);
             report(simulation, id);
         }},
        {"other stop",
         [&](auto &simulation, const auto &id) {
             simulation.workers.stop(id, {first, 1, 1}, simulation.now);
         }},
        {"restart and new leader",
         [&](auto &simulation, const auto &id) {
             simulation.workers.restart(id, simulation.now);
             simulation.loseLeader();
             simulation.run(100ms);
             simulation.lead();
         }},
        {"stop and start from the log",
         [&](auto &simulation, const auto &id) {
             simulation.workers.stop(id, {first, 1, 1}, simulation.now);
             simulation.leadAgain();
         }},
        {"worker given up",
         [&](auto &simulation, const auto &id) {
             const workflow::WorkerNumber number = simulation.state.findTask(first)->worker;
             simulation.workers.worker(id).cut = true;
             simulation.proposeFirst(workflow::WorkerGoneEntry{number, {}});
         }},
        {"refused releases",
         [&](auto &simulation, const auto &id) {
             simulation.workers.fail(id, first, {});
             simulation.refuses = [](const workflow::LogEntry &) {
                 return true;
             };
         }},
    };
    for (const auto &[name, lose] : losses) {
        for (const auto phase : {0ms, 1ms, 3ms, 10ms, 60ms, 300ms, 600ms}) {
            for (const auto hold : {4ms, 60ms, 690ms}) {
                ManagerSimulation simulation({});
                addWorkers(simulation, 3);
                simulation.submit(Key, job({gang(3, 10'000)}), policy());
                ASSERT_TRUE(simulation.runUntil([&] { return isPlaced(simulation, first); }, 1s));
                const std::string id = workerOf(simulation, first);
                fakes::CalledWorkers::Worker &last = simulation.workers.worker(workerOf(simulation, {Key, 0, 0, 2}));
                bool isHeld = hold > 4ms;
                simulation.losesStart = [&](const workflow::TaskRef &task) {
                    return task.index == 2 && isHeld;
                };
                last.downUntil = simulation.now + (isHeld ? 3ms : 4ms);
                ASSERT_TRUE(simulation.runUntil([&] { return simulation.workers.running() == 2; }, 10ms));
                simulation.run(phase);
                if (simulation.workers.worker(id).runs.contains(first)) {
                    lose(simulation, id); // It has not been done or stopped by then.
                }
                simulation.run(hold);
                isHeld = false;
                simulation.run(6s);
                // No stop reaches a member that is cut off itself.
                const fakes::CalledWorkers::Worker &worker = simulation.workers.worker(id);
                const auto unreachable =
                    std::count_if(worker.ended.begin(), worker.ended.end(), [&](const workflow::EndedTask &ended) {
                        return worker.cut && ended.outcome == workflow::RunOutcome::GangIncomplete;
                    });
                EXPECT_EQ(simulation.workers.incompleteGangEnds(), static_cast<std::uint64_t>(unreachable))
                    << name << " after " << phase.count() << " ms, held up " << hold.count() << " ms";
            }
        }
    }
}

// Guards against a gang at work that a new leader stops, since one of its workers doesn't answer.
TEST_F(WorkflowManager, NewLeaderLetsAGangAtWorkGoOn)
{
    ManagerSimulation simulation(longRuns());
    addWorkers(simulation, 3);
    simulation.submit(Key, job({gang(3, 10'000)}), policy());
    simulation.run(500ms);
    simulation.workers.worker("w0").cut = true;
    simulation.loseLeader();
    simulation.run(100ms);
    simulation.lead();
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 8s));
    EXPECT_EQ(simulation.workers.starts(), 3U);
}

// Guards against a leader that starts again from the log without end: many ends with checkpoints made an entry that the
// log refused each time.
TEST_F(WorkflowManager, EndsWithLargeCheckpointsAreRecordedInSeveralEntries)
{
    constexpr std::uint32_t Tasks = 40;
    ManagerSimulation simulation(longRuns());
    addWorkers(simulation, 1);
    simulation.submit(Key, job({step(Tasks, 100)}), policy());
    simulation.run(1s);
    ASSERT_EQ(simulation.workers.running(), Tasks);
    simulation.workers.worker("w0").cut = true;
    simulation.run(6s);
    for (workflow::EndedTask &ended : simulation.workers.worker("w0").ended) {
        ended.checkpoint.assign(50'000, 'c');
    }
    simulation.workers.worker("w0").cut = false;
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 8s));
    EXPECT_LT(simulation.largestEntry, 768U * 1024U);
    EXPECT_EQ(simulation.workers.starts(), Tasks);
}

// Guards against a task that is started again after its end was acknowledged: the log had refused the entry with that
// end, and the next entry of the same worker covered its number.
TEST_F(WorkflowManager, EndsOfARefusedEntryAreNotAcknowledged)
{
    ManagerSimulation::Options options;
    options.workers.runTimeOf = [](const workflow::TaskRef &task, const std::string &) {
        return task.index == 0 ? 400ms : 650ms;
    };
    ManagerSimulation simulation(options);
    addWorkers(simulation, 1);
    // The worker is polled often while it isn't known whether a run is there.
    simulation.loseRows = true;
    simulation.losesStart = [](const workflow::TaskRef &task) {
        return task.job == Key + 1;
    };
    simulation.submit(Key + 1, job({step(1, 1'000)}), policy());
    simulation.run(1'600ms);
    int dropped = 0;
    simulation.drops = [&](const workflow::LogEntry &entry) {
        return std::holds_alternative<workflow::EndsEntry>(entry) && dropped++ == 0;
    };
    simulation.submit(Key, job({step(2, 1'000)}), policy());
    simulation.run(2s);
    ASSERT_GT(dropped, 1);
    simulation.loseRows = false;
    simulation.leadAgain();
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 20s));
    EXPECT_EQ(simulation.workers.starts(), 2U);
}

// Guards against a sound worker that is taken for another incarnation, because an answer of it was handled late.
TEST_F(WorkflowManager, LateAnswerToAStartReplacesNoWorker)
{
    ManagerSimulation simulation(longRuns());
    addWorkers(simulation, 1);
    simulation.submit(Key, job({step(1, 1'000)}), policy());
    simulation.run(1s);
    const auto clock = simulation.workers.report("w0", simulation.now).clock;
    simulation.losesStart = [](const workflow::TaskRef &) {
        return true;
    };
    simulation.submit(Key + 1, job({step(1, 1'000)}), policy());
    simulation.run(100ms);
    const workflow::TaskRef task{Key + 1, 0, 0, 0};
    ASSERT_NE(simulation.state.findTask(task), nullptr);
    simulation.manager->onStartAnswer(1, task, 1, {workflow::OrderOutcome::Done, clock - 2s, {}}, simulation.now);
    simulation.losesStart = {};
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 8s));
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key + 1, JobPhase::Completed); }, 10s));
    EXPECT_EQ(simulation.workers.starts(), 2U);
    EXPECT_EQ(simulation.state.workers().begin()->first, 1U);
}

// Guards against a job that stays running with nothing running: its worker has started again at another address, and
// the stop of the earlier run was sent to the old one for ever.
TEST_F(WorkflowManager, TasksOfAWorkerThatRestartsAtAnotherAddressAreStartedAgain)
{
    ManagerSimulation simulation(longRuns());
    simulation.workers.restartElsewhere(runTaskOnOneOfTwo(simulation), simulation.now);
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 10s));
}

// The same for one whose next incarnation reports once and is lost.
TEST_F(WorkflowManager, TasksOfAWorkerWhoseNextIncarnationIsLostAreStartedAgain)
{
    ManagerSimulation simulation(longRuns());
    const std::string id = runTaskOnOneOfTwo(simulation);
    simulation.workers.restart(id, simulation.now);
    simulation.manager->onReport(simulation.workers.report(id, simulation.now), simulation.now);
    simulation.workers.worker(id).cut = true;
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 25s));
}

// Guards against two runs of a task at the same time: a worker that leaves goes on for some seconds if the
// acknowledgement gets lost, and its tasks were started elsewhere at once.
TEST_F(WorkflowManager, TasksOfAWorkerThatLeavesAreStoppedBeforeTheyStartElsewhere)
{
    ManagerSimulation simulation(longRuns());
    const std::string id = runTaskOnOneOfTwo(simulation);
    simulation.workers.worker(id).isDraining = true;
    simulation.run(2s);
    simulation.manager->onReport(simulation.workers.finalReport(id), simulation.now);
    const auto movedTo = [&] {
        return isPlaced(simulation, {Key, 0, 0, 0}) ? workerOf(simulation, {Key, 0, 0, 0}) : id;
    };
    EXPECT_TRUE(simulation.runUntil([&] { return movedTo() != id; }, 1s)) << "it answers, so nothing is waited for";
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 10s));
}

// The same for one that can't be reached: only its lease tells when its tasks have ended.
TEST_F(WorkflowManager, TasksOfAWorkerThatLeavesSilentlyWaitForItsLease)
{
    ManagerSimulation simulation(longRuns());
    const std::string id = runTaskOnOneOfTwo(simulation);
    simulation.workers.worker(id).cut = true;
    simulation.manager->onReport(simulation.workers.finalReport(id), simulation.now);
    simulation.run(5s);
    EXPECT_EQ(workerOf(simulation, {Key, 0, 0, 0}), id);
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 20s));
}

// Guards against a gang that is started again in part after it was done: an order that was sent again, because the
// first one got no answer, reached the next incarnation of a worker.
TEST_F(WorkflowManager, UnansweredStartIsNotSentAgainToANextIncarnation)
{
    ManagerSimulation::Options options;
    options.workers.runTime = 300ms;
    ManagerSimulation simulation(options);
    addWorkers(simulation, 2, 4'000);
    for (const std::string &id : simulation.ids()) {
        simulation.workers.worker(id).answersLost = true;
    }
    simulation.submit(Key, job({gang(2, 4'000)}), policy());
    ASSERT_TRUE(simulation.runUntil([&] { return simulation.workers.isDone({Key, 0, 0, 0}); }, 600ms));
    simulation.workers.restart("w1", simulation.now);
    simulation.run(2s);
    simulation.workers.worker("w0").answersLost = false;
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 10s));
    EXPECT_EQ(simulation.workers.startsAfterDone(), 0U);
}

// Draws what makes a worker's knowledge and a leader's differ, on workers that are nearly full, so that tasks wait when
// a worker returns: workers silent for about as long as their lease, one way or both, leaders lost or started again
// from the log meanwhile, with proposals on their way, orders carried out late, ends not acknowledged yet.
RC_GTEST_PROP(WorkflowManagerRandom, KeepsItsGuaranteesWhenWorkersReturn, ())
{
    ManagerSimulation::Options options;
    options.seed = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint64_t>(1, 1'000'000));
    options.lostAnswerShare = 0.03;
    options.lateEffectShare = 0.5;
    options.workers.stopTime = 200ms;
    std::mt19937_64 random(options.seed);
    options.commitDelay = std::chrono::milliseconds(20 + random() % 200);
    options.workers.runTimeOf = [](const workflow::TaskRef &task, const std::string &) {
        return std::chrono::milliseconds(300 + 400 * (task.job % 7));
    };
    ManagerSimulation simulation(options);
    for (int number = 0; number < 3; ++number) {
        simulation.workers.add(
            "w" + std::to_string(number), 12'000, "rack" + std::to_string(number % 2), simulation.now);
    }
    simulation.lead();
    workflow::JobKey key = 0;
    const auto submit = [&] {
        workflow::StepSpec first = random() % 3 == 0 ? gang(2 + random() % 3, 4'000) : step(1 + random() % 5, 3'000);
        first.checkpointing = random() % 2 == 0;
        simulation.submit(++key, job({first}), policy());
    };
    for (int round = 0; round < 8; ++round) {
        for (int count = 0; count < 3; ++count) {
            submit();
            simulation.run(std::chrono::milliseconds(random() % 300));
        }
        fakes::CalledWorkers::Worker &worker = simulation.workers.worker("w" + std::to_string(random() % 3));
        (random() % 3 == 0 ? worker.answersLost : worker.cut) = true;
        const std::chrono::milliseconds silence(8'000 + random() % 6'000);
        const std::chrono::milliseconds untilLoss(random() % 14'000);
        simulation.run(std::min(silence, untilLoss));
        switch (random() % 4) {
        case 0:
        case 1:
            simulation.loseLeader();
            simulation.run(std::chrono::milliseconds(random() % 1'500));
            simulation.lead();
            break;
        case 2:
            simulation.leadAgain();
            break;
        default:
            break;
        }
        submit();
        simulation.run(silence - std::min(silence, untilLoss));
        worker.cut = false;
        worker.answersLost = false;
        simulation.run(std::chrono::milliseconds(random() % 2'000));
    }
    RC_ASSERT(simulation.runUntil([&] { return haveAllJobsEnded(simulation); }, 90s));
}

// A worker whose removal the log refused at first may return as any other.
TEST_F(WorkflowManager, EndsOfAWorkerWhoseRemovalWasRefusedAtFirstSettleTheirTasks)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 1);
    simulation.submit(Key, job({step(1, 1'000)}), policy());
    simulation.run(200ms);
    ASSERT_EQ(simulation.workers.running(), 1U);
    int refusals = 0;
    simulation.refuses = [&](const workflow::LogEntry &entry) {
        return std::holds_alternative<workflow::WorkerGoneEntry>(entry) && refusals++ == 0;
    };
    simulation.workers.worker("w0").cut = true;
    simulation.run(16s);
    ASSERT_EQ(refusals, 2);
    ASSERT_TRUE(simulation.state.workers().empty());
    simulation.workers.worker("w0").cut = false;
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 5s));
    EXPECT_EQ(simulation.workers.starts(), 1U);
}

// The next incarnation of a worker, which has carried out an order to the one before, may return too.
TEST_F(WorkflowManager, EndsOfANextIncarnationThatReturnsAfterItsLeaseSettleTheirTasks)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 1);
    simulation.losesStart = [](const workflow::TaskRef &) {
        return true;
    };
    simulation.submit(Key, job({step(1, 1'000)}), policy());
    simulation.run(100ms);
    const workflow::TaskRef task{Key, 0, 0, 0};
    ASSERT_EQ(simulation.state.findTask(task)->run, 1U);
    simulation.losesStart = {};
    simulation.workers.restart("w0", simulation.now);
    simulation.manager->onReport(simulation.workers.report("w0", simulation.now), simulation.now);
    simulation.workers.worker("w0").cut = true;
    simulation.workers.start("w0", {task, 1, "payload", 9s, 1, "", ""}, simulation.now); // Carried out late.
    ASSERT_EQ(simulation.workers.running(), 1U);
    simulation.run(16s);
    ASSERT_TRUE(simulation.state.workers().empty());
    simulation.workers.worker("w0").cut = false;
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 5s));
    EXPECT_EQ(simulation.workers.starts(), 1U);
}

// A leader that starts again from the log proposes a start once more, to the same worker: the second entry changes
// nothing, but its run was begun anew, as if no order had gone out.
TEST_F(WorkflowManager, StartThatIsProposedTwiceIsStoppedWithItsJob)
{
    int tried = 0;
    for (int offset = 0; offset < 50; offset += 2) {
        ManagerSimulation::Options options = longRuns();
        options.commitDelay = 60ms;
        ManagerSimulation simulation(options);
        addWorkers(simulation, 1);
        simulation.run(std::chrono::milliseconds(offset));
        simulation.submit(Key, job({step(1, 1'000)}), policy());
        ASSERT_TRUE(simulation.runUntil([&] { return simulation.proposedStarts(Key) == 1; }, 1s));
        simulation.leadAgainAtOnce();
        if (!simulation.runUntil([&] { return simulation.proposedStarts(Key) == 2; }, 58ms)) {
            continue;
        }
        ASSERT_TRUE(simulation.runUntil([&] { return simulation.workers.running() == 1; }, 100ms));
        if (simulation.proposedStarts(Key) != 1) {
            continue;
        }
        ++tried;
        simulation.proposeFirst(workflow::CancelEntry{
            Key, std::chrono::duration_cast<workflow::WallTime>(simulation.now.time_since_epoch())});
        simulation.workers.worker("w0").cut = true;
        simulation.runUntil([&] { return simulation.proposedStarts(Key) == 0; }, 100ms);
        simulation.workers.worker("w0").cut = false;
        EXPECT_TRUE(simulation.runUntil([&] { return simulation.workers.running() == 0; }, 3s)) << offset;
        EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Cancelled); }, 3s)) << offset;
    }
    EXPECT_GT(tried, 0);
}

// The same: the refusal of the second order doesn't prove that the first one had no effect.
TEST_F(WorkflowManager, StartThatIsProposedTwiceIsNotReleasedWhileItsFirstOrderIsOpen)
{
    int tried = 0;
    for (int offset = 0; offset < 50; offset += 2) {
        ManagerSimulation::Options options = longRuns();
        options.commitDelay = 60ms;
        ManagerSimulation simulation(options);
        addWorkers(simulation, 1);
        simulation.run(std::chrono::milliseconds(offset));
        simulation.submit(Key, job({step(1, 1'000)}), policy());
        ASSERT_TRUE(simulation.runUntil([&] { return simulation.proposedStarts(Key) == 1; }, 1s));
        simulation.leadAgainAtOnce();
        if (!simulation.runUntil([&] { return simulation.proposedStarts(Key) == 2; }, 58ms)) {
            continue;
        }
        ++tried;
        int orders = 0;
        simulation.losesStart = [&](const workflow::TaskRef &) {
            ++orders;
            return true;
        };
        const workflow::TaskRef task{Key, 0, 0, 0};
        simulation.runUntil([&] { return simulation.proposedStarts(Key) == 0; }, 100ms);
        ASSERT_EQ(simulation.state.findTask(task)->run, 1U);
        EXPECT_EQ(orders, 1) << offset;
        simulation.manager->onStartAnswer(
            1, task, 1, {workflow::OrderOutcome::Unhealthy, std::nullopt, {}}, simulation.now);
        simulation.run(100ms);
        EXPECT_TRUE(simulation.state.findTask(task)->phase == workflow::TaskPhase::Placed || orders == 1) << offset;
    }
    EXPECT_GT(tried, 0);
}

// Guards against a task that is placed again although the leader has read that it is done: that end was proposed, but
// not committed yet.
TEST_F(WorkflowManager, TaskWhoseEndIsProposedIsNotPlaced)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 1);
    simulation.workers.add("small", 500, "rack0", simulation.now);
    simulation.submit(Key, job({step(1, 1'000)}), policy());
    simulation.run(200ms);
    ASSERT_EQ(simulation.workers.running(), 1U);
    simulation.workers.worker("w0").cut = true;
    simulation.run(16s);
    ASSERT_EQ(simulation.state.findTask({Key, 0, 0, 0})->phase, workflow::TaskPhase::Waiting);
    bool isProposed = false;
    simulation.refuses = [&](const workflow::LogEntry &entry) {
        const auto *const ends = std::get_if<workflow::EndsEntry>(&entry);
        isProposed = isProposed || (ends != nullptr && !ends->ends.empty());
        return false;
    };
    simulation.workers.worker("w0").cut = false;
    ASSERT_TRUE(simulation.runUntil([&] { return isProposed; }, 5s));
    simulation.delayProposals(300ms);
    simulation.workers.setCapacity("small", {16'000, 1'000'000, 0}, 0ms, simulation.now);
    simulation.manager->onReport(simulation.workers.report("small", simulation.now), simulation.now);
    simulation.run(200ms);
    EXPECT_EQ(simulation.proposedStarts(Key), 0U);
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 5s));
    EXPECT_EQ(simulation.workers.starts(), 1U);
}

// Guards against two runs of a task at the same time: an order to the incarnation before was carried out late, and
// renewed the lease of a worker that the leader had given up.
TEST_F(WorkflowManager, LateOrderToAnEarlierIncarnationGrantsTheNextOneNoLease)
{
    ManagerSimulation::Options options;
    options.workers.runTime = 12s;
    ManagerSimulation simulation(options);
    simulation.workers.add("other", 500, "rack0", simulation.now);
    addWorkers(simulation, 1);
    simulation.run(30s);
    workflow::PollOrder late;
    late.leaseUntil = 1h; // On the clock of the earlier incarnation.
    late.fence = simulation.workers.worker("w0").fence;
    simulation.workers.restart("w0", simulation.now);
    simulation.run(2s);
    simulation.submit(Key, job({step(1, 1'000)}), policy());
    ASSERT_TRUE(simulation.runUntil([&] { return simulation.workers.running() == 1; }, 3s));
    simulation.workers.worker("w0").cut = true;
    simulation.workers.setCapacity("other", {16'000, 1'000'000, 0}, 0ms, simulation.now);
    simulation.run(7s);
    EXPECT_EQ(simulation.workers.poll("w0", late, simulation.now).outcome, workflow::OrderOutcome::StaleFence);
    simulation.run(6s);
    simulation.workers.worker("w0").cut = false;
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 20s));
    EXPECT_EQ(simulation.workers.starts(), 2U) << "its lease is over";
}

// The same if the leader has changed since: the next one knows nothing of the orders that the first one sent.
TEST_F(WorkflowManager, LateOrderOfAnEarlierLeaderGrantsTheNextIncarnationNoLease)
{
    ManagerSimulation::Options options;
    options.workers.runTime = 14s;
    ManagerSimulation simulation(options);
    addWorkers(simulation, 1);
    simulation.run(30s);
    workflow::PollOrder late;
    late.leaseUntil = 1h; // On the clock of the earlier incarnation.
    late.fence = simulation.workers.worker("w0").fence;
    simulation.workers.restart("w0", simulation.now);
    simulation.run(2s);
    simulation.submit(Key, job({step(1, 1'000)}), policy());
    ASSERT_TRUE(simulation.runUntil([&] { return simulation.workers.running() == 1; }, 3s));
    simulation.loseLeader();
    simulation.workers.add("w1", 16'000, "rack1", simulation.now);
    simulation.lead();
    simulation.workers.worker("w0").cut = true;
    simulation.run(8s);
    simulation.workers.poll("w0", late, simulation.now);
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 40s));
}

// Guards against two runs of a task at the same time: a poll for a retired incarnation, which carries the fence of the
// next one, was carried out late and renewed the lease of a worker that the leader had given up.
TEST_F(WorkflowManager, LatePollForARetiredIncarnationGrantsTheNextOneNoLease)
{
    ManagerSimulation::Options options;
    options.workers.runTime = 20s;
    ManagerSimulation simulation(options);
    simulation.workers.add("other", 500, "rack0", simulation.now);
    addWorkers(simulation, 1);
    simulation.run(30s);
    simulation.submit(Key, job({step(1, 1'000)}), policy());
    ASSERT_TRUE(simulation.runUntil([&] { return simulation.workers.running() == 1; }, 3s));
    const std::uint64_t fence = simulation.workers.worker("w0").fence;
    std::optional<workflow::PollOrder> late;
    simulation.losesPoll = [&](const workflow::PollOrder &order) {
        if (late || order.fence <= fence || !order.leaseUntil) {
            return false;
        }
        late = order;
        return true;
    };
    simulation.workers.restart("w0", simulation.now);
    // No such poll is needed: none that is meant for the earlier incarnation should renew a lease.
    simulation.runUntil([&] { return late.has_value(); }, 3s);
    simulation.losesPoll = {};
    ASSERT_TRUE(simulation.runUntil([&] { return simulation.workers.running() == 1; }, 6s));
    simulation.workers.worker("w0").cut = true;
    simulation.workers.setCapacity("other", {16'000, 1'000'000, 0}, 0ms, simulation.now);
    simulation.run(7s);
    if (late) {
        simulation.workers.poll("w0", *late, simulation.now);
    }
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 60s));
}

// Guards against an overfilled worker: it shrank before its first order, which had got no answer, was sent again.
TEST_F(WorkflowManager, UnansweredStartIsNotSentAgainToAWorkerThatHasShrunk)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 1);
    std::uint64_t orders = 0;
    simulation.losesStart = [&](const workflow::TaskRef &task) {
        static_cast<void>(task);
        return ++orders == 1;
    };
    simulation.submit(Key, job({step(1, 4'000)}), policy());
    ASSERT_TRUE(simulation.runUntil([&] { return orders == 1; }, 1s));
    simulation.workers.setCapacity("w0", {1'000, 1'000'000, 0}, 0ms, simulation.now);
    simulation.manager->onReport(simulation.workers.report("w0", simulation.now), simulation.now);
    simulation.run(3s);
    EXPECT_EQ(orders, 1U);
    EXPECT_EQ(simulation.workers.starts(), 0U);
}

// Guards against an overfilled worker: it had shrunk, the log refused the entry that says so, and the leader that
// started again from the log took it for as large as before.
TEST_F(WorkflowManager, LeaderThatStartsAgainRemembersThatAWorkerHasShrunk)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 1);
    simulation.run(1'500ms);
    simulation.drops = [](const workflow::LogEntry &entry) {
        return std::holds_alternative<workflow::WorkerJoinedEntry>(entry);
    };
    simulation.workers.setCapacity("w0", {1'000, 1'000'000, 0}, 1'600ms, simulation.now);
    simulation.run(1'650ms);
    simulation.leadAgainAtOnce();
    simulation.submit(Key, job({step(1, 4'000)}), policy());
    simulation.run(5s);
    EXPECT_EQ(simulation.workers.starts(), 0U);
}

// Guards against a start on a worker whose drain was acknowledged: the order before had got no answer.
TEST_F(WorkflowManager, UnansweredStartIsNotSentAgainToAWorkerThatDrains)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 2);
    std::uint64_t orders = 0;
    simulation.losesStart = [&](const workflow::TaskRef &task) {
        static_cast<void>(task);
        return ++orders == 1;
    };
    simulation.submit(Key, job({step(1, 1'000)}), policy());
    ASSERT_TRUE(simulation.runUntil([&] { return orders == 1; }, 1s));
    const std::string drained =
        simulation.state.workers().at(simulation.state.findTask({Key, 0, 0, 0})->worker).identity.id;
    fakes::CalledWorkers::Worker &worker = simulation.workers.worker(drained);
    worker.isDraining = true;
    simulation.propose(workflow::WorkerDrainingEntry{drained, worker.identity.born});
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 10s));
    EXPECT_TRUE(worker.ended.empty());
    EXPECT_EQ(worker.nextEnd, 1U);
}

// A worker that drains may be given up meanwhile; a report from before, which arrives late, doesn't make it ready.
TEST_F(WorkflowManager, DrainingWorkerThatReturnsGetsNoTask)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 1);
    const workflow::WorkerReport early = simulation.workers.report("w0", simulation.now);
    fakes::CalledWorkers::Worker &worker = simulation.workers.worker("w0");
    worker.isDraining = true;
    simulation.manager->onReport(simulation.workers.report("w0", simulation.now), simulation.now);
    simulation.proposeFirst(workflow::WorkerDrainingEntry{"w0", worker.identity.born});
    simulation.run(100ms);
    ASSERT_TRUE(simulation.state.isDraining(worker.identity));
    worker.cut = true;
    simulation.run(14s);
    ASSERT_TRUE(simulation.state.workers().empty());
    worker.cut = false;
    simulation.submit(Key, job({step(1, 1'000)}), policy());
    simulation.run(1600ms); // Its own reports say that it drains.
    simulation.manager->onReport(early, simulation.now);
    simulation.run(1s);
    EXPECT_EQ(simulation.workers.starts(), 0U);
}

// Guards against a state that grows with each replaced worker: none that drained was ever forgotten.
TEST_F(WorkflowManager, DrainedWorkersThatAreSilentAreForgotten)
{
    ManagerSimulation simulation({});
    const std::size_t sizeBefore = simulation.state.snapshot().size();
    addWorkers(simulation, 3);
    for (const std::string id : {"w0", "w1"}) {
        fakes::CalledWorkers::Worker &worker = simulation.workers.worker(id);
        worker.isDraining = true;
        simulation.propose(workflow::WorkerDrainingEntry{id, worker.identity.born});
    }
    simulation.run(100ms);
    const workflow::WorkerIdentity silent = simulation.workers.worker("w0").identity;
    const workflow::WorkerIdentity reporting = simulation.workers.worker("w1").identity;
    simulation.workers.worker("w0").cut = true;
    simulation.workers.worker("w2").cut = true;
    simulation.run(5min);
    EXPECT_TRUE(simulation.state.isDraining(silent));
    simulation.run(6min);
    EXPECT_FALSE(simulation.state.isDraining(silent));
    EXPECT_TRUE(simulation.state.isDraining(reporting));

    simulation.workers.worker("w1").cut = true;
    simulation.run(11min);
    EXPECT_TRUE(simulation.state.workers().empty());
    EXPECT_LE(simulation.state.snapshot().size(), sizeBefore);
}

// Late failures of several members of one run are one failure of the gang.
TEST_F(WorkflowManager, LateFailuresOfOneRunCountOnceForItsGang)
{
    workflow::State state;
    std::vector<workflow::StateEvent> events;
    const auto join = [&](const std::string &id) {
        workflow::WorkerIdentity worker;
        worker.id = id;
        worker.born = 1;
        state.apply(workflow::WorkerJoinedEntry{worker}, events);
    };
    const auto fail =
        [&](workflow::WorkerNumber worker, std::uint32_t index, std::uint32_t run, workflow::RunOutcome how) {
            workflow::EndsEntry entry;
            entry.worker = worker;
            entry.lastEndNumber = 1;
            entry.ends.push_back({{Key, 0, 0, index}, run, how, "", {}});
            state.apply(entry, events);
        };
    state.apply(workflow::AcceptEntry{Key, job({gang(2, 1'000)}), policy(), {}}, events);
    for (const char *const id : {"w1", "w2", "w3", "w4"}) {
        join(id);
    }
    state.apply(workflow::StartsEntry{{{{Key, 0, 0, 0}, 1, 1}, {{Key, 0, 0, 1}, 1, 2}}}, events);
    state.apply(workflow::WorkerGoneEntry{1, {}}, events);
    state.apply(workflow::WorkerGoneEntry{2, {}}, events);
    state.apply(workflow::StartsEntry{{{{Key, 0, 0, 0}, 2, 3}, {{Key, 0, 0, 1}, 2, 4}}}, events);
    fail(3, 0, 2, workflow::RunOutcome::Failed);
    fail(4, 1, 2, workflow::RunOutcome::GangBroken);
    join("w1");
    join("w2");
    fail(5, 0, 1, workflow::RunOutcome::Failed);
    fail(6, 1, 1, workflow::RunOutcome::Failed);
    EXPECT_EQ(state.findJob(Key)->steps[0].failures, 2U);
    EXPECT_NE(state.findJob(Key)->phase, JobPhase::Failed);
}

// The same with clocks as slow as they may be, and with polls that are carried out late or whose answers overtake each
// other.
RC_GTEST_PROP(WorkflowManagerRandom, KeepsItsGuaranteesWhenWorkersReturnWithSlowClocks, ())
{
    ManagerSimulation::Options options;
    options.seed = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint64_t>(1, 1'000'000));
    options.lostAnswerShare = 0.03;
    options.lateEffectShare = 0.5;
    options.workers.stopTime = 200ms;
    options.workers.clockRate = 0.98;
    options.lostPollShare = 0.02;
    options.maxJitter = 40ms;
    options.commitDelay = std::chrono::milliseconds(10 + options.seed % 80);
    std::mt19937_64 random(options.seed);
    options.workers.runTimeOf = [](const workflow::TaskRef &task, const std::string &) {
        return std::chrono::milliseconds(300 + 400 * (task.job % 7));
    };
    ManagerSimulation simulation(options);
    for (int number = 0; number < 3; ++number) {
        simulation.workers.add(
            "w" + std::to_string(number), 12'000, "rack" + std::to_string(number % 2), simulation.now);
    }
    simulation.refuses = [&](const workflow::LogEntry &) {
        return random() % 20 == 0;
    };
    simulation.lead();
    workflow::JobKey key = 0;
    const auto submit = [&] {
        if (random() % 4 == 0) {
            simulation.leadAgain();
        }
        workflow::StepSpec first = random() % 3 == 0 ? gang(2 + random() % 3, 4'000) : step(1 + random() % 5, 3'000);
        first.checkpointing = random() % 2 == 0;
        first.maxPerWorker = !first.gang && first.count <= 3 && random() % 3 == 0 ? 1 : 0;
        const auto refuses = std::exchange(simulation.refuses, {});
        simulation.submit(++key, job({first}), policy());
        simulation.refuses = refuses;
    };
    for (int round = 0; round < 8; ++round) {
        for (int count = 0; count < 3; ++count) {
            submit();
            simulation.run(std::chrono::milliseconds(random() % 300));
        }
        fakes::CalledWorkers::Worker &worker = simulation.workers.worker("w" + std::to_string(random() % 3));
        (random() % 3 == 0 ? worker.answersLost : worker.cut) = true;
        const std::chrono::milliseconds silence(8'000 + random() % 6'000);
        const std::chrono::milliseconds untilLoss(random() % 14'000);
        simulation.run(std::min(silence, untilLoss));
        if (random() % 2 == 0) {
            simulation.loseLeader();
            simulation.run(std::chrono::milliseconds(random() % 1'500));
            simulation.lead();
        }
        submit();
        simulation.run(silence - std::min(silence, untilLoss));
        worker.cut = false;
        worker.answersLost = false;
        if (random() % 4 == 0) {
            const std::string id = "w" + std::to_string(random() % 3);
            random() % 2 == 0 ? simulation.workers.restart(id, simulation.now)
                              : simulation.workers.restartElsewhere(id, simulation.now);
        }
        simulation.run(std::chrono::milliseconds(random() % 2'000));
    }
    RC_ASSERT(simulation.runUntil([&] { return haveAllJobsEnded(simulation); }, 90s));
}

// Guards against a sound worker that is never used again: the long poll of its last run got lost, while short ones told
// all there was to tell, and nothing was left to ask it.
TEST_F(WorkflowManager, IdleWorkerWhoseLastPollGotLostIsUsedAgain)
{
    ManagerSimulation simulation({});
    addWorkers(simulation, 1);
    simulation.losesPoll = [](const workflow::PollOrder &order) {
        return order.wait > 0ms;
    };
    simulation.losesStart = [](const workflow::TaskRef &task) {
        return task.job != Key;
    };
    for (workflow::JobKey key = Key; key < Key + 3; ++key) {
        simulation.submit(key, job({step(1, 1'000)}), policy());
    }
    simulation.run(600ms);
    simulation.cancel(Key + 1);
    simulation.run(200ms);
    simulation.cancel(Key + 2);
    simulation.run(200ms);
    ASSERT_TRUE(ended(simulation, Key, JobPhase::Completed));
    ASSERT_TRUE(ended(simulation, Key + 1, JobPhase::Cancelled));
    ASSERT_TRUE(ended(simulation, Key + 2, JobPhase::Cancelled));
    simulation.run(3s);
    simulation.losesPoll = {};
    simulation.losesStart = {};
    simulation.submit(Key + 3, job({step(1, 1'000)}), policy());
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key + 3, JobPhase::Completed); }, 20s));
}

// A worker that returns lists no more than 500 ends at a time.
TEST_F(WorkflowManager, AllEndsOfAWorkerThatReturnsAreReadBeforeItGetsTasks)
{
    ManagerSimulation::Options options;
    options.workers.runTime = 2s;
    ManagerSimulation simulation(options);
    addWorkers(simulation, 1);
    simulation.submit(Key, job({step(1'300, 10)}), policy());
    simulation.run(1s);
    ASSERT_EQ(simulation.workers.running(), 1'300U);
    simulation.workers.worker("w0").cut = true;
    simulation.run(16s);
    ASSERT_TRUE(simulation.state.workers().empty());
    simulation.workers.worker("w0").cut = false;
    EXPECT_TRUE(simulation.runUntil([&] { return ended(simulation, Key, JobPhase::Completed); }, 5s));
    EXPECT_EQ(simulation.workers.starts(), 1'300U);
}
