#include "base/invariant.h"
#include "base/log.h"
#include "workflow/job_manager.h"

#include <algorithm>
#include <utility>

namespace yuccawheel::workflow
{

namespace
{

constexpr std::chrono::milliseconds MaxPollWait{2'000}; ///< Maximum time that workers delay an answer until a run ends.
constexpr std::chrono::milliseconds QuickPollInterval{100}; ///< While the state of a run is uncertain.
constexpr std::chrono::milliseconds RetryInterval{200}; ///< After an unanswered order.
constexpr std::chrono::milliseconds IdleRetryInterval{1'000}; ///< After an unanswered poll of a worker without runs.
constexpr std::chrono::milliseconds StopInterval{500}; ///< Exceeds the 400 ms that a stop may take.
constexpr std::uint32_t MaxStartCalls = 2;
constexpr int LongestTimeAtWorkFactor = 2; ///< In multiples of the expected run time.
constexpr std::chrono::milliseconds LongestTimeAtWork = std::chrono::hours(24);
constexpr std::chrono::milliseconds ReportTimeout{10'000}; ///< Six missed reports.
constexpr unsigned FenceIncarnationBits = 20; ///< The term takes the others.
constexpr std::chrono::milliseconds LeaseMargin{200}; ///< For rounding and the delay of a worker's last answer.
constexpr std::chrono::seconds JobFailureMemory{60};
constexpr std::size_t MaxCheckpointBytesPerEntry = std::size_t{256} * 1024; ///< The log refuses entries of 768 KiB.

} // namespace

WorkerView &JobManager::addWorker(WorkerNumber number, const WorkerRecord &record, base::TimePoint now)
{
    WorkerView &worker = workers_[number];
    worker.identity = record.identity;
    worker.health = WorkerHealth(&usualFailures_);
    if (const ReportedCapacity *const reported = findReportedCapacity(record.identity)) {
        worker.identity.capacity = reported->capacity;
        worker.isCapacityReported = true;
    }
    noteIncarnation(record.identity);
    directory_.add(number, record.identity);
    worker.proposedEndNumber = record.lastEndNumber;
    worker.lastReport = now;
    worker.draining = record.draining;
    ledger_.grow(number + 1);
    ledger_.setReportedCapacity(number, worker.identity.capacity);
    dispatchDue_ = true;
    return worker;
}

// Orders without an answer may be carried out seconds later, by a next incarnation too if it has the same id. It
// refuses those to earlier ones once it has had an order itself.
std::uint64_t JobManager::fenceOf(const WorkerIdentity &worker) const
{
    const auto found = incarnations_.find(worker.id);
    const std::uint64_t restarts = found == incarnations_.end() ? 0 : found->second.restarts;
    return (epoch_ << FenceIncarnationBits) + restarts;
}

void JobManager::noteIncarnation(const WorkerIdentity &worker)
{
    const auto [found, added] = incarnations_.try_emplace(worker.id, Incarnation{worker.born, 0});
    if (!added && worker.born > found->second.born) {
        found->second.born = worker.born;
        ++found->second.restarts;
    }
}

void JobManager::removeWorker(WorkerNumber number)
{
    const auto found = workers_.find(number);
    if (found == workers_.end()) {
        return;
    }
    std::vector<TaskRef> reserved;
    for (const auto &[task, reservation] : reservations_) {
        if (reservation.worker == number) {
            reserved.push_back(task);
        }
    }
    for (const TaskRef &task : reserved) {
        unreserve(task);
    }
    ledger_.setReportedCapacity(number, {});
    speeds_.removeWorker(number);
    base::logInfo("worker_gone").with("worker", found->second.identity.id).with("number", number);
    port_.forget(found->second.identity);
    if (findReportedCapacity(found->second.identity) != nullptr) {
        reportedCapacities_.erase(found->second.identity.id);
    }
    std::erase_if(proposedLateEnds_, [number](const auto &item) { return item.second.worker == number; });
    directory_.remove(number, found->second.identity);
    workers_.erase(found);
    dispatchDue_ = true;
}

// Retires the incarnations that a reporting worker replaces and returns whether the worker is new. Reports of
// earlier incarnations may arrive late, so those with an earlier start are ignored.
bool JobManager::retireReplacedWorkers(const WorkerReport &report, base::TimePoint now)
{
    bool known = false;
    for (const WorkerNumber number : directory_.withIdOrAddress(report.worker.id, report.worker.address)) {
        ++cost_.workersMatched;
        WorkerView &worker = workers_.at(number);
        const bool sameId = worker.identity.id == report.worker.id;
        if (report.worker.born < worker.identity.born) {
            return false;
        }
        if (sameId && report.worker.born == worker.identity.born) {
            known = true;
        } else {
            retireWorker(number, worker, now);
            known = known || sameId;
            // Orders in flight go to the earlier address, so none can reach the new incarnation.
            if (sameId && worker.identity.address != report.worker.address && !worker.goneProposed) {
                proposeGone(number, worker, "moved");
            }
        }
    }
    return !known;
}

bool JobManager::isKnown(const WorkerIdentity &identity) const
{
    const std::vector<WorkerNumber> numbers = directory_.withId(identity.id);
    return std::any_of(numbers.begin(), numbers.end(), [&](WorkerNumber number) {
        return workers_.at(number).identity.born == identity.born;
    });
}

// A report that names an unknown service comes from no worker of ours and replaces none, whatever its address.
void JobManager::onReport(const WorkerReport &report, base::TimePoint now)
{
    if (!isLeading()) {
        return;
    }
    if (const auto heardAt = drainedHeardAt_.find(report.worker.id); heardAt != drainedHeardAt_.end()) {
        heardAt->second = now;
    }
    if (report.leaving) {
        onLeaving(report.worker, now);
        return;
    }
    if (!state_->configuration().mayHaveService(report.worker.service) && !isKnown(report.worker)) {
        base::logInfo("report_ignored").with("worker", report.worker.id).with("service", report.worker.service);
        return;
    }
    noteIncarnation(report.worker);
    const bool isNew = retireReplacedWorkers(report, now);
    for (const WorkerNumber number : directory_.withId(report.worker.id)) {
        ++cost_.workersMatched;
        WorkerView &worker = workers_.at(number);
        if (report.worker.born > worker.identity.born) {
            joining_[report.worker.id] = report;
            return;
        }
        if (report.worker.born != worker.identity.born || report.sequence <= worker.reportSequence) {
            return;
        }
        worker.reportSequence = report.sequence;
        worker.lastReport = now;
        worker.lastHeard = now;
        worker.lease.observeClock(report.clock, now);
        if (worker.failedCalls > 0) {
            worker.nextPollAt = now;
        }
        if (worker.draining != report.draining) {
            base::logInfo("worker_draining")
                .with("worker", worker.identity.id)
                .with("draining", report.draining)
                .with("remaining_ms", report.drainRemaining.count());
            worker.draining = report.draining || state_->isDraining(worker.identity);
            dispatchDue_ = true;
        }
        updateCapacity(number, worker, report.worker.capacity);
        return;
    }
    if (isNew && !report.draining && canSendOrders(now)) {
        const auto [joining, added] = joining_.try_emplace(report.worker.id, report);
        joining->second = report;
        port_.propose(WorkerJoinedEntry{report.worker});
    }
}

const JobManager::ReportedCapacity *JobManager::findReportedCapacity(const WorkerIdentity &worker) const
{
    const auto reported = reportedCapacities_.find(worker.id);
    return reported != reportedCapacities_.end() && reported->second.born == worker.born ? &reported->second : nullptr;
}

// The log gets the new capacity too, for the next leader.
void JobManager::updateCapacity(WorkerNumber number, WorkerView &worker, const placement::Resources &reported)
{
    if (reported != worker.identity.capacity) {
        base::logInfo("worker_capacity_changed")
            .with("worker", worker.identity.id)
            .with("millicores", reported.milliCpu)
            .with("memory_mib", reported.memoryMib)
            .with("accelerators", reported.accelerators)
            .with("millicores_before", worker.identity.capacity.milliCpu)
            .with("reserved_millicores", ledger_.reserved(number).milliCpu);
        worker.identity.capacity = reported;
        ledger_.setReportedCapacity(number, reported);
        dispatchDue_ = true;
    }
    reportedCapacities_[worker.identity.id] = {worker.identity.born, reported};
    dispatchDue_ = dispatchDue_ || !worker.isCapacityReported;
    worker.isCapacityReported = true;
    const auto record = state_->workers().find(number);
    if (record != state_->workers().end() && record->second.identity.capacity != reported) {
        port_.propose(WorkerJoinedEntry{worker.identity});
    }
}

// A leaving worker goes on until its last report is acknowledged, or for some seconds if no acknowledgement reaches it.
// So its runs are stopped before they are released; if it doesn't answer, they end with its lease. A report without an
// incarnation counts only for a draining worker, because it may be a delayed one of an earlier incarnation.
void JobManager::onLeaving(const WorkerIdentity &leaving, base::TimePoint now)
{
    for (const WorkerNumber number : directory_.withId(leaving.id)) {
        WorkerView &worker = workers_.at(number);
        const bool sameIncarnation = leaving.born == worker.identity.born || (leaving.born == 0 && worker.draining);
        if (!sameIncarnation || worker.goneProposed || std::exchange(worker.leaving, true)) {
            continue;
        }
        base::logInfo("worker_leaving")
            .with("worker", worker.identity.id)
            .with("number", number)
            .with("runs", worker.runs.size());
        worker.draining = true;
        for (auto &[task, run] : worker.runs) {
            stopRun(run, now);
            stopGang(task, now);
        }
        reviewWorker(number, worker, now);
    }
}

// Counts a crash against the runs that were there: the incarnation has ended without leaving. The end of a worker that
// was draining is planned, and of one that is merely silent it isn't known whether it has ended.
void JobManager::noteCrash(WorkerNumber number, WorkerView &worker, base::TimePoint now)
{
    const auto record = state_->workers().find(number);
    if (worker.draining || record == state_->workers().end() || record->second.crashed) {
        return;
    }
    for (const auto &[task, run] : worker.runs) {
        const bool hasEnded = run.stage == LiveRun::Stage::ReleaseProposed || run.stage == LiveRun::Stage::EndProposed;
        if (run.wasOnWorker && !hasEnded && !run.mayBeInSuccessor) {
            worker.crashedRuns.push_back({task, run.run});
            worker.timesAtWork.push_back(timeAtWork(worker, task, run, now));
        }
    }
    proposeCrash(number, worker);
}

// The worker crashed between its last answer and the first call that failed. A run that an earlier leader has started
// had most likely ended if it took much longer than expected; one that lasts doesn't end.
TimeAtWork
JobManager::timeAtWork(const WorkerView &worker, const TaskRef &task, const LiveRun &run, base::TimePoint now) const
{
    const auto between = [](base::TimePoint from, base::TimePoint to) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(to - from, base::Duration{0}));
    };
    const JobRecord *const job = state_->findJob(task.job);
    if (job == nullptr) {
        return {};
    }
    const StepSpec &spec = job->spec.steps[task.step];
    const bool isConfirmed = run.runningSince != base::TimePoint{};
    const base::TimePoint failedAt = worker.failedCalls > 0 ? worker.silentSince : now;
    TimeAtWork time;
    time.atLeast = isConfirmed ? between(run.runningSince, worker.lastHeard) : std::chrono::milliseconds{0};
    time.atMost = LongestTimeAtWork;
    if (!spec.longRunning) {
        time.atMost = std::min(time.atMost,
                               LongestTimeAtWorkFactor
                                   * state_->runTimes().expectedRunTime(job->policy.queue, spec.estimatedRunTime));
    }
    if (run.startCalls > 0) {
        const bool isStartKnown = isConfirmed && run.isTimed;
        time.atMost = std::min(time.atMost, between(isStartKnown ? run.runningSince : run.orderedAt, failedAt));
    }
    time.atMost = std::max(time.atMost, time.atLeast);
    return time;
}

void JobManager::recordFailure(
    WorkerNumber number, WorkerView &worker, const TaskRef &task, std::chrono::milliseconds ran, base::TimePoint now)
{
    const JobRecord *const job = state_->findJob(task.job);
    if (job != nullptr) {
        JobFailures &failures = jobFailures_[task.job];
        failures.workers[number] = now;
        failures.position = job->positionOf(task.occurrence, task.step);
        failures.ran = ran;
    }
    const auto weightOfJob = [&](JobKey key) {
        return weightOfFailures(key, number, now);
    };
    if (worker.health.recordFailure(task.job, ran, weightOfJob, now)) {
        base::logWarning("worker_quarantined")
            .with("worker", worker.identity.id)
            .with("task", toString(task))
            .with("runs", worker.runs.size())
            .with("ran_ms", ran.count())
            .with("usual_share", usualFailures_.share());
    }
}

// A job that fails elsewhere as well is likely to be at fault itself, unless its tasks do better on most workers.
double JobManager::weightOfFailures(JobKey key, WorkerNumber number, base::TimePoint now) const
{
    const auto found = jobFailures_.find(key);
    const JobRecord *const job = state_->findJob(key);
    if (found == jobFailures_.end() || job == nullptr) {
        return 1;
    }
    const JobFailures &failures = found->second;
    const std::size_t failedElsewhere = failures.workers.size() - failures.workers.count(number);
    if (failedElsewhere == 0) {
        return 1;
    }
    std::size_t sound = job->steps[failures.position].done;
    const TaskRef first = job->refOf(key, failures.position, 0);
    const TaskRef last = job->refOf(key, failures.position, UINT32_MAX);
    for (auto task = reservations_.lower_bound(first); task != reservations_.upper_bound(last); ++task) {
        const WorkerNumber worker = task->second.worker;
        const auto &runs = workers_.at(worker).runs;
        const auto run = runs.find(task->first);
        const bool isSound = run != runs.end() && run->second.stage == LiveRun::Stage::Running && run->second.isTimed
            && now - run->second.runningSince > failures.ran && !failures.workers.contains(worker);
        sound += isSound ? 1 : 0;
    }
    const auto failed = static_cast<double>(failedElsewhere);
    return 1 - failed / (failed + static_cast<double>(sound) + 1);
}

void JobManager::reviewHealth(WorkerNumber number, WorkerView &worker)
{
    const bool wasOnProbation = worker.health.onProbation();
    for (const auto &[task, run] : worker.runs) {
        if (run.stage != LiveRun::Stage::Running || run.isDoubted || run.orderedAt == base::TimePoint{}) {
            continue;
        }
        const auto atWork = std::chrono::duration_cast<std::chrono::milliseconds>(worker.lastHeard - run.runningSince);
        const auto reservation = reservations_.find(task);
        if (reservation != reservations_.end() && reservation->second.worker == number
            && atWork >= WorkerHealth::TrialTime) {
            worker.health.endTrial(std::exchange(reservation->second.trialRound, 0));
        }
        if (worker.health.recordAtWork(run.orderedAt, atWork)) {
            if (wasOnProbation) {
                base::logInfo("worker_restored").with("worker", worker.identity.id).with("task", toString(task));
            }
            dispatchDue_ = true;
            return;
        }
    }
}

void JobManager::forgetJobFailures(base::TimePoint now)
{
    for (auto &[key, failures] : jobFailures_) {
        std::erase_if(failures.workers, [now](const auto &item) { return now - item.second > JobFailureMemory; });
    }
    std::erase_if(jobFailures_, [](const auto &item) { return item.second.workers.empty(); });
}

// Returns false if the log accepts no entries at the moment.
bool JobManager::proposeCrash(WorkerNumber number, WorkerView &worker)
{
    if (worker.crashedRuns.empty()) {
        return true;
    }
    EndsEntry entry;
    entry.worker = number;
    entry.at = wall_;
    entry.crashed = worker.crashedRuns;
    entry.timesAtWork = worker.timesAtWork;
    if (!port_.propose(entry)) {
        return false;
    }
    base::logWarning("worker_crashed")
        .with("worker", worker.identity.id)
        .with("number", number)
        .with("runs", worker.crashedRuns.size())
        .with("first_task", toString(worker.crashedRuns.front().task));
    worker.crashedRuns.clear();
    worker.timesAtWork.clear();
    return true;
}

// Marks a worker as replaced by a new incarnation. Orders in flight may still reach the new one if it has the same id,
// so each placed run is stopped there before its placement is released.
void JobManager::retireWorker(WorkerNumber number, WorkerView &worker, base::TimePoint now)
{
    if (std::exchange(worker.retired, true)) {
        return;
    }
    base::logInfo("worker_replaced").with("worker", worker.identity.id).with("number", number);
    noteCrash(number, worker, now);
    // The next incarnation may have carried out orders in flight and hold a lease from then on.
    worker.lease.assumeHeldUntil(now + maxLocalTime(limits_.workerLease));
    worker.pendingPolls.clear();
    for (auto &[task, run] : worker.runs) {
        if (run.stage != LiveRun::Stage::ReleaseProposed && run.stage != LiveRun::Stage::EndProposed) {
            // The answer of this incarnation tells nothing about orders to the next one.
            run.outdatedStops += run.stage == LiveRun::Stage::Stopping && run.callInFlight ? 1 : 0;
            run.stage = LiveRun::Stage::Stopping;
            run.stopAnsweredAt.reset();
            run.callInFlight = false;
            run.nextCall = now;
        }
    }
    for (const auto &[task, run] : worker.runs) {
        stopGang(task, now);
    }
    if (worker.runs.empty()) {
        proposeGone(number, worker, "replaced");
    }
}

// A worker with another id uses the address now, so no order in flight can reach this one.
void JobManager::handleOtherIncarnation(WorkerNumber number, WorkerView &worker, base::TimePoint now)
{
    retireWorker(number, worker, now);
    if (!worker.goneProposed) {
        proposeGone(number, worker, "other_life");
    }
}

void JobManager::proposeGone(WorkerNumber number, WorkerView &worker, std::string_view reason)
{
    worker.retired = true;
    if (!proposeCrash(number, worker)) {
        return; // The next review tries again; the runs must be placed while the crash is counted.
    }
    WorkerGoneEntry entry;
    entry.worker = number;
    std::size_t checkpointBytes = 0;
    for (const auto &[task, run] : worker.runs) {
        checkpointBytes += run.checkpoint.size();
        if (!run.checkpoint.empty() && checkpointBytes <= MaxCheckpointBytesPerEntry) {
            entry.saved.push_back({task, run.checkpoint});
        }
    }
    worker.goneProposed = port_.propose(entry);
    base::logInfo("worker_given_up")
        .with("worker", worker.identity.id)
        .with("number", number)
        .with("reason", reason)
        .with("runs", worker.runs.size());
}

void JobManager::reviewWorker(WorkerNumber number, WorkerView &worker, base::TimePoint now)
{
    if (!canSendOrders(now) || worker.goneProposed || !proposeCrash(number, worker)) {
        return;
    }
    if ((worker.retired || worker.leaving) && worker.runs.empty()) {
        proposeGone(number, worker, worker.retired ? "replaced" : "leaving");
        return;
    }
    const bool leaseExpired = now > worker.lease.expiresBy() + LeaseMargin;
    const bool silent = worker.failedCalls > 0 || now - worker.lastReport > ReportTimeout;
    // It has reported since the last call without an answer, so it may be back and list what its runs have done.
    const bool mayBeBack = worker.failedCalls > 0 && worker.lastReport > worker.lastTimeout;
    if (silent && leaseExpired && !mayBeBack && (!worker.runs.empty() || now - worker.lastReport > ReportTimeout)) {
        proposeGone(number, worker, "lease_over");
        return;
    }
    for (auto &[task, run] : worker.runs) {
        reviewRun(number, worker, task, run, now);
    }
    if (worker.health.isSuspect()) {
        reviewHealth(number, worker);
    }
    reviewPolls(number, worker, now);
}

void JobManager::reviewRun(
    WorkerNumber number, WorkerView &worker, const TaskRef &task, LiveRun &run, base::TimePoint now)
{
    if (run.callInFlight || now < run.nextCall) {
        return;
    }
    switch (run.stage) {
    case LiveRun::Stage::Starting:
        if (!worker.draining && !ledger_.isExceeded(number)) {
            sendStart(number, worker, task, run, now);
        } else if (run.startCalls == 0) {
            proposeNotStarted(task, run); // No start order has been or will be sent.
        } else {
            run.stage = LiveRun::Stage::Uncertain;
        }
        break;
    case LiveRun::Stage::Stopping:
        sendStop(number, worker, task, run, now);
        break;
    case LiveRun::Stage::ReleaseProposed:
        proposeNotStarted(task, run);
        run.nextCall = now + StopInterval;
        break;
    case LiveRun::Stage::Running:
    case LiveRun::Stage::Uncertain:
    case LiveRun::Stage::EndProposed:
        break;
    }
}

// Keeps one long poll pending, which the worker answers when a run ends. A quick poll is sent in parallel while the
// state of a run is uncertain.
void JobManager::reviewPolls(WorkerNumber number, WorkerView &worker, base::TimePoint now)
{
    if (!canSendOrders(now) || worker.goneProposed) {
        return;
    }
    const bool uncertain = std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto &item) {
        const LiveRun &run = item.second;
        return run.stage == LiveRun::Stage::Uncertain || (run.stage == LiveRun::Stage::Running && run.isDoubted)
            || (run.stage == LiveRun::Stage::Stopping && run.stopAnsweredAt.has_value());
    });
    const auto record = state_->workers().find(number);
    const std::uint64_t recordedEnd = record == state_->workers().end() ? 0 : record->second.lastEndNumber;
    const bool unacknowledged = !worker.retired && worker.acknowledged < recordedEnd;
    const bool endsPending = worker.proposedEndNumber > recordedEnd;
    const bool quickDue = now >= worker.nextPollAt;
    if (uncertain && quickDue && !worker.hasPendingPoll(true)) {
        sendPoll(number, worker, true, now);
        return;
    }
    // The worker would list the same ends again at once.
    if (worker.retired || worker.hasPendingPoll(false) || endsPending) {
        return;
    }
    if (!worker.runs.empty() && (worker.failedCalls == 0 || quickDue)) {
        sendPoll(number, worker, false, now);
    } else if ((worker.failedCalls > 0 || unacknowledged || !worker.hasSettledEnds() || !worker.lease.isClockKnown())
               && quickDue && !worker.hasPendingPoll(true)) {
        sendPoll(number, worker, true, now);
    }
}

