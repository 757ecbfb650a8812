#include "workflow/state.h"

#include <gtest/gtest.h>

using namespace yuccawheel;
using namespace std::chrono_literals;
using workflow::JobPhase;
using workflow::RunOutcome;
using workflow::State;
using workflow::TaskPhase;
using workflow::TaskRef;

namespace
{

constexpr workflow::JobKey Key = 7;

/// Stored forms of the version before crashes were counted.
struct EarlierTaskRecord {
    TaskPhase phase = TaskPhase::Placed;
    std::uint32_t run = 3;
    workflow::WorkerNumber worker = 2;
    std::uint32_t failures = 1;
    std::string checkpoint = "saved";
    MSGPACK_DEFINE(phase, run, worker, failures, checkpoint)
};
struct EarlierStepRecord {
    std::vector<EarlierTaskRecord> tasks{1};
    std::uint32_t done = 0;
    std::uint32_t placed = 1;
    std::uint32_t failures = 1;
    std::uint32_t lastFailedRun = 2;
    MSGPACK_DEFINE(tasks, done, placed, failures, lastFailedRun)
};
struct EarlierWorkerRecord {
    workflow::WorkerIdentity identity;
    std::uint64_t lastEndNumber = 9;
    std::vector<TaskRef> placed;
    bool draining = true;
    MSGPACK_DEFINE(identity, lastEndNumber, placed, draining)
};
/// Stored forms of the version before run times were recorded.
struct EarlierEnd {
    TaskRef task{Key, 0, 0, 1};
    std::uint32_t run = 2;
    workflow::RunOutcome outcome = workflow::RunOutcome::Stopped;
    std::string checkpoint = "saved";
    MSGPACK_DEFINE(task, run, outcome, checkpoint)
};
struct EarlierState {
    workflow::Configuration configuration;
    std::map<workflow::JobKey, workflow::JobRecord> jobs;
    std::map<workflow::WorkerNumber, workflow::WorkerRecord> workers{{3, {}}};
    workflow::WorkerNumber nextWorker = 4;
    MSGPACK_DEFINE(configuration, jobs, workers, nextWorker)
};
struct EarlierEndsEntry {
    workflow::WorkerNumber worker = 4;
    std::uint64_t lastEndNumber = 9;
    std::vector<workflow::EndsEntry::End> ends;
    workflow::WallTime at{5};
    MSGPACK_DEFINE(worker, lastEndNumber, ends, at)
};

/// Stored form of the version before drained workers were forgotten.
struct EarlierForgetEntry {
    std::vector<workflow::JobKey> jobs{Key};
    MSGPACK_DEFINE(jobs)
};

template <typename Record, typename Earlier>
Record decodeEarlier(const Earlier &earlier)
{
    const auto decoded = protocol::decode<Record>(protocol::encode(earlier), protocol::Origin::OwnDisk);
    EXPECT_TRUE(decoded.has_value());
    return decoded.value_or(Record{});
}

class WorkflowState : public testing::Test
{
protected:
    WorkflowState()
    {
        for (int number = 1; number <= 3; ++number) {
            workflow::WorkerIdentity worker;
            worker.id = "w" + std::to_string(number);
            worker.born = number;
            apply(workflow::WorkerJoinedEntry{worker});
        }
    }

