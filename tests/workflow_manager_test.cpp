#include "workflow_world.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace yuccawheel;
using namespace std::chrono_literals;
using tests::World;
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

class WorkflowManager : public testing::Test
{
protected:
    void addWorkers(World &world, int count, std::int64_t milliCpu = 16'000)
    {
        for (int number = 0; number < count; ++number) {
            world.workers.add("w" + std::to_string(number), milliCpu, "rack" + std::to_string(number % 2), world.now);
        }
        world.lead();
        world.run(100ms);
    }
    /// A gang whose question gets no answer, for a while.
    void submitUnanswered(World &world, std::chrono::milliseconds unanswered)
    {
        addWorkers(world, 4);
        world.dropQuestions = true;
        world.submit(Key, job({gang(3, 10'000)}), checkedPolicy(500ms, 7ms));
        world.run(unanswered);
        world.dropQuestions = false;
    }
    static World::Options longRuns()
    {
        World::Options options;
        options.workers.runTime = 6s;
        return options;
    }
    static bool ended(const World &world, workflow::JobKey key, JobPhase phase)
    {
        const workflow::JobRecord *const record = world.state.findJob(key);
        return record != nullptr && record->phase == phase && record->placed == 0;
    }
};

} // namespace

TEST_F(WorkflowManager, RunsStepsInOrder)
{
    World world({});
    addWorkers(world, 2);
    workflow::StepSpec last = step(4, 2'000);
    last.after = {0};
    world.submit(Key, job({step(3, 2'000), last}), policy());
    EXPECT_TRUE(world.runUntil([&] { return ended(world, Key, JobPhase::Completed); }, 3s));
    EXPECT_EQ(world.workers.starts(), 7U);
}

TEST_F(WorkflowManager, StartsGangWhole)
{
    World world({});
    addWorkers(world, 4);
    world.submit(Key, job({gang(6, 10'000)}), policy());
    world.run(5s);
    EXPECT_EQ(world.workers.starts(), 0U) << "four workers hold four members of 10 cores";
    world.workers.add("w8", 64'000, "rack0", world.now);
    world.loseLeader();
    world.lead();
    EXPECT_TRUE(world.runUntil([&] { return ended(world, Key, JobPhase::Completed); }, 5s));
    EXPECT_EQ(world.workers.starts(), 6U);
    EXPECT_EQ(world.workers.aloneEnds(), 0U);
}

TEST_F(WorkflowManager, FailsJobAfterItsAttempts)
{
    World world({});
    addWorkers(world, 4);
    workflow::JobSpec poison = job({step(1, 1'000)});
    poison.payload = "poison";
    world.submit(Key, poison, policy());
    EXPECT_TRUE(world.runUntil([&] { return ended(world, Key, JobPhase::Failed); }, 10s));
    EXPECT_EQ(world.workers.starts(), 3U);
}

TEST_F(WorkflowManager, WorkerThatFailsAllIsLeftAlone)
{
    World world({});
    addWorkers(world, 3);
    world.workers.worker("w0").failsAll = true;
    for (workflow::JobKey key = 1; key <= 60; ++key) {
        world.submit(key, job({step(1, 1'000)}), policy());
        world.run(100ms);
    }
    world.run(5s);
    int failed = 0;
    for (workflow::JobKey key = 1; key <= 60; ++key) {
        failed += world.phaseOf(key) == JobPhase::Completed ? 0 : 1;
    }
    EXPECT_EQ(failed, 0);
    EXPECT_LT(world.workers.starts(), 60U + 15U) << "few runs are wasted on it";
}

TEST_F(WorkflowManager, LimitOfTasksPerWorkerCountsThoseOnTheirWayToTheLog)
{
    World world({});
    addWorkers(world, 3);
    workflow::StepSpec limited = step(6, 1'000);
    limited.maxPerWorker = 2;
    world.submit(Key, job({limited}), policy());
    // The stand-in asserts the limit at each start.
    EXPECT_TRUE(world.runUntil([&] { return ended(world, Key, JobPhase::Completed); }, 5s));
}

TEST_F(WorkflowManager, CancelledJobIsGone)
{
    World world({});
    addWorkers(world, 2);
    world.submit(Key, job({step(8, 2'000)}), policy());
    world.run(100ms);
    EXPECT_EQ(world.workers.running(), 8U);
    world.cancel(Key);
    world.run(100ms);
    EXPECT_EQ(world.workers.running(), 0U);
    EXPECT_TRUE(world.runUntil([&] { return ended(world, Key, JobPhase::Cancelled); }, 1s));
}

TEST_F(WorkflowManager, DrainingWorkerGetsNothingNewAlsoFromLaterLeader)
{
    World world({});
    addWorkers(world, 1);
    world.propose(workflow::WorkerDrainingEntry{"w0", world.workers.worker("w0").identity.born});
    world.run(50ms);
    world.loseLeader();
    world.run(10ms);
    world.lead();
    world.submit(Key, job({step(1, 1'000)}), policy());
    world.run(1s);
    EXPECT_EQ(world.workers.starts(), 0U);
}

TEST_F(WorkflowManager, JobCountsAsPendingUntilARunIsSeen)
{
    World world({});
    addWorkers(world, 1);
    world.workers.worker("w0").cut = true;
    world.submit(Key, job({step(1, 1'000)}), policy());
    world.run(500ms);
    EXPECT_EQ(world.phaseOf(Key), JobPhase::Running) << "a run has been placed";
    EXPECT_EQ(world.manager->pendingJobs("queue"), 1U) << "but it can't have begun";
}

TEST_F(WorkflowManager, SilentWorkersTasksMoveOnceItsLeaseIsOver)
{
    World world({});
    addWorkers(world, 2);
    world.submit(Key, job({step(2, 16'000)}), policy());
    world.run(100ms);
    ASSERT_EQ(world.workers.running(), 2U);
    world.workers.worker("w0").cut = true;
    world.run(5s);
    EXPECT_FALSE(ended(world, Key, JobPhase::Completed)) << "it may still run there";
    EXPECT_TRUE(world.runUntil([&] { return ended(world, Key, JobPhase::Completed); }, 10s));
}

TEST_F(WorkflowManager, RestartedWorkerUnderTheSameIdIsANewLife)
{
    World world({});
    addWorkers(world, 1);
    world.submit(Key, job({step(2, 1'000)}), policy());
    world.run(100ms);
    ASSERT_EQ(world.workers.running(), 2U);
    world.workers.restart("w0", world.now);
    // Far less than a lease: the new life says that the old one is over.
    EXPECT_TRUE(world.runUntil([&] { return ended(world, Key, JobPhase::Completed); }, 4s));
}

TEST_F(WorkflowManager, EligibleWorkersOnly)
{
    World world({});
    addWorkers(world, 6);
    world.mayRun = [](const std::string &, const std::string &worker) {
        return worker == "w3";
    };
    world.submit(Key, job({step(3, 1'000)}), checkedPolicy(9ms, 100us));
    EXPECT_TRUE(world.runUntil([&] { return !world.workers.worker("w3").runs.empty(); }, 1s));
    EXPECT_EQ(world.workers.running(), world.workers.worker("w3").runs.size());
    EXPECT_TRUE(world.runUntil([&] { return ended(world, Key, JobPhase::Completed); }, 3s));
}

TEST_F(WorkflowManager, QuestionThatIsNeverAnsweredIsAskedAgain)
{
    World world({});
    submitUnanswered(world, 1s);
    ASSERT_EQ(world.questions, 1U);
    EXPECT_TRUE(world.runUntil([&] { return ended(world, Key, JobPhase::Completed); }, 6s));
}

TEST_F(WorkflowManager, QuestionOfAMachineThatIsGoneIsAskedAgainAtOnce)
{
    World world({});
    submitUnanswered(world, 200ms);
    world.manager->removeGateway(1, world.now);
    world.manager->addGateway(2);
    EXPECT_TRUE(world.runUntil([&] { return world.workers.running() == 3; }, 500ms));
}

// Load pattern: a burst of long questions, and a leader that is lost in the middle of it. The service goes on with what
// the first leader has asked. If the next one adds lines of its own, all answers come too late, those of the questions
// that are asked once more as well, and so on for good.
TEST_F(WorkflowManager, BurstOfQuestionsAndANewLeaderLeaveNoAnswerUseless)
{
    World::Options options;
    options.machines = 3;
    options.serviceTime = 540ms;
    World world(options);
    addWorkers(world, 10);
    const workflow::QueuePolicy checked = checkedPolicy(500ms, 4ms);
    constexpr workflow::JobKey Jobs = 30;
    for (workflow::JobKey key = 1; key <= Jobs; ++key) {
        world.submit(key, job({gang(2, 6'000)}), checked);
    }
    world.run(900ms);
    world.loseLeader();
    world.run(500ms);
    world.lead();
    const auto allEnded = [&] {
        return std::all_of(world.state.jobs().begin(), world.state.jobs().end(), [](const auto &item) {
            return item.second.phase == JobPhase::Completed;
        });
    };
    EXPECT_TRUE(world.runUntil(allEnded, 30s));
    EXPECT_EQ(world.uselessAnswers, 0U);
}

// Load pattern: workers full of small tasks of a patient queue when a gang of a more urgent one arrives.
TEST_F(WorkflowManager, GangTakesTheRoomOfLessUrgentTasksThatCanBeResumed)
{
    World world(longRuns());
    addWorkers(world, 4);
    workflow::StepSpec patient = step(32, 2'000);
    patient.checkpointing = true;
    workflow::QueuePolicy later = policy();
    later.priority = 2;
    later.target = 60s;
    world.submit(1, job({patient}), later);
    ASSERT_TRUE(world.runUntil([&] { return world.workers.running() == 32; }, 1s));
    workflow::QueuePolicy sooner = checkedPolicy(9ms, 100us);
    sooner.priority = 1;
    world.mayRun = [](const std::string &, const std::string &worker) {
        return worker != "w3";
    };
    world.submit(Key, job({gang(3, 10'000)}), sooner);
    EXPECT_TRUE(world.runUntil([&] { return world.state.findJob(Key) && world.state.findJob(Key)->placed == 3; }, 1s));
    EXPECT_EQ(world.workers.worker("w3").runs.size(), 8U) << "it could not help";
    EXPECT_TRUE(world.runUntil([&] { return ended(world, Key, JobPhase::Completed); }, 8s));
    EXPECT_TRUE(world.runUntil([&] { return ended(world, 1, JobPhase::Completed); }, 20s));
}

TEST_F(WorkflowManager, NoTaskGivesWayThatIsAsUrgentOrWouldLoseItsWork)
{
    World world(longRuns());
    addWorkers(world, 2);
    workflow::StepSpec steady = step(8, 2'000);
    workflow::StepSpec saved = steady;
    saved.checkpointing = true;
    workflow::QueuePolicy later = policy();
    later.priority = 2;
    world.submit(1, job({steady}), later);
    world.submit(2, job({saved}), policy());
    ASSERT_TRUE(world.runUntil([&] { return world.workers.running() == 16; }, 1s));
    workflow::QueuePolicy sooner = policy();
    sooner.target = 60s;
    world.submit(Key, job({gang(2, 10'000)}), sooner);
    world.run(2s);
    EXPECT_EQ(world.workers.running(), 16U);
    EXPECT_TRUE(world.runUntil([&] { return ended(world, Key, JobPhase::Completed); }, 20s));
}

// Room that is kept for a gang is not left idle: less urgent tasks that can be resumed use it until all of it is there.
TEST_F(WorkflowManager, ResumableTasksUseTheRoomThatIsKeptForAGang)
{
    World world(longRuns());
    addWorkers(world, 4);
    workflow::StepSpec unsaved = step(4, 12'000);
    workflow::QueuePolicy later = policy();
    later.priority = 2;
    later.target = 60s;
    world.submit(1, job({unsaved}), later);
    ASSERT_TRUE(world.runUntil([&] { return world.workers.running() == 4; }, 1s));
    workflow::QueuePolicy sooner = policy();
    sooner.target = 60s;
    world.submit(Key, job({gang(4, 10'000)}), sooner);
    world.run(200ms);
    workflow::StepSpec small = step(2, 4'000);
    workflow::StepSpec saved = small;
    saved.checkpointing = true;
    world.submit(2, job({small}), later);
    world.submit(3, job({saved}), later);
    world.run(1s);
    EXPECT_EQ(world.state.findJob(3)->placed, 2U);
    EXPECT_TRUE(world.runUntil([&] { return ended(world, Key, JobPhase::Completed); }, 20s));
}

TEST_F(WorkflowManager, LeaderBeginsAnewAfterEntriesWereLost)
{
    World world({});
    addWorkers(world, 2);
    world.submit(1, job({step(2, 2'000)}), policy());
    world.submit(Key, job({step(4, 2'000)}), policy());
    world.run(22ms);
    world.dropProposals(); // The starts among them.
    world.run(3s);
    EXPECT_NE(world.phaseOf(Key), JobPhase::Completed);
    world.leadAgain();
    EXPECT_TRUE(world.runUntil([&] { return ended(world, Key, JobPhase::Completed); }, 5s));
    EXPECT_TRUE(world.runUntil([&] { return ended(world, 1, JobPhase::Completed); }, 5s));
}

// Lost and late orders, workers that crash, restart and are cut off, and leaders that change: the stand-ins assert that
// no task runs twice, no worker holds too much, and the order of the steps; and all jobs end.
RC_GTEST_PROP(WorkflowManagerRandom, KeepsItsPromisesUnderFaults, ())
{
    World::Options options;
    options.seed = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint64_t>(1, 1'000'000));
    options.answersLost = 0.05;
    options.carriedOutLate = 0.5;
    options.workers.runTime = 700ms;
    World world(options);
    std::mt19937_64 random(options.seed);
    for (int number = 0; number < 5; ++number) {
        world.workers.add("w" + std::to_string(number), 16'000, "rack" + std::to_string(number % 2), world.now);
    }
    world.lead();
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
        world.submit(key, job({first, second}), queue);
        world.run(std::chrono::milliseconds(random() % 400));
        const std::string worker = "w" + std::to_string(random() % 5);
        switch (random() % 8) {
        case 0:
            world.workers.restart(worker, world.now);
            break;
        case 1:
            world.workers.worker(worker).cut = true;
            break;
        case 2:
            world.loseLeader();
            world.run(std::chrono::milliseconds(random() % 1'500));
            world.lead();
            break;
        case 3:
            world.cancel(1 + random() % key);
            break;
        default:
            break;
        }
        for (const std::string &id : world.ids()) {
            world.workers.worker(id).cut = world.workers.worker(id).cut && random() % 4 != 0;
        }
    }
    for (const std::string &id : world.ids()) {
        world.workers.worker(id).cut = false;
    }
    const auto allOver = [&] {
        return std::all_of(world.state.jobs().begin(), world.state.jobs().end(), [](const auto &item) {
            return item.second.hasEnded() && item.second.placed == 0;
        });
    };
    RC_ASSERT(world.runUntil(allOver, 60s));
}