void JobManager::sendPoll(WorkerNumber number, WorkerView &worker, bool quick, base::TimePoint now)
{
    PollOrder order;
    order.number = nextPollNumber_++;
    order.fence = fenceOf(worker.identity);
    // Polls may still reach a worker that does not answer. Its lease must expire, so they do not renew it. Nor is there
    // anything to renew on one that has just joined, until its earlier ends are settled.
    // A retired worker's clock is not that of the next incarnation.
    if (worker.failedCalls == 0 && !worker.retired && (!worker.runs.empty() || worker.hasSettledEnds())) {
        order.leaseUntil = worker.lease.readingAfter(limits_.workerLease, now);
    }
    if (order.leaseUntil) {
        worker.lease.recordGrant(*order.leaseUntil);
    }
    const auto record = state_->workers().find(number);
    // Ends are acknowledged also while the outcome of a start is unknown: a list that is cut short shows further ends,
    // and with them whether that run is there, only after its first ones have been acknowledged.
    const bool mayAcknowledge = !worker.retired && worker.failedCalls == 0;
    order.acknowledged = mayAcknowledge && record != state_->workers().end() ? record->second.lastEndNumber : 0;
    // The lease can't be renewed before the first clock reading, so that poll must be answered immediately.
    const bool wait = !quick && order.leaseUntil && worker.failedCalls == 0;
    order.wait = wait ? MaxPollWait : std::chrono::milliseconds{0};
    worker.pendingPolls[order.number] = {now, quick};
    worker.nextPollAt = now + QuickPollInterval;
    port_.poll(number, worker.identity, order);
}