    void apply(const workflow::LogEntry &entry)
    {
        events_.clear();
        state_.apply(entry, events_);
    }
    void accept(std::uint32_t count, bool gang, std::uint32_t attempts = 2)
    {
        workflow::AcceptEntry entry;
        entry.key = Key;
        entry.policy.attempts = attempts;
        entry.spec.steps.resize(1);
        entry.spec.steps[0].count = count;
        entry.spec.steps[0].gang = gang;
        entry.spec.steps[0].estimatedRunTime = 100ms;
        apply(entry);
    }
    /// Places a task on each of some workers, of ten, and lets these crash 500 ms apart. Then time passes until the
    /// crashes are decided on.
    void crashTogether(std::uint32_t round, const std::vector<std::uint32_t> &tasks)
    {
        while (state_.workers().size() < 10) {
            workflow::WorkerIdentity worker;
            worker.id = "w" + std::to_string(state_.workers().size()) + "-" + std::to_string(round);
            apply(workflow::WorkerJoinedEntry{worker});
        }
        workflow::WorkerNumber next = state_.workers().begin()->first;
        workflow::EndsEntry entry;
        entry.at = round * 10s;
        for (const std::uint32_t index : tasks) {
            place(index, round, next);
            entry.worker = next;
            entry.crashed = {{{Key, 0, 0, index}, round}};
            apply(entry);
            apply(workflow::WorkerGoneEntry{next++, {}});
            entry.at += 500ms;
        }
        EXPECT_EQ(task(tasks.front()).crashes.isUndecided(), round >= 3) << "other workers may crash meanwhile";
        workflow::EndsEntry later;
        later.at = round * 10s + 5s;
        apply(later);
    }
    void place(std::uint32_t index, std::uint32_t run, workflow::WorkerNumber worker)
    {
        apply(workflow::StartsEntry{{{TaskRef{Key, 0, 0, index}, run, worker}}});
    }
    void end(std::uint32_t index, std::uint32_t run, workflow::WorkerNumber worker, RunOutcome how)
    {
        workflow::EndsEntry entry;
        entry.worker = worker;
        entry.lastEndNumber = ++lastNumber_;
        entry.ends.push_back({TaskRef{Key, 0, 0, index}, run, how, "saved"});
        apply(entry);
    }
    const workflow::TaskRecord &task(std::uint32_t index) const
    {
        return *state_.findTask({Key, 0, 0, index});
    }
    JobPhase phase() const
    {
        return state_.findJob(Key)->phase;
    }

    State state_;
    std::vector<workflow::StateEvent> events_;
    std::uint64_t lastNumber_ = 0;
};

} // namespace

TEST_F(WorkflowState, OnlyAHigherConfigurationVersionTakesEffect)
{
    workflow::ConfigurationEntry entry;
    entry.configuration.version = 5;
    entry.configuration.text = "five";
    apply(entry);
    entry.configuration.text = "another five";
    apply(entry);
    EXPECT_TRUE(events_.empty());
    entry.configuration.version = 4;
    apply(entry);
    EXPECT_EQ(state_.configuration().text, "five");
    entry.configuration.version = 9;
    entry.configuration.text = "nine";
    apply(entry);
    EXPECT_EQ(state_.configuration().text, "nine");
}

TEST_F(WorkflowState, ResubmissionDoesNotChangeAJob)
{
    accept(1, false);
    place(0, 1, 1);
    accept(5, true);
    EXPECT_EQ(state_.findJob(Key)->steps[0].tasks.size(), 1U);
    EXPECT_EQ(task(0).phase, TaskPhase::Placed);
}

TEST_F(WorkflowState, RejectsReusedRunNumbers)
{
    accept(1, false);
    place(0, 3, 1);
    apply(workflow::NotStartedEntry{{{TaskRef{Key, 0, 0, 0}, 3}}});
    EXPECT_EQ(task(0).phase, TaskPhase::Waiting);
    place(0, 3, 2);
    EXPECT_EQ(task(0).phase, TaskPhase::Waiting) << "the run number was used before";
    place(0, 4, 2);
    EXPECT_EQ(task(0).phase, TaskPhase::Placed);
}

TEST_F(WorkflowState, EndOfAnEarlierRunDoesNotAffectTheCurrentOne)
{
    accept(1, false);
    place(0, 1, 1);
    apply(workflow::WorkerGoneEntry{1, {{TaskRef{Key, 0, 0, 0}, "early"}}});
    EXPECT_EQ(task(0).checkpoint, "early");
    place(0, 2, 2);
    end(0, 1, 2, RunOutcome::Done);
    EXPECT_EQ(task(0).phase, TaskPhase::Placed);
    end(0, 2, 2, RunOutcome::Done);
    EXPECT_EQ(phase(), JobPhase::Completed);
}

// Guards against work that is done again: the end of a run counted for nothing once its worker had been given up.
TEST_F(WorkflowState, DoneRunOfAWorkerThatReturnsFinishesAWaitingTask)
{
    accept(1, false);
    place(0, 1, 1);
    apply(workflow::WorkerGoneEntry{1, {}});
    EXPECT_EQ(task(0).unresolvedRuns, std::vector<std::uint32_t>{1});
    end(0, 1, 2, RunOutcome::Done);
    EXPECT_EQ(phase(), JobPhase::Completed);
    EXPECT_EQ(task(0).phase, TaskPhase::Done);
    EXPECT_TRUE(task(0).unresolvedRuns.empty());
}

