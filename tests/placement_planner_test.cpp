#include "placement/planner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace yuccawheel::placement;
using namespace std::chrono_literals;
using yuccawheel::base::TimePoint;
using yuccawheel::base::Verdict;

namespace
{

constexpr Resources Capacity{64'000, 262'144, 0};

/// Drives a planner on virtual time and keeps the commands of the last decision.
struct PlannerTest : testing::Test {
    explicit PlannerTest(Objective objective = Objective::Packing) : planner(PlannerOptions{objective, 1})
    {
    }
    void join(WorkerId worker,
              const std::string &rack = "r1",
              Resources capacity = Capacity,
              std::vector<WorkerJoined::Held> running = {})
    {
        planner.handle(WorkerJoined{worker, "vm" + std::to_string(worker), rack, capacity, std::move(running)}, now);
    }
    static JobSpec job(JobId id, std::uint32_t tasks, Resources size, JobKind kind = JobKind::Batch)
    {
        JobSpec spec;
        spec.id = id;
        spec.name = "job-" + std::to_string(id);
        spec.team = "routes";
        spec.kind = kind;
        spec.tasks = tasks;
        spec.perTask = size;
        spec.declaredRunTime = 60s;
        return spec;
    }
    void assign(const JobSpec &spec)
    {
        JobAssigned event;
        event.spec = spec;
        event.count = spec.tasks;
        planner.handle(event, now);
    }
    void report(WorkerId worker, const TaskId &task, TaskState state, Resources usage = {})
    {
        planner.handle(WorkerReported{worker, {{task, state, usage}}}, now);
    }
    /// Reports a running task with the limit in force on the worker.
    void reportLimit(WorkerId worker, const TaskId &task, Resources usage, Resources limit)
    {
        planner.handle(WorkerReported{worker, {{task, TaskState::Running, usage, limit}}}, now);
    }
    void decide(std::chrono::milliseconds elapsed = 10ms)
    {
        now += elapsed;
        commands.clear();
        planner.decide(now, commands);
    }
    template <typename Kind>
    std::vector<Kind> commandsOf() const
    {
        std::vector<Kind> found;
        for (const Command &command : commands) {
            if (const auto *content = std::get_if<Kind>(&command)) {
                found.push_back(*content);
            }
        }
        return found;
    }

    Planner planner;
    TimePoint now{1h};
    std::vector<Command> commands;
};

struct WaitingPlannerTest : PlannerTest {
    WaitingPlannerTest() : PlannerTest(Objective::Waiting)
    {
    }
};

} // namespace

TEST_F(PlannerTest, batchFillsOneWorkerBeforeTheNext)
{
    join(0);
    join(1);
    assign(job(1, 8, {8'000, 1'024, 0}));
    decide();
    const auto starts = commandsOf<StartTask>();
    ASSERT_EQ(starts.size(), 8U);
    for (const StartTask &start : starts) {
        EXPECT_EQ(start.worker, starts.front().worker);
    }
}

TEST_F(PlannerTest, gangStartsAllTasksOrNone)
{
    join(0);
    join(1);
    assign(job(1, 1, {32'000, 1'024, 0}));
    decide();
    assign(job(2, 4, {32'000, 1'024, 0}, JobKind::Gang));
    decide();
    EXPECT_TRUE(commandsOf<StartTask>().empty());
    report(0, {1, 0, 0}, TaskState::Finished);
    report(1, {1, 0, 0}, TaskState::Finished);
    decide();
    EXPECT_EQ(commandsOf<StartTask>().size(), 4U);
}

TEST_F(PlannerTest, taskCancelledBeforeStartIsNotRun)
{
    join(0);
    assign(job(1, 3, {64'000, 1'024, 0}));
    decide();
    planner.handle(JobCancelled{1}, now);
    decide();
    ASSERT_EQ(commandsOf<TasksNotRun>().size(), 1U);
    EXPECT_EQ(commandsOf<TasksNotRun>().front().firstIndex, 1U);
    EXPECT_EQ(commandsOf<TasksNotRun>().front().count, 2U);
    ASSERT_EQ(commandsOf<StopTask>().size(), 1U);
    // The StartTask never reached the worker, which reports the task as unknown.
    report(0, {1, 0, 0}, TaskState::Unknown);
    decide();
    ASSERT_EQ(commandsOf<TaskDone>().size(), 1U);
    EXPECT_EQ(commandsOf<TaskDone>().front().verdict, Verdict::NotRun);
    EXPECT_EQ(commandsOf<JobShareDone>().size(), 1U);
}