void JobManager::sendStart(
    WorkerNumber number, WorkerView &worker, const TaskRef &task, LiveRun &run, base::TimePoint now)
{
    const auto until = worker.lease.readingAfter(limits_.workerLease, now);
    if (!canSendOrders(now) || !until) {
        return; // The next review retries; a poll provides the missing clock reading.
    }
    const JobRecord &job = *state_->findJob(task.job);
    worker.lease.recordGrant(*until);
    run.callInFlight = true;
    run.orderedAt = now;
    ++run.startCalls;
    if (job.spec.steps[task.step].gang) {
        gangStarts_.recordOrder(job.crashUnitOf(task), run.run, task, now);
    }
    port_.start(number,
                worker.identity,
                {task,
                 run.run,
                 job.spec.payload,
                 *until,
                 fenceOf(worker.identity),
                 state_->findTask(task)->checkpoint,
                 run.ticket});
}

void JobManager::sendStop(
    WorkerNumber number, WorkerView &worker, const TaskRef &task, LiveRun &run, base::TimePoint now)
{
    if (!canSendOrders(now)) {
        return;
    }
    run.callInFlight = true;
    run.nextCall = now + StopInterval;
    port_.stop(number, worker.identity, {task, run.run, fenceOf(worker.identity)});
}

void JobManager::stopRun(LiveRun &run, base::TimePoint now)
{
    if (run.stage == LiveRun::Stage::Stopping || run.stage == LiveRun::Stage::ReleaseProposed
        || run.stage == LiveRun::Stage::EndProposed) {
        return;
    }
    const bool startInFlight = run.stage == LiveRun::Stage::Starting && run.callInFlight;
    run.startUnanswered = run.startUnanswered || startInFlight;
    run.stage = LiveRun::Stage::Stopping;
    run.stopAnsweredAt.reset();
    run.callInFlight = false;
    run.nextCall = now;
}