// Guards against a third run, and against capacity that is given away while the second one is still there.
TEST_F(WorkflowState, DoneRunOfAWorkerThatReturnsOverridesALaterRunThatIsPlaced)
{
    accept(1, false);
    place(0, 1, 1);
    apply(workflow::WorkerGoneEntry{1, {}});
    place(0, 2, 2);
    end(0, 1, 3, RunOutcome::Done);
    EXPECT_EQ(phase(), JobPhase::Completed);
    EXPECT_EQ(task(0).phase, TaskPhase::Placed) << "its later run may still be there";
    EXPECT_EQ(state_.findJob(Key)->placed, 1U);
    EXPECT_EQ(state_.findJob(Key)->steps[0].placed, 0U);
    end(0, 2, 2, RunOutcome::Failed);
    EXPECT_EQ(phase(), JobPhase::Completed);
    EXPECT_EQ(task(0).phase, TaskPhase::Done);
    EXPECT_EQ(state_.findJob(Key)->placed, 0U);
    EXPECT_EQ(state_.findJob(Key)->steps[0].done, 1U);
}

TEST_F(WorkflowState, LaterRunMayEndAsDoneToo)
{
    accept(2, false);
    place(0, 1, 1);
    apply(workflow::WorkerGoneEntry{1, {}});
    place(0, 2, 2);
    end(0, 1, 3, RunOutcome::Done);
    EXPECT_TRUE(state_.findJob(Key)->steps[0].hasWaitingTasks()) << "the other task";
    end(0, 2, 2, RunOutcome::Done);
    EXPECT_EQ(state_.findJob(Key)->steps[0].done, 1U);
    EXPECT_EQ(task(0).phase, TaskPhase::Done);
    EXPECT_EQ(phase(), JobPhase::Running);
}

TEST_F(WorkflowState, DoneGangOfWorkersThatReturnOverridesALaterRun)
{
    accept(2, true);
    place(0, 1, 1);
    place(1, 1, 2);
    apply(workflow::WorkerGoneEntry{1, {}});
    apply(workflow::WorkerGoneEntry{2, {}});
    place(0, 2, 3);
    end(1, 1, 3, RunOutcome::Done);
    EXPECT_EQ(phase(), JobPhase::Completed);
    EXPECT_EQ(task(0).phase, TaskPhase::Placed);
    EXPECT_EQ(task(1).phase, TaskPhase::Done);
    apply(workflow::NotStartedEntry{{{TaskRef{Key, 0, 0, 0}, 2}}});
    EXPECT_EQ(task(0).phase, TaskPhase::Done);
    EXPECT_EQ(state_.findJob(Key)->steps[0].done, 2U);
}

// Guards against starts beyond the attempts: failed runs counted for nothing once their worker had been given up.
TEST_F(WorkflowState, FailedRunOfAWorkerThatReturnsCountsOnce)
{
    accept(1, false, 2);
    place(0, 1, 1);
    apply(workflow::WorkerGoneEntry{1, {}});
    end(0, 1, 2, RunOutcome::Failed);
    end(0, 1, 2, RunOutcome::Failed);
    EXPECT_EQ(task(0).failures, 1U);
    EXPECT_EQ(phase(), JobPhase::Running);
    place(0, 2, 2);
    end(0, 2, 2, RunOutcome::Failed);
    EXPECT_EQ(phase(), JobPhase::Failed);
}

TEST_F(WorkflowState, CheckpointOfAWorkerThatReturnsIsUsedForTheLatestRunOnly)
{
    accept(2, false);
    for (std::uint32_t index = 0; index < 2; ++index) {
        place(index, 1, 1);
    }
    apply(workflow::WorkerGoneEntry{1, {}});
    place(1, 2, 2);
    apply(workflow::NotStartedEntry{{{TaskRef{Key, 0, 0, 1}, 2}}});
    end(0, 1, 3, RunOutcome::LeaseExpired);
    end(1, 1, 3, RunOutcome::LeaseExpired);
    EXPECT_EQ(task(0).checkpoint, "saved");
    EXPECT_EQ(task(1).checkpoint, "") << "a later run was placed since";
}