TEST_F(PlannerTest, nonRepeatableTaskIsNeverRestarted)
{
    join(0);
    join(1);
    JobSpec spec = job(1, 1, {1'000, 1'024, 0});
    spec.repeatable = false;
    assign(spec);
    decide();
    ASSERT_EQ(commandsOf<StartTask>().size(), 1U);
    planner.handle(WorkerLeasesExpired{commandsOf<StartTask>().front().worker}, now);
    decide();
    EXPECT_TRUE(commandsOf<StartTask>().empty());
    ASSERT_EQ(commandsOf<TaskDone>().size(), 1U);
    EXPECT_EQ(commandsOf<TaskDone>().front().verdict, Verdict::MayHaveRun);
}

// Guards against starting a task again whose end came after its worker's leases had run out.
TEST_F(PlannerTest, lateFinishOfAnExpiredWorkerCountsOnceWhileItsTaskWaits)
{
    join(0);
    assign(job(1, 1, {1'000, 1'024, 0}));
    decide();
    ASSERT_EQ(commandsOf<StartTask>().size(), 1U);
    planner.handle(WorkerLeasesExpired{0}, now);
    decide();
    join(0);
    report(0, {1, 0, 0}, TaskState::Finished);
    report(0, {1, 0, 0}, TaskState::Finished);
    decide();
    EXPECT_TRUE(commandsOf<StartTask>().empty());
    ASSERT_EQ(commandsOf<TaskDone>().size(), 1U);
    EXPECT_EQ(commandsOf<TaskDone>().front().task, (TaskId{1, 0, 0}));
    EXPECT_EQ(commandsOf<TaskDone>().front().verdict, Verdict::Ran);
    EXPECT_TRUE(commandsOf<TaskDone>().front().succeeded);
    EXPECT_EQ(commandsOf<JobShareDone>().size(), 1U);
}

// Guards against dropping the late end of a task that was placed again, and against letting both attempts count.
TEST_F(PlannerTest, lateFinishStopsTheAttemptThatWasPlacedMeanwhile)
{
    join(0);
    assign(job(1, 1, {40'000, 1'024, 0}));
    decide();
    planner.handle(WorkerLeasesExpired{0}, now);
    join(1);
    decide();
    ASSERT_EQ(commandsOf<StartTask>().size(), 1U);
    const TaskId second = commandsOf<StartTask>().front().task;
    join(0);
    report(0, {1, 0, 0}, TaskState::Finished);
    decide();
    ASSERT_EQ(commandsOf<TaskDone>().size(), 1U);
    EXPECT_EQ(commandsOf<TaskDone>().front().task, (TaskId{1, 0, 0}));
    EXPECT_TRUE(commandsOf<TaskDone>().front().succeeded);
    ASSERT_EQ(commandsOf<StopTask>().size(), 1U);
    EXPECT_EQ(commandsOf<StopTask>().front().task, second);
    EXPECT_EQ(commandsOf<StopTask>().front().worker, 1U);
    // The second attempt holds its reservation until it has ended.
    planner.handle(WorkerDrain{0}, now);
    assign(job(2, 1, {40'000, 1'024, 0}));
    decide();
    EXPECT_TRUE(commandsOf<StartTask>().empty());
    report(1, second, TaskState::Finished);
    decide();
    EXPECT_TRUE(commandsOf<TaskDone>().empty());
    ASSERT_EQ(commandsOf<StartTask>().size(), 1U);
    EXPECT_EQ(commandsOf<StartTask>().front().task.job, 2U);
}

// Guards against dropping the end of a task whose own lease had run out while its worker kept others.
TEST_F(PlannerTest, lateFinishOfATaskWhoseOwnLeaseHasExpiredCounts)
{
    join(0);
    assign(job(1, 1, {1'000, 1'024, 0}));
    decide();
    planner.handle(WorkerUnreachable{0}, now);
    report(0, {1, 0, 0}, TaskState::Stopped);
    decide();
    EXPECT_TRUE(commandsOf<StartTask>().empty());
    planner.handle(WorkerReachable{0}, now);
    report(0, {1, 0, 0}, TaskState::Finished);
    decide();
    EXPECT_TRUE(commandsOf<StartTask>().empty());
    EXPECT_EQ(commandsOf<TaskDone>().size(), 1U);
}