std::chrono::milliseconds JobManager::ticketLeft(const TaskRef &task, WorkerNumber worker, base::TimePoint now) const
{
    const JobRecord &job = *state_->findJob(task.job);
    const auto step = readySteps_.find({task.job, job.positionOf(task.occurrence, task.step)});
    if (step == readySteps_.end()) {
        return std::chrono::milliseconds{0};
    }
    const auto &tickets = step->second.eligibility.eligible();
    const auto ticket = tickets.find(worker);
    return ticket == tickets.end()
        ? std::chrono::milliseconds{0}
        : std::chrono::duration_cast<std::chrono::milliseconds>(ticket->second.validUntil - now);
}

bool JobManager::isGangMember(const TaskRef &task) const
{
    const JobRecord *const job = state_->findJob(task.job);
    return job != nullptr && job->spec.steps[task.step].gang;
}

void JobManager::confirmStart(const TaskRef &task,
                              LiveRun &run,
                              std::optional<std::chrono::milliseconds> sentAfter,
                              base::TimePoint seenAt,
                              base::TimePoint now)
{
    run.stage = LiveRun::Stage::Running;
    run.wasOnWorker = true;
    run.runningSince = now;
    run.callInFlight = false;
    startedJobs_.insert(task.job);
    if (isGangMember(task)) {
        confirmMember(task, run, sentAfter ? std::optional(run.orderedAt + *sentAfter) : std::nullopt, seenAt, now);
    }
}