// Guards against ends that are acknowledged without being recorded: the log had refused the entry before.
TEST_F(WorkflowState, EndsAfterALostEntryDoNotCount)
{
    accept(2, false);
    place(0, 1, 1);
    place(1, 1, 1);
    workflow::EndsEntry later;
    later.worker = 1;
    later.previousEndNumber = 1;
    later.lastEndNumber = 2;
    later.ends.push_back({TaskRef{Key, 0, 0, 1}, 1, RunOutcome::Done, {}});
    apply(later);
    EXPECT_EQ(state_.workers().at(1).lastEndNumber, 0U);
    EXPECT_EQ(task(1).phase, TaskPhase::Placed);
    end(0, 1, 1, RunOutcome::Done);
    apply(later);
    EXPECT_EQ(phase(), JobPhase::Completed);
}

TEST_F(WorkflowState, OneCompletedMemberCompletesTheGang)
{
    accept(3, true);
    for (std::uint32_t index = 0; index < 3; ++index) {
        place(index, 1, index + 1);
    }
    apply(workflow::WorkerGoneEntry{3, {}});
    EXPECT_EQ(task(2).phase, TaskPhase::Waiting);
    end(0, 1, 1, RunOutcome::Done);
    EXPECT_EQ(phase(), JobPhase::Completed);
    EXPECT_EQ(state_.findJob(Key)->placed, 0U);
}

TEST_F(WorkflowState, GangFailureCountsOncePerRun)
{
    accept(2, true);
    for (std::uint32_t run = 1; run <= 2; ++run) {
        place(0, run, 1);
        place(1, run, 2);
        end(0, run, 1, RunOutcome::Failed);
        EXPECT_EQ(phase() == JobPhase::Failed, run == 2);
        end(1, run, 2, RunOutcome::GangBroken);
    }
}

// Guards against a run of a gang that counts as two failures: a member's worker was given up, and lists its end after
// that of another member, or after later runs.
TEST_F(WorkflowState, FailureOfAGangIsNotCountedAgainWhenAWorkerReturns)
{
    accept(2, true);
    place(0, 1, 1);
    place(1, 1, 2);
    end(0, 1, 1, RunOutcome::Failed);
    workflow::WorkerGoneEntry gone;
    gone.worker = 2;
    apply(gone);
    EXPECT_EQ(task(1).phase, TaskPhase::Waiting);
    EXPECT_TRUE(task(1).unresolvedRuns.empty());
    EXPECT_EQ(state_.findJob(Key)->steps[0].failures, 1U);
}

TEST_F(WorkflowState, MembersOfAGangResumeFromTheSameCheckpoint)
{
    accept(2, true);
    place(0, 1, 1);
    place(1, 1, 2);
    end(0, 1, 1, RunOutcome::Stopped);
    EXPECT_EQ(task(0).checkpoint, "saved");
    EXPECT_EQ(task(1).checkpoint, "saved");
}

TEST_F(WorkflowState, IgnoresStartsOfAnEndedJob)
{
    accept(2, false);
    apply(workflow::CancelEntry{Key, 5ms});
    place(0, 1, 1);
    EXPECT_EQ(task(0).phase, TaskPhase::Waiting);
    EXPECT_EQ(phase(), JobPhase::Cancelled);
}

TEST_F(WorkflowState, SnapshotRestoresTheWholeState)
{
    accept(3, true);
    place(0, 1, 1);
    apply(workflow::WorkerDrainingEntry{"w2", 2});
    const auto restored = State::restore(state_.snapshot());
    ASSERT_TRUE(restored.has_value());
    EXPECT_EQ(restored->snapshot(), state_.snapshot());
    EXPECT_EQ(restored->findTask({Key, 0, 0, 0})->phase, TaskPhase::Placed);
    workflow::WorkerIdentity draining;
    draining.id = "w2";
    draining.born = 2;
    EXPECT_TRUE(restored->isDraining(draining));
}

// Guards against a state that grows with each replaced worker, and against one that forgets a drain too early.
TEST_F(WorkflowState, DrainedWorkersAreForgottenOnceTheyAreGone)
{
    const auto isDraining = [this](const std::string &id, std::int64_t born) {
        workflow::WorkerIdentity worker;
        worker.id = id;
        worker.born = born;
        return state_.isDraining(worker);
    };
    const std::size_t sizeBefore = state_.snapshot().size();
    for (int number = 0; number < 1'000; ++number) {
        apply(workflow::WorkerDrainingEntry{"replaced" + std::to_string(number), 1});
    }
    apply(workflow::WorkerDrainingEntry{"w2", 2});
    workflow::ForgetEntry forget;
    for (int number = 0; number < 1'000; ++number) {
        forget.drained.push_back({"replaced" + std::to_string(number), 1});
    }
    forget.drained.push_back({"w2", 2});
    apply(workflow::WorkerDrainingEntry{"replaced0", 5});
    apply(forget);
    EXPECT_TRUE(isDraining("w2", 2)); // It isn't gone.
    EXPECT_TRUE(isDraining("replaced0", 5)); // A later incarnation.
    EXPECT_FALSE(isDraining("replaced1", 1));

    apply(workflow::WorkerGoneEntry{2, {}});
    EXPECT_TRUE(isDraining("w2", 2));
    apply(workflow::ForgetEntry{{}, {{"w2", 2}, {"replaced0", 5}}});
    EXPECT_FALSE(isDraining("w2", 2));
    EXPECT_LT(state_.snapshot().size(), sizeBefore);
}

