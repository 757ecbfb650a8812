#include "workflow/job_manager.h"

#include "base/invariant.h"
#include "base/log.h"

#include <algorithm>

namespace yuccawheel::workflow
{

namespace
{

constexpr std::chrono::milliseconds ReviewInterval{50}; ///< Half of the shortest timeout checked, 100 ms.
constexpr int OtherWorkShare = 2; ///< Time between two decisions, in multiples of the time that the first one took.
constexpr std::chrono::milliseconds JobRetention{150'000}; ///< Callers may read states for 120 s; plus a margin.
/// Reports from before the drain arrive seconds late; managers that were paused may pass them on some minutes late.
constexpr std::chrono::minutes DrainRetention{10};
constexpr std::chrono::milliseconds ForgetInterval{5'000};
constexpr std::chrono::milliseconds SettlementInterval{200}; ///< Exceeds the time until an entry is committed.
constexpr std::chrono::milliseconds PendingCountInterval{500}; ///< A quarter of the age that readers accept.
constexpr std::size_t MaxForgottenPerEntry = 500; ///< Limits the entry size.
// Share of the gang timeout after which a run that is not whole is stopped. The rest is left for the stop orders.
constexpr double MaxGangStartShare = 0.4;
// Share after which a gang that is whole is asked whether it works, early enough to stop it at the share above.
constexpr double GangCheckShare = 0.3;
constexpr double GangAnswerShare = 0.2; ///< Share that workers have to tell whether members are still there.

} // namespace

JobManager::JobManager(ManagerPort &port, ManagerLimits limits) : port_(port), limits_(limits)
{
}

void JobManager::startLeading(const State &state, std::uint64_t epoch, base::TimePoint now, WallTime wall)
{
    stepDown();
    GangStarts earlierStarts = std::exchange(gangStarts_, {});
    if (epoch != epoch_) {
        reportedCapacities_.clear();
        incarnations_.clear();
        drainedHeardAt_.clear();
        earlierStarts = {};
    }
    state_ = &state;
    epoch_ = epoch;
    wall_ = wall;
    for (const auto &[number, record] : state.workers()) {
        WorkerView &worker = addWorker(number, record, now);
        // The previous leader may have renewed the worker's lease until its own leader lease ended.
        worker.lease.assumeHeldUntil(now + limits_.leaderLease + maxLocalTime(limits_.workerLease));
        for (const TaskRef &task : record.placed) {
            const TaskRecord *const placed = state.findTask(task);
            YW_INVARIANT(placed != nullptr, "a placed task exists");
            LiveRun &run = worker.runs[task] = makeRun(task, placed->run);
            run.stage = placed->doneEarlier ? LiveRun::Stage::Stopping : LiveRun::Stage::Uncertain;
            run.wasOnWorker = true;
            adoptReservation(task, number, run.reserved);
        }
    }
    for (const auto &[key, job] : state.jobs()) {
        const auto age = std::max(wall - job.acceptedAt, WallTime{0});
        arrivals_[key] = now - age;
        updateReadySteps(key);
        if (job.hasEnded()) {
            stopJob(key, now);
        } else {
            adoptGangs(key, job, earlierStarts, now);
        }
    }
    base::logInfo("leading")
        .with("epoch", epoch)
        .with("jobs", state.jobs().size())
        .with("workers", state.workers().size())
        .with("placed", reservations_.size())
        .with("configuration", state.configuration().version);
}

void JobManager::stepDown()
{
    if (state_ != nullptr) {
        base::logInfo("leading_ended").with("epoch", epoch_);
    }
    state_ = nullptr;
    workers_.clear();
    usualFailures_ = {};
    jobFailures_.clear();
    directory_ = {};
    ledger_ = {};
    isolation_ = {};
    reservations_.clear();
    readySteps_.clear();
    changedSteps_.clear();
    heldSteps_.clear();
    arrivals_.clear();
    joining_.clear();
    pendingQueries_.clear();
    startedJobs_.clear();
    proposedLateEnds_.clear();
    queryIndexes_.clear();
    dispatch_.reset();
    nextFullDispatch_ = {};
    nextDispatch_ = {};
    nextPendingCount_ = {};
    gateways_.forgetQueries();
}

void JobManager::onEntryApplied(const LogEntry &entry,
                                const std::vector<StateEvent> &events,
                                base::TimePoint now,
                                WallTime wall)
{
    if (!isLeading()) {
        return;
    }
    wall_ = wall;
    for (const StateEvent &event : events) {
        handleEvent(event, now);
    }
    if (const auto *starts = std::get_if<StartsEntry>(&entry)) {
        orderCommittedStarts(*starts, now);
    } else if (const auto *ends = std::get_if<EndsEntry>(&entry)) {
        const auto record = state_->workers().find(ends->worker);
        std::erase_if(proposedLateEnds_, [&](const auto &item) {
            return item.second.worker == ends->worker
                && (record == state_->workers().end() || item.second.lastNumber <= record->second.lastEndNumber);
        });
        const auto worker = workers_.find(ends->worker);
        if (worker != workers_.end()) {
            reviewPolls(worker->first, worker->second, now);
        }
    }
    dispatchDue_ = true;
}

void JobManager::handleEvent(const StateEvent &event, base::TimePoint now)
{
    switch (event.kind) {
    case StateEvent::Kind::ConfigurationChanged:
        base::logInfo("configuration_in_force").with("version", state_->configuration().version);
        break;
    case StateEvent::Kind::JobAccepted: {
        arrivals_[event.job] = now;
        updateReadySteps(event.job);
        const JobRecord &job = *state_->findJob(event.job);
        base::logInfo("job_accepted")
            .with("job", toString(event.job))
            .with("queue", job.policy.queue)
            .with("configuration", state_->configuration().version)
            .with("steps", job.spec.steps.size())
            .with("tasks", job.spec.tasksPerOccurrence())
            .with("core_seconds", estimatedCoreSeconds(job.spec))
            .with("objective_ms", objectiveOf(job, state_->runTimes()).count());
        break;
    }
    case StateEvent::Kind::JobKnown:
        break;
    case StateEvent::Kind::JobEnded: {
        const JobRecord &job = *state_->findJob(event.job);
        base::logInfo("job_ended")
            .with("job", toString(event.job))
            .with("queue", job.policy.queue)
            .with("phase", toString(job.phase))
            .with("reason", job.phase == JobPhase::Failed ? job.failureReason(event.job).value_or("none") : "none")
            .with("after_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - arrivals_[event.job]).count())
            .with("objective_ms", objectiveOf(job, state_->runTimes()).count());
        updateReadySteps(event.job);
        stopJob(event.job, now);
        break;
    }
    case StateEvent::Kind::TaskPlaced:
        break; // Handled by orderCommittedStarts().
    case StateEvent::Kind::TaskReleased: {
        const auto worker = workers_.find(event.worker);
        if (worker != workers_.end()) {
            worker->second.runs.erase(event.task);
        }
        unreserve(event.task);
        logBrokenStart(event.task);
        if (event.outcome != RunOutcome::Done) {
            stopGang(event.task, now);
        }
        updateReadySteps(event.job);
        break;
    }
    case StateEvent::Kind::UnitSuspected: {
        const JobRecord &job = *state_->findJob(event.job);
        const CrashCount &crashes =
            job.crashesOf(job.positionOf(event.task.occurrence, event.task.step), event.task.index);
        base::logInfo("crash_weighed")
            .with("task", toString(event.task))
            .with("crashes", crashes.total)
            .with("alone", crashes.alone)
            .with("blame", crashes.blame);
        break;
    }
    case StateEvent::Kind::TaskDoneEarlier:
        base::logInfo("task_done_earlier").with("task", toString(event.task));
        stopTask(event.task, now);
        updateReadySteps(event.job);
        break;
    case StateEvent::Kind::WorkerJoined: {
        const WorkerRecord &record = state_->workers().at(event.worker);
        WorkerView &worker = addWorker(event.worker, record, now);
        const auto joining = joining_.find(record.identity.id);
        if (joining != joining_.end() && joining->second.worker.born == record.identity.born) {
            const WorkerReport report = joining->second;
            joining_.erase(joining);
            worker.lease.observeClock(report.clock, now);
            worker.draining = worker.draining || report.draining;
            worker.reportSequence = report.sequence;
            worker.lastReport = now;
            worker.lastHeard = now;
            updateCapacity(event.worker, worker, report.worker.capacity);
        }
        base::logInfo("worker_joined")
            .with("worker", record.identity.id)
            .with("number", event.worker)
            .with("address", record.identity.address)
            .with("rack", record.identity.rack());
        reviewPolls(event.worker, worker, now);
        break;
    }
    case StateEvent::Kind::WorkerDraining:
        workers_.at(event.worker).draining = true;
        break;
    case StateEvent::Kind::WorkerGone:
        removeWorker(event.worker);
        break;
    case StateEvent::Kind::JobForgotten:
        startedJobs_.erase(event.job);
        arrivals_.erase(event.job);
        updateReadySteps(event.job);
        break;
    }
}

LiveRun JobManager::makeRun(const TaskRef &task, std::uint32_t number) const
{
    const JobRecord &job = *state_->findJob(task.job);
    const StepSpec &step = job.spec.steps[task.step];
    LiveRun run;
    run.run = number;
    run.reserved = reservationOf(step);
    run.priority = job.policy.priority;
    run.resumable = step.isResumable();
    run.longRunning = step.longRunning;
    run.expectedRunTime = state_->runTimes().expectedRunTime(job.policy.queue, step.estimatedRunTime);
    return run;
}

bool JobManager::isPlaced(const StartsEntry::Start &start) const
{
    const TaskRecord *const task = state_->findTask(start.task);
    return task != nullptr && task->phase == TaskPhase::Placed && task->run == start.run
        && task->worker == start.worker;
}

// The worker may have ended, shrunk or begun to drain between proposal and commit.
bool JobManager::canStart(const StartsEntry::Start &start) const
{
    if (!isPlaced(start)) {
        return false;
    }
    const WorkerView &worker = workers_.at(start.worker);
    return !worker.retired && !worker.draining && worker.isCapacityReported && !ledger_.isExceeded(start.worker);
}

// Returns the first members of the gangs of which a member can't start: the others would wait for it in vain.
std::set<TaskRef> JobManager::findBrokenGangs(const StartsEntry &entry) const
{
    std::set<TaskRef> broken;
    for (const StartsEntry::Start &start : entry.starts) {
        if (isGangMember(start.task) && !canStart(start)) {
            broken.insert(state_->findJob(start.task.job)->crashUnitOf(start.task));
        }
    }
    return broken;
}

// Sends the start orders of committed placements and releases the reservations of rejected ones.
void JobManager::orderCommittedStarts(const StartsEntry &entry, base::TimePoint now)
{
    const std::set<TaskRef> brokenGangs = findBrokenGangs(entry);
    for (const StartsEntry::Start &start : entry.starts) {
        const auto reservation = reservations_.find(start.task);
        if (!isPlaced(start)) {
            if (reservation != reservations_.end() && reservation->second.worker == start.worker) {
                unreserve(start.task);
                updateReadySteps(start.task.job);
            }
            continue;
        }
        WorkerView &worker = workers_.at(start.worker);
        if (findRun(start.worker, start.task, start.run) != nullptr) {
            continue; // Placed by an earlier entry.
        }
        LiveRun &run = worker.runs[start.task] = makeRun(start.task, start.run);
        if (reservation == reservations_.end() || reservation->second.worker != start.worker) {
            // Proposed before this leader started again from the log.
            unreserve(start.task);
            adoptReservation(start.task, start.worker, run.reserved);
        } else {
            run.ticket = reservation->second.ticket;
        }
        const TaskRef gang = state_->findJob(start.task.job)->crashUnitOf(start.task);
        if (!canStart(start) || brokenGangs.contains(gang)) {
            proposeNotStarted(start.task, run); // No start order has been or will be sent.
            continue;
        }
        if (isGangMember(start.task)) {
            gangStarts_.addMember(gang, start.run, start.task, now);
        }
        sendStart(start.worker, worker, start.task, run, now);
        reviewPolls(start.worker, worker, now);
        updateReadySteps(start.task.job);
    }
}

// Updates the ready steps of one job.
void JobManager::updateReadySteps(JobKey key)
{
    const JobRecord *const job = state_->findJob(key);
    if (job == nullptr || job->hasEnded()) {
        readySteps_.erase(readySteps_.lower_bound({key, 0}), readySteps_.upper_bound({key, SIZE_MAX}));
        return;
    }
    for (std::size_t position = 0; position < job->steps.size(); ++position) {
        const StepRecord &step = job->steps[position];
        if (!step.isFinished() && job->hasFinishedDependencies(position)) {
            if (readySteps_.try_emplace({key, position}).second) {
                changedSteps_.insert({key, position});
            }
        } else {
            readySteps_.erase({key, position});
        }
    }
    dispatchDue_ = true;
}

void JobManager::stopJob(JobKey key, base::TimePoint now)
{
    const std::size_t steps = state_->findJob(key)->steps.size();
    for (std::size_t position = 0; position < steps; ++position) {
        stopStep(key, position, now);
    }
}

// Remaining members would wait for the others until their timeout.
void JobManager::stopGang(const TaskRef &member, base::TimePoint now)
{
    const JobRecord *const job = state_->findJob(member.job);
    if (job != nullptr && job->spec.steps[member.step].gang) {
        stopStep(member.job, job->positionOf(member.occurrence, member.step), now);
    }
}

// An earlier leader may have been lost while it was starting or stopping a gang. One that isn't placed as a whole will
// never be; of the others it isn't known yet whether all members are there. Members go on waiting while a leader starts
// again from the log, so it keeps the time since when.
void JobManager::adoptGangs(JobKey key, const JobRecord &job, const GangStarts &earlier, base::TimePoint now)
{
    for (std::size_t position = 0; position < job.steps.size(); ++position) {
        const StepRecord &step = job.steps[position];
        if (!job.specOf(position).gang || step.placed == 0) {
            continue;
        }
        if (step.placed < step.tasks.size()) {
            stopStep(key, position, now);
            continue;
        }
        const TaskRef gang = job.refOf(key, position, 0);
        const std::uint32_t run = step.tasks[0].run;
        if (earlier.isStopping(gang, run)) {
            stopStep(key, position, now);
            continue;
        }
        for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
            gangStarts_.addMember(
                gang, run, job.refOf(key, position, index), earlier.committedAt(gang, run).value_or(now));
        }
        gangStarts_.recordQuestion(gang, run, now);
    }
}

// Members that are there wait for the others and do no work. One whose worker doesn't answer may keep them waiting
// until they give up, so they are stopped as soon as it is clear that the run will hardly become whole in time.
void JobManager::stopIncompleteGangs(base::TimePoint now)
{
    const auto limit = std::chrono::duration_cast<base::Duration>(limits_.gangTimeout * MaxGangStartShare);
    const auto answerTime = std::chrono::duration_cast<base::Duration>(limits_.gangTimeout * GangAnswerShare);
    for (const TaskRef &gang : gangStarts_.incompleteSince(now - limit, now - answerTime)) {
        const std::uint32_t run = state_->findTask(gang)->run;
        if (const auto summary = gangStarts_.recordStop(gang, run)) {
            logNotStarted(gang, run, *summary);
        }
        stopGang(gang, now);
    }
}

// A member may have been lost between its confirmation and the start of the last one. A poll that was pending since
// tells that too late.
void JobManager::checkUnprovenGangs(base::TimePoint now)
{
    const auto age = std::chrono::duration_cast<base::Duration>(limits_.gangTimeout * GangCheckShare);
    for (const TaskRef &member : gangStarts_.takeUnproven(now - age, now)) {
        checkMember(member, now);
    }
}

void JobManager::checkMember(const TaskRef &member, base::TimePoint now)
{
    const TaskRecord &record = *state_->findTask(member);
    LiveRun *const run = findRun(record.worker, member, record.run);
    if (run != nullptr && run->stage == LiveRun::Stage::Running) {
        run->isDoubted = true;
        reviewPolls(record.worker, workers_.at(record.worker), now);
    }
}

void JobManager::stopStep(JobKey key, std::size_t position, base::TimePoint now)
{
    const JobRecord &job = *state_->findJob(key);
    for (std::uint32_t index = 0; index < job.steps[position].tasks.size(); ++index) {
        stopTask(job.refOf(key, position, index), now);
    }
}

void JobManager::stopTask(const TaskRef &task, base::TimePoint now)
{
    const TaskRecord &record = *state_->findTask(task);
    LiveRun *const run = record.phase == TaskPhase::Placed ? findRun(record.worker, task, record.run) : nullptr;
    if (run == nullptr) {
        return;
    }
    if (run->stage == LiveRun::Stage::Starting && run->startCalls == 0) {
        proposeNotStarted(task, *run); // No start order has been or will be sent.
    } else {
        stopRun(*run, now);
        reviewRun(record.worker, workers_.at(record.worker), task, *run, now);
    }
}

// Ends of tasks decide on crashes as well; this is for when there are none.
void JobManager::settleCrashes(base::TimePoint now)
{
    if (now >= nextSettlement_ && state_->hasCrashToSettle(wall_)) {
        nextSettlement_ = now + SettlementInterval;
        EndsEntry entry;
        entry.at = wall_;
        port_.propose(entry);
    }
}

void JobManager::forgetOldRecords(base::TimePoint now)
{
    if (now < nextForget_) {
        return;
    }
    nextForget_ = now + ForgetInterval;
    forgetJobFailures(now);
    ForgetEntry entry;
    for (const auto &[key, job] : state_->jobs()) {
        if (job.hasEnded() && job.placed == 0 && wall_ - job.endedAt > JobRetention
            && entry.jobs.size() < MaxForgottenPerEntry) {
            entry.jobs.push_back(key);
        }
    }
    entry.drained = silentDrainedWorkers(now);
    if (!entry.jobs.empty() || !entry.drained.empty()) {
        port_.propose(entry);
    }
}

std::vector<ForgetEntry::Drained> JobManager::silentDrainedWorkers(base::TimePoint now)
{
    std::erase_if(drainedHeardAt_, [this](const auto &item) { return !state_->drained().contains(item.first); });
    std::vector<ForgetEntry::Drained> result;
    for (const auto &[id, born] : state_->drained()) {
        const auto heardAt = drainedHeardAt_.try_emplace(id, now).first;
        if (!directory_.withId(id).empty()) {
            heardAt->second = now;
        } else if (now - heardAt->second > DrainRetention && result.size() < MaxForgottenPerEntry) {
            result.push_back({id, born});
        }
    }
    return result;
}

void JobManager::tick(base::TimePoint now, WallTime wall)
{
    if (!isLeading()) {
        return;
    }
    wall_ = wall;
    if (now >= nextReview_) {
        nextReview_ = now + ReviewInterval;
        for (auto &[number, worker] : workers_) {
            reviewWorker(number, worker, now);
        }
        checkUnprovenGangs(now);
        stopIncompleteGangs(now);
        failOverdueQueries(now);
        forgetOldRecords(now);
        settleCrashes(now);
        dispatchDue_ = true;
    }
    if (now < nextDispatch_) {
        return;
    }
    const bool isFullDue = dispatch_ || (dispatchDue_ && now >= nextFullDispatch_);
    if (!changedSteps_.empty() && !(isFullDue && wasUrgentDispatch_)) {
        wasUrgentDispatch_ = true;
        dispatchUrgent(now);
    } else if (isFullDue) {
        wasUrgentDispatch_ = false;
        dispatch_ ? continueDispatch(now) : startDispatch(now);
    }
}

void JobManager::recordTickTime(base::Duration taken, base::TimePoint end)
{
    nextDispatch_ = std::max(nextDispatch_, end + OtherWorkShare * taken);
}

base::TimePoint JobManager::nextTick(base::TimePoint now) const
{
    const bool anyDue = dispatch_ || !changedSteps_.empty();
    const base::TimePoint next = anyDue ? nextDispatch_
        : dispatchDue_                  ? std::max(nextDispatch_, nextFullDispatch_)
                                        : nextReview_;
    return std::max(now, next);
}

// Counts the jobs of all queues at once: thousands of them are too many to look at for each reader.
std::size_t JobManager::pendingJobs(const std::string &queue, base::TimePoint now)
{
    YW_INVARIANT(isLeading(), "only a leader counts jobs");
    if (now >= nextPendingCount_) {
        nextPendingCount_ = now + PendingCountInterval;
        countPendingJobs();
    }
    const auto found = pendingJobs_.find(queue);
    return found == pendingJobs_.end() ? 0 : found->second;
}

void JobManager::countPendingJobs()
{
    pendingJobs_.clear();
    for (const auto &[key, job] : state_->jobs()) {
        if (!job.hasEnded() && !job.begun && !startedJobs_.contains(key)) {
            ++pendingJobs_[job.policy.queue];
        }
    }
}

} // namespace yuccawheel::workflow