void JobManager::confirmMember(const TaskRef &member,
                               LiveRun &run,
                               std::optional<base::TimePoint> sentAt,
                               base::TimePoint seenAt,
                               base::TimePoint now)
{
    const TaskRef gang = state_->findJob(member.job)->crashUnitOf(member);
    run.isDoubted = false;
    const GangStarts::Confirmation confirmation =
        gangStarts_.recordConfirmation(gang, run.run, member, sentAt, seenAt, now);
    for (const TaskRef &other : confirmation.outdated) {
        checkMember(other, now);
    }
    if (const auto &summary = confirmation.summary) {
        base::logInfo("gang_started")
            .with("gang", toString(gang))
            .with("run", run.run)
            .with("members", summary->members)
            .with("orders", summary->orders)
            .with("last_ordered_ms", summary->lastOrdered.count())
            .with("last_sent_ms", summary->lastSent.count())
            .with("last_confirmed_ms", summary->lastConfirmed.count());
    }
}

void JobManager::logBrokenStart(const TaskRef &member)
{
    if (!isGangMember(member)) {
        return;
    }
    const TaskRef gang = state_->findJob(member.job)->crashUnitOf(member);
    const std::uint32_t run = state_->findTask(member)->run;
    if (const auto summary = gangStarts_.remove(gang, run)) {
        logNotStarted(member, run, *summary);
    }
}

void JobManager::logNotStarted(const TaskRef &member, std::uint32_t run, const GangStarts::Summary &summary) const
{
    base::logInfo("gang_not_started")
        .with("gang", toString(state_->findJob(member.job)->crashUnitOf(member)))
        .with("run", run)
        .with("member", toString(member))
        .with("members", summary.members)
        .with("confirmed", summary.confirmed)
        .with("orders", summary.orders)
        .with("last_ordered_ms", summary.lastOrdered.count())
        .with("last_confirmed_ms", summary.lastConfirmed.count());
}