TEST_F(WorkflowState, KeysAndTasksHaveOneTextForm)
{
    EXPECT_EQ(workflow::toString(workflow::JobKey{0xab}), "00000000000000ab");
    EXPECT_FALSE(workflow::parseJobKey("00000000000000AB"));
    EXPECT_FALSE(workflow::parseJobKey("ab"));
    const TaskRef ref{0xab, 1, 2, 3};
    EXPECT_EQ(workflow::parseTaskRef(toString(ref)), ref);
    for (const char *const text : {"", "00000000000000ab.1.2", "00000000000000ab.1.2.3.4", "00000000000000ab.1.x.3"}) {
        EXPECT_FALSE(workflow::parseTaskRef(text)) << text;
    }
}

// Guards against data folders that a new version can't read.
TEST(WorkflowStoredForm, RecordsWithoutCrashesStillLoad)
{
    const auto step = decodeEarlier<workflow::StepRecord>(EarlierStepRecord{});
    ASSERT_EQ(step.tasks.size(), 1U);
    EXPECT_EQ(step.tasks[0].run, 3U);
    EXPECT_EQ(step.tasks[0].crashes.total, 0U);
    EXPECT_EQ(step.lastFailedRun, 2U);
    EXPECT_EQ(step.crashes.total, 0U);
    const auto worker = decodeEarlier<workflow::WorkerRecord>(EarlierWorkerRecord{});
    EXPECT_TRUE(worker.draining);
    EXPECT_FALSE(worker.crashed);
    EXPECT_TRUE(step.tasks[0].unresolvedRuns.empty());
    EXPECT_FALSE(step.tasks[0].doneEarlier);
    const auto ends = decodeEarlier<workflow::EndsEntry>(EarlierEndsEntry{});
    EXPECT_EQ(ends.at.count(), 5);
    EXPECT_TRUE(ends.crashed.empty());
}

TEST(WorkflowStoredForm, EndsAndSnapshotsWithoutRunTimesStillLoad)
{
    const auto end = decodeEarlier<workflow::EndsEntry::End>(EarlierEnd{});
    EXPECT_EQ(end.task.index, 1U);
    EXPECT_EQ(end.checkpoint, "saved");
    EXPECT_EQ(end.runTime, 0ms);
    const auto state = decodeEarlier<workflow::State>(EarlierState{});
    EXPECT_EQ(state.workers().size(), 1U);
    EXPECT_EQ(state.runTimes().expectedRunTime("queue", 100ms), 100ms);
}

// Guards against a log that a new version can't read.
TEST(WorkflowStoredForm, ForgetEntriesWithoutWorkersStillLoad)
{
    const auto entry = decodeEarlier<workflow::ForgetEntry>(EarlierForgetEntry{});
    EXPECT_EQ(entry.jobs, std::vector<workflow::JobKey>{Key});
    EXPECT_TRUE(entry.drained.empty());
    const auto earlier = decodeEarlier<EarlierForgetEntry>(workflow::ForgetEntry{{Key}, {{"w1", 1}}});
    EXPECT_EQ(earlier.jobs, std::vector<workflow::JobKey>{Key});
}