// Guards against dropping ends that a worker lists to a new owner, which has no attempt of the task.
TEST_F(PlannerTest, finishFromBeforeAChangeOfOwnerCounts)
{
    JobAssigned event;
    event.spec = job(1, 2, {1'000, 1'024, 0});
    event.count = 2;
    event.recovered = true;
    event.firstAttempt = 100;
    planner.handle(event, now);
    join(0);
    report(0, {1, 0, 7}, TaskState::Finished);
    planner.handle(RecoveryFinished{}, now);
    report(0, {1, 1, 8}, TaskState::Finished);
    decide();
    EXPECT_TRUE(commandsOf<StartTask>().empty());
    EXPECT_EQ(commandsOf<TaskDone>().size(), 2U);
    EXPECT_EQ(commandsOf<JobShareDone>().size(), 1U);
}

// Guards against giving a task again between a worker's join and its first report, which may be decided on apart.
TEST_F(PlannerTest, endsThatAWorkerListsWhenItJoinsCountBeforeTasksAreGiven)
{
    join(0);
    assign(job(1, 1, {1'000, 1'024, 0}));
    decide();
    planner.handle(WorkerLeasesExpired{0}, now);
    decide();
    planner.handle(WorkerJoined{0, "vm0", "r1", Capacity, {}, {{{1, 0, 0}, TaskState::Finished, {}}}}, now);
    decide();
    EXPECT_TRUE(commandsOf<StartTask>().empty());
    EXPECT_EQ(commandsOf<TaskDone>().size(), 1U);
    report(0, {1, 0, 0}, TaskState::Finished);
    decide();
    EXPECT_TRUE(commandsOf<TaskDone>().empty());
}

// Guards against starting a member of a gang again that was done before its worker's leases ran out.
TEST_F(PlannerTest, lateFinishOfAGangMemberStartsOnlyTheOthersAgain)
{
    join(0);
    join(1, "r2");
    assign(job(1, 2, {40'000, 1'024, 0}, JobKind::Gang));
    decide();
    ASSERT_EQ(commandsOf<StartTask>().size(), 2U);
    const StartTask lost = commandsOf<StartTask>()[0];
    const StartTask other = commandsOf<StartTask>()[1];
    planner.handle(WorkerLeasesExpired{lost.worker}, now);
    decide();
    join(lost.worker, lost.worker == 0 ? "r1" : "r2");
    report(lost.worker, lost.task, TaskState::Finished);
    report(other.worker, other.task, TaskState::Stopped);
    decide();
    ASSERT_EQ(commandsOf<StartTask>().size(), 1U);
    EXPECT_EQ(commandsOf<StartTask>().front().task.index, other.task.index);
    EXPECT_EQ(commandsOf<TaskDone>().size(), 1U);
}

// Guards against ending a replica of a service because of the late end of an earlier one.
TEST_F(PlannerTest, lateFinishOfAServiceReplicaChangesNothing)
{
    join(0);
    assign(job(1, 1, {1'000, 1'024, 0}, JobKind::Service));
    decide();
    planner.handle(WorkerLeasesExpired{0}, now);
    join(1);
    decide();
    ASSERT_EQ(commandsOf<StartTask>().size(), 1U);
    join(0);
    report(0, {1, 0, 0}, TaskState::Finished);
    decide();
    EXPECT_TRUE(commandsOf<StartTask>().empty());
    EXPECT_TRUE(commandsOf<StopTask>().empty());
    EXPECT_TRUE(commandsOf<TaskDone>().empty());
}

TEST_F(PlannerTest, newOwnerAdoptsRunningTasksAndDefersUnknownOnes)
{
    JobAssigned event;
    event.spec = job(1, 3, {1'000, 1'024, 0});
    event.count = 3;
    event.recovered = true;
    event.finished = {2};
    event.firstAttempt = 100;
    join(0, "r1", Capacity, {{{1, 0, 7}, {1'000, 1'024, 0}}, {{9, 0, 0}, {1'000, 1'024, 0}}});
    planner.handle(event, now);
    decide();
    EXPECT_TRUE(commandsOf<StartTask>().empty());
    EXPECT_TRUE(commandsOf<StopTask>().empty());
    planner.handle(RecoveryFinished{}, now);
    decide();
    ASSERT_EQ(commandsOf<StartTask>().size(), 1U);
    EXPECT_EQ(commandsOf<StartTask>().front().task, (TaskId{1, 1, 100}));
    ASSERT_EQ(commandsOf<StopTask>().size(), 1U);
    EXPECT_EQ(commandsOf<StopTask>().front().task, (TaskId{9, 0, 0}));
    EXPECT_EQ(commandsOf<StopTask>().front().reason, StopReason::NotOurs);
}