void JobManager::proposeNotStarted(const TaskRef &task, LiveRun &run)
{
    run.stage = LiveRun::Stage::ReleaseProposed;
    run.callInFlight = false; // The answer to a call in flight is ignored now.
    port_.propose(NotStartedEntry{{{task, run.run}}});
}

LiveRun *JobManager::findRun(WorkerNumber worker, const TaskRef &task, std::uint32_t run)
{
    const auto view = workers_.find(worker);
    if (view == workers_.end()) {
        return nullptr;
    }
    const auto found = view->second.runs.find(task);
    return found == view->second.runs.end() || found->second.run != run ? nullptr : &found->second;
}

void JobManager::recordAnswer(WorkerView &worker, std::optional<std::chrono::milliseconds> clock, base::TimePoint now)
{
    if (worker.failedCalls > 0) {
        base::logInfo("worker_answers").with("worker", worker.identity.id).with("failed_calls", worker.failedCalls);
        dispatchDue_ = true;
    }
    worker.failedCalls = 0;
    worker.lastHeard = now;
    if (clock && !worker.retired) {
        worker.lease.observeClock(*clock, now);
    }
}

void JobManager::recordTimeout(WorkerNumber number, WorkerView &worker, base::TimePoint now)
{
    if (worker.failedCalls++ == 0) {
        worker.silentSince = now;
        base::logWarning("worker_does_not_answer")
            .with("worker", worker.identity.id)
            .with("number", number)
            .with("runs", worker.runs.size())
            .with("lease_left_ms",
                  std::chrono::duration_cast<std::chrono::milliseconds>(worker.lease.expiresBy() - now).count());
    }
    for (auto &[task, run] : worker.runs) {
        if (run.stage == LiveRun::Stage::Running && isGangMember(task)) {
            const TaskRef gang = state_->findJob(task.job)->crashUnitOf(task);
            run.isDoubted = gangStarts_.recordDoubt(gang, run.run, task, now) || run.isDoubted;
        }
    }
    worker.lastTimeout = now;
    worker.nextPollAt = now + (worker.runs.empty() ? IdleRetryInterval : RetryInterval);
}