// Guards against a new leader that takes callers' estimates as they are.
TEST_F(WorkflowState, RunTimesOutliveSnapshots)
{
    constexpr std::uint32_t Tasks = 40;
    accept(Tasks, false);
    workflow::EndsEntry ends;
    ends.worker = 1;
    for (std::uint32_t index = 0; index < Tasks; ++index) {
        place(index, 1, 1);
        ends.ends.push_back({{Key, 0, 0, index}, 1, workflow::RunOutcome::Done, {}, 700ms});
    }
    apply(ends);
    const std::string &queue = state_.findJob(Key)->policy.queue;
    const auto restored = workflow::State::restore(state_.snapshot());
    ASSERT_TRUE(restored.has_value());
    EXPECT_GE(restored->runTimes().expectedRunTime(queue, 100ms), 690ms);
    EXPECT_EQ(restored->runTimes().expectedRunTime(queue, 50ms), state_.runTimes().expectedRunTime(queue, 50ms));
}

// Guards against a crash that two leaders record, and against runs that have ended before it.
TEST_F(WorkflowState, CrashCountsOnceAndOnlyAgainstRunsThatWereThere)
{
    accept(3, false);
    place(0, 1, 1);
    place(1, 1, 1);
    place(2, 1, 2);
    workflow::EndsEntry crash;
    crash.worker = 1;
    crash.crashed = {{{Key, 0, 0, 0}, 1}, {{Key, 0, 0, 1}, 1}, {{Key, 0, 0, 2}, 1}};
    apply(crash);
    apply(crash);
    EXPECT_EQ(task(0).crashes.total, 1U);
    EXPECT_EQ(task(1).crashes.total, 1U);
    EXPECT_EQ(task(1).crashes.alone, 0U);
    EXPECT_EQ(task(2).crashes.total, 0U) << "it runs on another worker";
    EXPECT_EQ(task(0).phase, TaskPhase::Placed) << "its release is recorded separately";
}

// Guards against a job that fails because a third of all workers crashed three times for a cause of their own, and its
// task was alone on one of them.
TEST_F(WorkflowState, CrashesOfManyWorkersTogetherAreNotBlamedOnATask)
{
    constexpr std::uint32_t Rounds = 4;
    accept(1 + Rounds * 3, false);
    for (std::uint32_t round = 1; round <= Rounds; ++round) {
        const std::uint32_t other = 1 + (round - 1) * 3;
        crashTogether(round, {0, other, other + 1, other + 2});
        EXPECT_FALSE(state_.findJob(Key)->hasEnded()) << round;
        EXPECT_FALSE(task(0).crashes.isUndecided());
    }
    EXPECT_EQ(task(0).crashes.alone, Rounds);
}

// Guards against a job that fails because the same tasks were on all workers that crashed together three times: each of
// them explained its own crash.
TEST_F(WorkflowState, CommonCrashesOfTheSameTasksAreNotBlamedOnThem)
{
    constexpr std::uint32_t Rounds = 3;
    accept(4, false);
    for (std::uint32_t round = 1; round <= Rounds; ++round) {
        crashTogether(round, {0, 1, 2, 3});
        EXPECT_FALSE(state_.findJob(Key)->hasEnded()) << round;
        EXPECT_FALSE(task(0).crashes.isUndecided());
    }
    EXPECT_EQ(task(0).crashes.alone, Rounds);
}

TEST_F(WorkflowState, JobFailsAfterThreeCrashesOnlyIfItsTaskWasAlone)
{
    accept(2, false);
    const auto crash = [&](std::uint32_t run, workflow::WorkerNumber worker, bool alone) {
        place(0, run, worker);
        workflow::EndsEntry entry;
        entry.worker = worker;
        entry.at = run * 10s;
        entry.crashed = {{{Key, 0, 0, 0}, run}};
        if (!alone) {
            place(1, run, worker);
            entry.crashed.push_back({{Key, 0, 0, 1}, run});
        }
        apply(entry);
        apply(workflow::WorkerGoneEntry{worker, {}});
        workflow::WorkerIdentity next;
        next.id = "next" + std::to_string(run);
        apply(workflow::WorkerJoinedEntry{next});
    };
    crash(1, 1, false);
    crash(2, 2, false);
    crash(3, 3, false);
    EXPECT_EQ(task(0).crashes.total, 3U);
    EXPECT_FALSE(state_.findJob(Key)->hasEnded()) << "the other task may be to blame";
    crash(4, 4, true);
    EXPECT_TRUE(task(0).crashes.isUndecided()) << "other workers may crash at about the same time";
    workflow::EndsEntry later;
    later.at = 43s;
    apply(later);
    EXPECT_EQ(state_.findJob(Key)->phase, JobPhase::Failed);
    EXPECT_NE(state_.findJob(Key)->failureReason(Key)->find("crashed 4 workers"), std::string::npos);
}