TEST_F(PlannerTest, unschedulableJobIsReportedOnceAndRetriedOnNewCapacity)
{
    join(0);
    assign(job(1, 1, {80'000, 1'024, 0}));
    assign(job(2, 1, {8'000, 1'024, 0}));
    decide();
    ASSERT_EQ(commandsOf<JobNeverFits>().size(), 1U);
    EXPECT_EQ(commandsOf<JobNeverFits>().front().missing, (Resources{16'000, 0, 0}));
    EXPECT_EQ(commandsOf<StartTask>().size(), 1U);
    decide();
    EXPECT_TRUE(commandsOf<JobNeverFits>().empty());
    join(1, "r2", {96'000, 262'144, 0});
    decide();
    ASSERT_EQ(commandsOf<StartTask>().size(), 1U);
    EXPECT_EQ(commandsOf<StartTask>().front().task.job, 1U);
}

TEST_F(PlannerTest, serviceReplicasSpreadOverRacks)
{
    join(0, "r1");
    join(1, "r1");
    join(2, "r2");
    join(3, "r3");
    assign(job(1, 3, {1'000, 1'024, 0}, JobKind::Service));
    decide();
    std::vector<WorkerId> workers;
    for (const StartTask &start : commandsOf<StartTask>()) {
        workers.push_back(start.worker == 1 ? 0 : start.worker);
    }
    std::sort(workers.begin(), workers.end());
    EXPECT_EQ(workers, (std::vector<WorkerId>{0, 2, 3}));
}

TEST_F(PlannerTest, unusedReservationIsReleasedOnlyAfterWorkerConfirmsLowerLimit)
{
    join(0);
    const Resources declared{40'000, 100'000, 0};
    const Resources usage{10'000, 20'000, 0};
    assign(job(1, 2, declared));
    decide();
    ASSERT_EQ(commandsOf<StartTask>().size(), 1U);
    const TaskId first = commandsOf<StartTask>()[0].task;
    std::vector<ThrottleTask> limits;
    for (int count = 0; count < 5; ++count) {
        reportLimit(0, first, usage, declared);
        decide(5s);
        EXPECT_TRUE(commandsOf<StartTask>().empty());
        for (const ThrottleTask &throttle : commandsOf<ThrottleTask>()) {
            limits.push_back(throttle);
        }
    }
    ASSERT_FALSE(limits.empty());
    EXPECT_EQ(limits[0].task, first);
    EXPECT_LT(limits[0].limit.milliCpu, 11'000);
    reportLimit(0, first, usage, limits[0].limit);
    decide();
    EXPECT_EQ(commandsOf<StartTask>().size(), 1U);
}

TEST_F(PlannerTest, lateReportOfLowerLimitReleasesNoRoom)
{
    join(0);
    const Resources declared{32'000, 100'000, 0};
    assign(job(1, 1, declared));
    decide();
    const TaskId task = commandsOf<StartTask>()[0].task;
    reportLimit(0, task, {10'000, 100, 0}, declared);
    decide();
    ASSERT_EQ(commandsOf<ThrottleTask>().size(), 1U);
    const Resources low = commandsOf<ThrottleTask>()[0].limit;
    reportLimit(0, task, {10'000, 100, 0}, low);
    // The task fills the lower limit and its reservation grows again.
    reportLimit(0, task, low, low);
    decide();
    ASSERT_EQ(commandsOf<ThrottleTask>().size(), 1U);
    const Resources grown = commandsOf<ThrottleTask>()[0].limit;
    EXPECT_GT(grown.milliCpu, low.milliCpu);
    // Its usage falls again, then a report from before the growth arrives late.
    reportLimit(0, task, {10'000, 100, 0}, grown);
    decide();
    reportLimit(0, task, {10'000, 100, 0}, low);
    assign(job(2, 1, {64'000 - (low.milliCpu * 104 / 100), 1'000, 0}));
    decide();
    EXPECT_TRUE(commandsOf<StartTask>().empty());
}

TEST_F(PlannerTest, taskAtLimitBelowReservationGetsLimitRaised)
{
    join(0);
    const Resources declared{32'000, 100'000, 0};
    assign(job(1, 1, declared));
    decide();
    const TaskId task = commandsOf<StartTask>()[0].task;
    const Resources low{8'000, 50'000, 0};
    reportLimit(0, task, low, low);
    decide();
    const auto limits = commandsOf<ThrottleTask>();
    EXPECT_TRUE(std::any_of(limits.begin(), limits.end(), [&](const ThrottleTask &throttle) {
        return throttle.task == task && throttle.limit == declared;
    }));
}

TEST_F(PlannerTest, longRunningAdoptedTaskIsStoppedOnDrainingWorker)
{
    JobAssigned event;
    event.spec = job(1, 1, {8'000, 1'024, 0});
    event.spec.declaredRunTime = 1h;
    event.count = 1;
    event.recovered = true;
    planner.handle(event, now);
    join(0, "r1", Capacity, {{{1, 0, 0}, event.spec.perTask}});
    join(1);
    planner.handle(RecoveryFinished{}, now);
    planner.handle(WorkerDrain{0}, now);
    decide();
    ASSERT_EQ(commandsOf<StopTask>().size(), 1U);
    EXPECT_EQ(commandsOf<StopTask>().front().reason, StopReason::Drained);
}

TEST_F(PlannerTest, workerWithReplicaDoesNotBlockConsolidationOfOthers)
{
    JobSpec longJob = job(1, 1, {40'000, 1'024, 0});
    JobSpec replica = job(2, 1, {2'000, 1'024, 0}, JobKind::Service);
    JobSpec movable = job(3, 1, {8'000, 1'024, 0});
    longJob.declaredRunTime = 1h;
    movable.declaredRunTime = 1h;
    WorkerId worker = 0;
    for (const JobSpec &spec : {longJob, replica, movable}) {
        JobAssigned event;
        event.spec = spec;
        event.count = 1;
        event.recovered = true;
        planner.handle(event, now);
        join(worker++, "r1", Capacity, {{{spec.id, 0, 0}, spec.perTask}});
    }
    planner.handle(RecoveryFinished{}, now);
    std::vector<StopTask> stops;
    for (int count = 0; count < 8; ++count) {
        decide(5s);
        for (const StopTask &stop : commandsOf<StopTask>()) {
            stops.push_back(stop);
        }
    }
    ASSERT_FALSE(stops.empty());
    EXPECT_EQ(stops[0].task.job, 3U);
    EXPECT_EQ(stops[0].reason, StopReason::Consolidated);
}

TEST_F(WaitingPlannerTest, shorterJobsStartFirstUntilLongJobHasAged)
{
    const Resources whole{64'000, 1'024, 0};
    const auto longJob = [&](JobId id) {
        JobSpec spec = job(id, 1, whole);
        spec.declaredRunTime = 1h;
        return spec;
    };
    join(0);
    planner.handle(RecoveryFinished{}, now);
    assign(longJob(1));
    decide();
    ASSERT_EQ(commandsOf<StartTask>().size(), 1U);
    assign(longJob(2));
    decide(10s);
    assign(job(3, 1, whole));
    report(0, {1, 0, 0}, TaskState::Finished);
    decide();
    ASSERT_EQ(commandsOf<StartTask>().size(), 1U);
    EXPECT_EQ(commandsOf<StartTask>().front().task.job, 3U);
    decide(11min);
    assign(job(4, 1, whole));
    report(0, {3, 0, 0}, TaskState::Finished);
    decide();
    ASSERT_EQ(commandsOf<StartTask>().size(), 1U);
    EXPECT_EQ(commandsOf<StartTask>().front().task.job, 2U);
}

// Guards against workers quarantined for a fault that all of them share, which leaves later tasks no room.
TEST_F(PlannerTest, tasksThatFailOnAllWorkersDoNotQuarantineThem)
{
    constexpr WorkerId Workers = 20;
    constexpr std::uint32_t TasksPerWorker = 8;
    const Resources size{Capacity.milliCpu / TasksPerWorker, 1'024, 0};
    for (WorkerId worker = 0; worker < Workers; ++worker) {
        join(worker);
    }
    assign(job(1, 2'000, size));
    std::uint32_t ends = 0;
    for (int round = 0; round < 10; ++round) {
        decide(1s);
        for (const StartTask &start : commandsOf<StartTask>()) {
            const bool fails = round >= 2 && ++ends % 4 != 0;
            report(start.worker, start.task, fails ? TaskState::Failed : TaskState::Finished);
        }
    }
    planner.handle(JobCancelled{1}, now);
    decide();
    assign(job(2, Workers * TasksPerWorker, size));
    decide();
    EXPECT_GE(commandsOf<StartTask>().size(), Workers * TasksPerWorker * 3 / 4);
}

/// A single worker that runs a task of a service and is on probation for the failures of three jobs.
struct ProbationTest : PlannerTest {
    ProbationTest()
    {
        join(0);
        assign(job(1, 1, Size, JobKind::Service));
        decide();
        for (const StartTask &start : commandsOf<StartTask>()) {
            report(0, start.task, TaskState::Running);
        }
        for (JobId id = 2; id <= 4; ++id) {
            assign(job(id, 1, Size));
            decide();
            for (const StartTask &start : commandsOf<StartTask>()) {
                report(0, start.task, TaskState::Failed);
            }
        }
        for (JobId id = 2; id <= 4; ++id) {
            planner.handle(JobCancelled{id}, now);
        }
        decide();
        EXPECT_EQ(planner.restrictedWorkers().size(), 1U);
        decide(61s);
    }
    static constexpr Resources Size{1'000, 1'024, 0};
};

// Guards against a worker on probation that never gets a task again because it runs one of a service.
TEST_F(ProbationTest, workerThatRunsATaskOfAServiceGetsATrial)
{
    assign(job(5, 2, Size));
    decide();
    ASSERT_EQ(commandsOf<StartTask>().size(), 1U) << "one at a time";
    report(0, commandsOf<StartTask>().front().task, TaskState::Finished);
    decide();
    ASSERT_EQ(commandsOf<StartTask>().size(), 1U);
    report(0, commandsOf<StartTask>().front().task, TaskState::Finished);
    decide();
    EXPECT_TRUE(planner.restrictedWorkers().empty());
}

// Guards against a probation without end because the tasks given on probation last.
TEST_F(ProbationTest, trialsThatLastEndProbation)
{
    assign(job(5, 3, Size, JobKind::Service));
    decide();
    for (int trial = 0; trial < 2; ++trial) {
        ASSERT_EQ(commandsOf<StartTask>().size(), 1U) << "one at a time";
        report(0, commandsOf<StartTask>().front().task, TaskState::Running);
        decide(61s);
    }
    EXPECT_TRUE(planner.restrictedWorkers().empty());
    EXPECT_EQ(commandsOf<StartTask>().size(), 1U) << "the third task";
}

// Guards against a failing worker that is fed with tasks because one of a service works there.
TEST_F(ProbationTest, failedTrialPutsAWorkerThatRunsATaskOfAServiceInQuarantineAgain)
{
    for (JobId id = 5; id < 13; ++id) {
        assign(job(id, 1, Size));
    }
    std::size_t starts = 0;
    for (int second = 0; second < 300; ++second) {
        decide(1s);
        for (const StartTask &start : commandsOf<StartTask>()) {
            ++starts;
            report(0, start.task, TaskState::Failed);
        }
    }
    EXPECT_LE(starts, 3U) << "quarantines of 120 and 240 s follow";
}

// Guards against a failing worker that is kept in use because some failures are usual on the others.
TEST_F(PlannerTest, workerThatFailsEveryTaskIsQuarantinedBesideUsualFailures)
{
    constexpr WorkerId Workers = 20;
    constexpr WorkerId Failing = 7;
    const Resources size{Capacity.milliCpu / 2, 1'024, 0};
    for (WorkerId worker = 0; worker < Workers; ++worker) {
        join(worker);
    }
    assign(job(1, 2'000, size));
    std::uint32_t ends = 0;
    std::uint32_t failedThere = 0;
    for (int round = 0; round < 30; ++round) {
        decide(1s);
        for (const StartTask &start : commandsOf<StartTask>()) {
            const bool fails = start.worker == Failing || ++ends % 5 == 0;
            failedThere += start.worker == Failing ? 1 : 0;
            report(start.worker, start.task, fails ? TaskState::Failed : TaskState::Finished);
        }
    }
    EXPECT_GE(failedThere, 3U);
    EXPECT_LE(failedThere, 8U) << "of 60";
}