void JobManager::onStartAnswer(
    WorkerNumber number, const TaskRef &task, std::uint32_t runNumber, const OrderAnswer &answer, base::TimePoint now)
{
    LiveRun *const run = findRun(number, task, runNumber);
    if (run == nullptr || run->stage != LiveRun::Stage::Starting) {
        return;
    }
    WorkerView &worker = workers_.at(number);
    run->callInFlight = false;
    if (answer.outcome == OrderOutcome::Done) {
        if (answer.clock && !worker.retired && !worker.lease.isPlausible(*answer.clock, now)) {
            // Of another incarnation, or handled late: the next list names the incarnation.
            run->stage = LiveRun::Stage::Uncertain;
            run->startUnanswered = true;
            run->mayBeInSuccessor = !run->wasOnWorker; // An earlier call may have reached this one.
            run->wasOnWorker = true;
            reviewPolls(number, worker, now);
            return;
        }
        recordAnswer(worker, answer.clock, now);
        run->isTimed = true;
        confirmStart(task, *run, answer.sentAfter, run->orderedAt, now);
        reviewPolls(number, worker, now);
        return;
    }
    base::logInfo("start_not_confirmed")
        .with("task", toString(task))
        .with("run", runNumber)
        .with("worker", worker.identity.id)
        .with("outcome", toString(answer.outcome))
        .with("calls", run->startCalls)
        .with("sent_after_ms", answer.sentAfter ? answer.sentAfter->count() : -1)
        .with("after_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - run->orderedAt).count())
        .with("ticket_left_ms", ticketLeft(task, number, now).count());
    switch (answer.outcome) {
    case OrderOutcome::NoAnswer:
        recordTimeout(number, worker, now);
        run->startUnanswered = true;
        // An order to a worker that is cut off gets no answer either, and tells nothing of a crash behind the cut.
        run->wasOnWorker = run->wasOnWorker || answer.connectionEnded;
        // It is sent again only to the same incarnation: another one knows nothing of the first order, and what that
        // has done may be listed elsewhere, if the task belongs to a gang.
        run->stage = LiveRun::Stage::Uncertain;
        worker.nextPollAt = now;
        reviewPolls(number, worker, now);
        return;
    case OrderOutcome::OtherIncarnation:
        handleOtherIncarnation(number, worker, now);
        return;
    case OrderOutcome::OldRun:
    case OrderOutcome::StaleFence:
        run->stage = LiveRun::Stage::Uncertain;
        return;
    case OrderOutcome::Unhealthy:
        recordFailure(number, worker, task, std::chrono::milliseconds{0}, now);
        break;
    case OrderOutcome::NoTicket: {
        const JobRecord *const job = state_->findJob(task.job);
        const auto step = readySteps_.find({task.job, job->positionOf(task.occurrence, task.step)});
        if (step != readySteps_.end()) {
            step->second.eligibility.expireTicket(number);
        }
        break;
    }
    default:
        break;
    }
    recordAnswer(worker, answer.clock, now);
    if (run->startUnanswered) {
        stopRun(*run, now); // An earlier, unanswered order may still take effect.
    } else {
        proposeNotStarted(task, *run);
    }
}

void JobManager::onStopAnswer(
    WorkerNumber number, const TaskRef &task, std::uint32_t runNumber, const OrderAnswer &answer, base::TimePoint now)
{
    LiveRun *const run = findRun(number, task, runNumber);
    if (run == nullptr || run->stage != LiveRun::Stage::Stopping) {
        return;
    }
    WorkerView &worker = workers_.at(number);
    if (run->outdatedStops > 0) {
        --run->outdatedStops;
        return;
    }
    run->callInFlight = false;
    if (answer.outcome == OrderOutcome::NoAnswer) {
        recordTimeout(number, worker, now);
        run->nextCall = now + RetryInterval;
        return;
    }
    if (answer.outcome == OrderOutcome::OtherIncarnation) {
        handleOtherIncarnation(number, worker, now);
        return;
    }
    recordAnswer(worker, answer.clock, now);
    if (answer.outcome == OrderOutcome::Done && !run->stopAnsweredAt) {
        run->stopAnsweredAt = now;
    }
    reviewPolls(number, worker, now);
}

void JobManager::onPollAnswer(WorkerNumber number, const PollAnswer &answer, base::TimePoint now)
{
    const auto found = workers_.find(number);
    if (found == workers_.end()) {
        return;
    }
    WorkerView &worker = found->second;
    const auto poll = worker.pendingPolls.find(answer.number);
    if (poll == worker.pendingPolls.end()) {
        return;
    }
    const base::TimePoint sentAt = poll->second.sentAt;
    worker.pendingPolls.erase(poll);
    if (answer.outcome == OrderOutcome::NoAnswer || answer.outcome == OrderOutcome::Unhealthy) {
        recordTimeout(number, worker, now);
        return;
    }
    if (answer.outcome == OrderOutcome::OtherIncarnation) {
        handleOtherIncarnation(number, worker, now);
        return;
    }
    if (answer.outcome != OrderOutcome::Done) {
        base::logWarning("worker_poll_refused")
            .with("worker", worker.identity.id)
            .with("outcome", toString(answer.outcome))
            .with("epoch", epoch_);
        worker.nextPollAt = now + RetryInterval;
        return;
    }
    if (answer.born != 0 && worker.identity.born != 0 && answer.born != worker.identity.born) {
        WorkerIdentity next = worker.identity;
        next.born = answer.born;
        noteIncarnation(next);
        retireWorker(number, worker, now);
    }
    recordAnswer(worker, answer.clock, now);
    if (!worker.retired) {
        const bool wasSettled = worker.hasSettledEnds();
        worker.acknowledged = std::max(worker.acknowledged, answer.acknowledged);
        if (answer.areAllEndsListed && !worker.firstListedEnd) {
            // Late orders to an earlier incarnation may have granted a lease before this one's first order.
            worker.lease.assumeHeldUntil(now + maxLocalTime(limits_.workerLease));
            worker.firstListedEnd = answer.ended.empty() ? 0 : answer.ended.back().number;
        }
        dispatchDue_ = dispatchDue_ || (!wasSettled && worker.hasSettledEnds());
        processEndedTasks(number, worker, answer, now);
    } else {
        processEndedInSuccessor(number, worker, answer);
    }
    processRunningTasks(number, worker, answer, sentAt, now);
    reviewPolls(number, worker, now);
}

void JobManager::processEndedTasks(WorkerNumber number,
                                   WorkerView &worker,
                                   const PollAnswer &answer,
                                   base::TimePoint now)
{
    EndsEntry entry;
    entry.worker = number;
    entry.lastEndNumber = worker.proposedEndNumber;
    entry.previousEndNumber = worker.proposedEndNumber;
    entry.at = wall_;
    std::size_t checkpointBytes = 0;
    for (const EndedTask &ended : answer.ended) {
        if (ended.number <= worker.proposedEndNumber) {
            continue;
        }
        checkpointBytes += ended.checkpoint.size();
        if (checkpointBytes > MaxCheckpointBytesPerEntry && !entry.ends.empty()) {
            break; // The worker lists the others again.
        }
        entry.lastEndNumber = std::max(entry.lastEndNumber, ended.number);
        const auto task = parseTaskRef(ended.task);
        const JobRecord *const job = task ? state_->findJob(task->job) : nullptr;
        if (!task || (job != nullptr && state_->findTask(*task) == nullptr)) {
            base::logWarning("ended_task_unreadable").with("worker", worker.identity.id).with("task", ended.task);
            continue;
        }
        EndsEntry::End &end = entry.ends.emplace_back();
        end.task = *task;
        end.run = ended.run;
        end.outcome = ended.outcome;
        end.checkpoint = ended.checkpoint;
        const LiveRun *const run = findRun(number, *task, ended.run);
        const TaskRecord *const record = job == nullptr ? nullptr : state_->findTask(*task);
        if (run == nullptr && record != nullptr && !record->isDone()) {
            base::logInfo("late_end")
                .with("task", ended.task)
                .with("run", ended.run)
                .with("latest_run", record->run)
                .with("phase", toString(record->phase))
                .with("worker", worker.identity.id)
                .with("how", toString(ended.outcome));
        }
        const bool timed = run != nullptr && run->isTimed;
        const auto ran = std::chrono::duration_cast<std::chrono::milliseconds>(timed ? now - run->runningSince
                                                                                     : base::BootClock::duration{0});
        if (ended.outcome == RunOutcome::Done) {
            worker.health.recordSuccess();
            if (timed && job != nullptr && run->stage == LiveRun::Stage::Running) {
                speeds_.recordRunTime(number, job->spec.steps[task->step].estimatedRunTime, ran);
                // A resumed run does only a part of the task's work.
                if (state_->findTask(*task)->checkpoint.empty()) {
                    end.runTime = ran;
                }
            }
        } else if (ended.outcome == RunOutcome::Failed) {
            recordFailure(number, worker, *task, ran, now);
        }
        base::logInfo("task_ended")
            .with("task", ended.task)
            .with("run", ended.run)
            .with("worker", worker.identity.id)
            .with("how", toString(ended.outcome))
            .with("ran_ms", timed ? ran.count() : -1)
            .with("estimated_ms", job == nullptr ? -1 : job->spec.steps[task->step].estimatedRunTime.count());
    }
    if (entry.lastEndNumber <= worker.proposedEndNumber || !port_.propose(entry)) {
        return;
    }
    worker.proposedEndNumber = entry.lastEndNumber;
    for (const EndsEntry::End &end : entry.ends) {
        const JobRecord *const job = state_->findJob(end.task.job);
        if (job != nullptr && findRun(number, end.task, end.run) == nullptr) {
            proposedLateEnds_[job->crashUnitOf(end.task)] = {number, entry.lastEndNumber};
        }
    }
}

// Orders to a retired incarnation may have reached the next one with the same id. Records the runs that ended there,
// but acknowledges none: the end numbers belong to the next incarnation, which acknowledges them after it has joined.
void JobManager::processEndedInSuccessor(WorkerNumber number, WorkerView &worker, const PollAnswer &answer)
{
    EndsEntry entry;
    entry.worker = number;
    entry.lastEndNumber = state_->workers().at(number).lastEndNumber;
    entry.at = wall_;
    std::vector<LiveRun *> runs;
    for (const EndedTask &ended : answer.ended) {
        const auto task = parseTaskRef(ended.task);
        LiveRun *const run = task ? findRun(number, *task, ended.run) : nullptr;
        if (run != nullptr && run->stage != LiveRun::Stage::ReleaseProposed
            && run->stage != LiveRun::Stage::EndProposed) {
            entry.ends.push_back({*task, ended.run, ended.outcome, ended.checkpoint, {}});
            runs.push_back(run);
        }
    }
    if (!entry.ends.empty() && port_.propose(entry)) {
        base::logInfo("ended_in_next_incarnation").with("worker", worker.identity.id).with("runs", runs.size());
        for (LiveRun *const run : runs) {
            run->stage = LiveRun::Stage::EndProposed;
        }
    }
}

void JobManager::processRunningTasks(
    WorkerNumber number, WorkerView &worker, const PollAnswer &answer, base::TimePoint sentAt, base::TimePoint now)
{
    std::set<std::pair<TaskRef, std::uint32_t>> listed;
    for (const RunningTask &running : answer.running) {
        const auto task = parseTaskRef(running.task);
        if (!task) {
            base::logWarning("running_task_unreadable").with("worker", worker.identity.id).with("task", running.task);
            continue;
        }
        listed.emplace(*task, running.run);
        LiveRun *const run = findRun(number, *task, running.run);
        if (run == nullptr) {
            // The run is not placed there: an abandoned start order took effect late.
            base::logWarning("stray_run")
                .with("task", running.task)
                .with("run", running.run)
                .with("worker", worker.identity.id);
            if (canSendOrders(now)) {
                port_.stop(number, worker.identity, {*task, running.run, fenceOf(worker.identity)});
            }
            continue;
        }
        if (!running.checkpoint.empty()) {
            run->checkpoint = running.checkpoint;
        }
        if (isGangMember(*task) && hasProgressed(*task, *run, running.progressPercent)) {
            gangStarts_.remove(state_->findJob(task->job)->crashUnitOf(*task), running.run); // It is whole.
        }
        if (!worker.retired && answer.born == worker.identity.born) {
            run->mayBeInSuccessor = false;
        }
        if (run->stage == LiveRun::Stage::Starting || run->stage == LiveRun::Stage::Uncertain) {
            run->isTimed = run->stage == LiveRun::Stage::Starting;
            confirmStart(*task, *run, std::nullopt, std::max(sentAt, run->orderedAt), now);
        } else if (run->stage == LiveRun::Stage::Running && run->isDoubted) {
            confirmMember(*task, *run, std::nullopt, sentAt, now);
        }
    }
    for (const EndedTask &ended : answer.ended) {
        const auto task = parseTaskRef(ended.task);
        if (task) {
            listed.emplace(*task, ended.run);
            processEndOfMember(number, *task, ended, now);
        }
    }
    if (!answer.isComplete) {
        return;
    }
    for (auto &[task, run] : worker.runs) {
        if (listed.contains({task, run.run})) {
            continue;
        }
        const bool missing = run.stage == LiveRun::Stage::Uncertain
            || (run.stage == LiveRun::Stage::Running && sentAt > run.runningSince);
        const bool mayStartAgain = run.stage == LiveRun::Stage::Uncertain && run.startCalls > 0
            && sentAt > run.orderedAt && run.startCalls < MaxStartCalls && answer.born == worker.identity.born
            && !worker.retired && !worker.draining && !ledger_.isExceeded(number);
        if (mayStartAgain) {
            run.stage = LiveRun::Stage::Starting;
            reviewRun(number, worker, task, run, now);
        } else if (missing) {
            base::logInfo("run_not_listed")
                .with("task", toString(task))
                .with("run", run.run)
                .with("worker", worker.identity.id);
            stopRun(run, now);
            reviewRun(number, worker, task, run, now);
            stopGang(task, now);
        } else if (run.stage == LiveRun::Stage::Stopping && run.stopAnsweredAt && sentAt > *run.stopAnsweredAt) {
            proposeNotStarted(task, run);
            run.nextCall = now + StopInterval;
        }
    }
}

// A member that resumes may list the progress of its checkpoint while it waits for the others.
bool JobManager::hasProgressed(const TaskRef &task, LiveRun &run, std::uint32_t percent) const
{
    if (state_->findTask(task)->checkpoint.empty()) {
        return percent > 0;
    }
    return percent > std::exchange(run.listedPercent, percent).value_or(percent);
}

// The log may take longer to commit the end than the other members wait.
void JobManager::processEndOfMember(WorkerNumber number,
                                    const TaskRef &task,
                                    const EndedTask &ended,
                                    base::TimePoint now)
{
    if (findRun(number, task, ended.run) == nullptr || !isGangMember(task)) {
        return;
    }
    if (ended.outcome == RunOutcome::Done) {
        gangStarts_.remove(state_->findJob(task.job)->crashUnitOf(task), ended.run); // It was whole.
    } else {
        stopGang(task, now);
    }
}

} // namespace yuccawheel::workflow
