#include "base/invariant.h"
#include "base/log.h"
#include "workflow/job_manager.h"

#include <algorithm>

namespace yuccawheel::workflow
{

namespace
{

constexpr std::chrono::milliseconds LookWait{2'000}; ///< Longest that workers let an answer wait for an end.
constexpr std::chrono::milliseconds QuickLookInterval{100}; ///< While a run's fate is to be found out.
constexpr std::chrono::milliseconds RetryInterval{200}; ///< After an order without an answer.
constexpr std::chrono::milliseconds StopInterval{500}; ///< A stop takes 400 ms at most.
constexpr std::uint32_t MostStartCalls = 2;
constexpr std::chrono::milliseconds ReportSilence{10'000}; ///< Six reports missed.
constexpr std::chrono::milliseconds LeaseMargin{200}; ///< For rounding, and the way of a worker's last answer.

} // namespace

WorkerView &JobManager::addWorker(WorkerNumber number, const WorkerRecord &record, base::TimePoint now)
{
    WorkerView &worker = workers_[number];
    worker.identity = record.identity;
    worker.proposedTo = record.lastNumber;
    worker.lastReport = now;
    worker.draining = record.draining;
    ledger_.grow(number + 1);
    ledger_.setCapacity(number, record.identity.capacity);
    dispatchDue_ = true;
    return worker;
}

void JobManager::removeWorker(WorkerNumber number)
{
    const auto found = workers_.find(number);
    if (found == workers_.end()) {
        return;
    }
    std::vector<TaskRef> onTheirWay;
    for (const auto &[task, reservation] : reservations_) {
        if (reservation.worker == number) {
            onTheirWay.push_back(task);
        }
    }
    for (const TaskRef &task : onTheirWay) {
        unreserve(task);
    }
    ledger_.setCapacity(number, {});
    pace_.forget(number);
    base::logInfo("worker_gone").with("worker", found->second.identity.id).with("number", number);
    port_.forget(found->second.identity);
    workers_.erase(found);
    dispatchDue_ = true;
}

// Reports of a life that is over may arrive late, so a lower time of birth is old news.
bool JobManager::joins(const WorkerReport &report, base::TimePoint now)
{
    bool known = false;
    for (auto &[number, worker] : workers_) {
        const bool sameId = worker.identity.id == report.worker.id;
        if (!sameId && worker.identity.address != report.worker.address) {
            continue;
        }
        if (report.worker.born < worker.identity.born) {
            return false;
        }
        if (sameId && report.worker.born == worker.identity.born) {
            known = true;
        } else if (!worker.over) {
            markOver(number, worker, now);
            known = known || sameId;
        } else {
            known = known || sameId;
        }
    }
    return !known;
}

void JobManager::onReport(const WorkerReport &report, base::TimePoint now)
{
    if (!isLeading()) {
        return;
    }
    if (report.leaving) {
        onLeaving(report.worker);
        return;
    }
    const bool isNew = joins(report, now);
    for (auto &[number, worker] : workers_) {
        if (worker.identity.id != report.worker.id) {
            continue;
        }
        if (report.worker.born > worker.identity.born) {
            joining_[report.worker.id] = report;
            return;
        }
        if (report.worker.born != worker.identity.born || report.sequence <= worker.reportSequence) {
            return;
        }
        worker.reportSequence = report.sequence;
        worker.lastReport = now;
        worker.lease.observe(report.clock, now);
        if (worker.draining != report.draining) {
            base::logInfo("worker_draining")
                .with("worker", worker.identity.id)
                .with("draining", report.draining)
                .with("remaining_ms", report.drainRemaining.count());
            worker.draining = report.draining || state_->isDraining(worker.identity);
            dispatchDue_ = true;
        }
        return;
    }
    if (isNew && !report.draining && mayAct(now)) {
        const auto [place, added] = joining_.try_emplace(report.worker.id, report);
        place->second = report;
        port_.propose(WorkerJoinedEntry{report.worker});
    }
}

// A last report that does not say which life it ends counts only for one that is known to be on its way out: it may be
// an earlier one's that was delayed.
void JobManager::onLeaving(const WorkerIdentity &leaving)
{
    for (auto &[number, worker] : workers_) {
        const bool sameLife = leaving.born == worker.identity.born || (leaving.born == 0 && worker.draining);
        if (worker.identity.id == leaving.id && sameLife && !worker.goneProposed) {
            proposeGone(number, worker, "leaving");
        }
    }
}

// Another life has begun at the worker's place. Orders on their way to the old one may still reach the new one if it
// bears the same id, so each placed run is stopped there before the log gives its place up.
void JobManager::markOver(WorkerNumber number, WorkerView &worker, base::TimePoint now)
{
    if (std::exchange(worker.over, true)) {
        return;
    }
    base::logInfo("worker_replaced").with("worker", worker.identity.id).with("number", number);
    worker.looks.clear();
    for (auto &[task, run] : worker.runs) {
        if (run.stage != LiveRun::Stage::Released && run.stage != LiveRun::Stage::Ended) {
            run.stage = LiveRun::Stage::Stopping;
            run.stopAnsweredAt.reset();
            run.callInFlight = false;
            run.nextCall = now;
        }
    }
    if (worker.runs.empty()) {
        proposeGone(number, worker, "replaced");
    }
}

// A life under another id is at the address, so that nothing meant for this one can reach anybody.
void JobManager::replacedBy(WorkerNumber number, WorkerView &worker, base::TimePoint now)
{
    markOver(number, worker, now);
    if (!worker.goneProposed) {
        proposeGone(number, worker, "other_life");
    }
}

void JobManager::proposeGone(WorkerNumber number, WorkerView &worker, std::string_view reason)
{
    worker.over = true;
    WorkerGoneEntry entry;
    entry.worker = number;
    for (const auto &[task, run] : worker.runs) {
        if (!run.checkpoint.empty()) {
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
    if (!mayAct(now) || worker.goneProposed) {
        return;
    }
    if (worker.over && worker.runs.empty()) {
        proposeGone(number, worker, "replaced");
        return;
    }
    const bool leaseOver = now > worker.lease.surelyOverAt() + LeaseMargin;
    const bool silent = worker.failedCalls > 0 || now - worker.lastReport > ReportSilence;
    if (!worker.over && silent && leaseOver && (!worker.runs.empty() || now - worker.lastReport > ReportSilence)) {
        proposeGone(number, worker, "lease_over");
        return;
    }
    for (auto &[task, run] : worker.runs) {
        reviewRun(number, worker, task, run, now);
    }
    reviewLooks(number, worker, now);
}

void JobManager::reviewRun(
    WorkerNumber number, WorkerView &worker, const TaskRef &task, LiveRun &run, base::TimePoint now)
{
    if (run.callInFlight || now < run.nextCall) {
        return;
    }
    switch (run.stage) {
    case LiveRun::Stage::Starting:
        sendStart(number, worker, task, run, now);
        break;
    case LiveRun::Stage::Stopping:
        sendStop(number, worker, task, run, now);
        break;
    case LiveRun::Stage::Released:
        proposeNotStarted(task, run);
        run.nextCall = now + StopInterval;
        break;
    case LiveRun::Stage::Present:
    case LiveRun::Stage::Uncertain:
    case LiveRun::Stage::Ended:
        break;
    }
}

bool JobManager::hasUnconfirmedStart(const WorkerView &worker)
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto &item) {
        const LiveRun &run = item.second;
        return run.stage == LiveRun::Stage::Starting || run.stage == LiveRun::Stage::Uncertain
            || (run.stage == LiveRun::Stage::Stopping && run.startUnanswered);
    });
}

// One look waits at the worker for the next end. A second one, which does not wait, is sent beside it while the fate of
// a run has to be found out.
void JobManager::reviewLooks(WorkerNumber number, WorkerView &worker, base::TimePoint now)
{
    if (!mayAct(now) || worker.goneProposed) {
        return;
    }
    const bool unsure = std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto &item) {
        const LiveRun &run = item.second;
        return run.stage == LiveRun::Stage::Uncertain
            || (run.stage == LiveRun::Stage::Stopping && run.stopAnsweredAt.has_value());
    });
    const auto record = state_->workers().find(number);
    const std::uint64_t noted = record == state_->workers().end() ? 0 : record->second.lastNumber;
    const bool unacknowledged = !worker.over && worker.acknowledged < noted;
    const bool endsOnTheirWay = worker.proposedTo > noted;
    const bool quickDue = now >= worker.nextLook;
    if (unsure && quickDue && !worker.hasLook(true)) {
        sendLook(number, worker, true, now);
        return;
    }
    // With a start unconfirmed nothing is acknowledged, and the same ends would be listed again at once.
    const bool inVain = endsOnTheirWay || (unacknowledged && hasUnconfirmedStart(worker));
    if (worker.over || worker.hasLook(false) || inVain) {
        return;
    }
    if (!worker.runs.empty() && (worker.failedCalls == 0 || quickDue)) {
        sendLook(number, worker, false, now);
    } else if (unacknowledged && quickDue && !worker.hasLook(true)) {
        sendLook(number, worker, true, now);
    }
}

void JobManager::sendLook(WorkerNumber number, WorkerView &worker, bool quick, base::TimePoint now)
{
    PollOrder order;
    order.number = nextLook_++;
    order.epoch = epoch_;
    // The lease of a worker that does not answer must come to its end: orders may still reach it.
    if (worker.failedCalls == 0) {
        order.leaseUntil = worker.lease.extension(limits_.workerLease, now);
    }
    if (order.leaseUntil) {
        worker.lease.granted(*order.leaseUntil);
    }
    const auto record = state_->workers().find(number);
    // Numbers of ends begin anew with each life. A life that nothing has been heard of since a run was ordered may be a
    // new one: what it has ended must not be taken for noted.
    const bool sameLife = !worker.over && worker.failedCalls == 0 && !hasUnconfirmedStart(worker);
    order.acknowledged = sameLife && record != state_->workers().end() ? record->second.lastNumber : 0;
    // Without a reading of the clock the lease can't be renewed, so the first answer is wanted at once.
    const bool wait = !quick && order.leaseUntil && worker.failedCalls == 0;
    order.wait = wait ? LookWait : std::chrono::milliseconds{0};
    worker.looks[order.number] = {now, quick};
    worker.nextLook = now + QuickLookInterval;
    port_.poll(number, worker.identity, order);
}

void JobManager::sendStart(
    WorkerNumber number, WorkerView &worker, const TaskRef &task, LiveRun &run, base::TimePoint now)
{
    const auto until = worker.lease.extension(limits_.workerLease, now);
    if (!mayAct(now) || !until) {
        return; // Tried again by the next review; a look brings the clock.
    }
    const JobRecord &job = *state_->findJob(task.job);
    worker.lease.granted(*until);
    run.callInFlight = true;
    ++run.startCalls;
    port_.start(number,
                worker.identity,
                {task, run.run, job.spec.payload, *until, epoch_, state_->findTask(task)->checkpoint, run.ticket});
}

void JobManager::sendStop(
    WorkerNumber number, WorkerView &worker, const TaskRef &task, LiveRun &run, base::TimePoint now)
{
    if (!mayAct(now)) {
        return;
    }
    run.callInFlight = true;
    run.nextCall = now + StopInterval;
    port_.stop(number, worker.identity, {task, run.run, epoch_});
}

void JobManager::stopRun(LiveRun &run, base::TimePoint now)
{
    if (run.stage == LiveRun::Stage::Stopping || run.stage == LiveRun::Stage::Released
        || run.stage == LiveRun::Stage::Ended) {
        return;
    }
    run.startUnanswered = run.startUnanswered || (run.stage == LiveRun::Stage::Starting && run.callInFlight);
    run.stage = LiveRun::Stage::Stopping;
    run.stopAnsweredAt.reset();
    run.callInFlight = false;
    run.nextCall = now;
}

void JobManager::proposeNotStarted(const TaskRef &task, LiveRun &run)
{
    run.stage = LiveRun::Stage::Released;
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

void JobManager::noteAnswer(WorkerView &worker, std::optional<std::chrono::milliseconds> clock, base::TimePoint now)
{
    if (worker.failedCalls > 0) {
        base::logInfo("worker_answers").with("worker", worker.identity.id).with("failed_calls", worker.failedCalls);
        dispatchDue_ = true;
    }
    worker.failedCalls = 0;
    if (clock && !worker.over) {
        worker.lease.observe(*clock, now);
    }
}

void JobManager::noteNoAnswer(WorkerNumber number, WorkerView &worker, base::TimePoint now)
{
    if (worker.failedCalls++ == 0) {
        base::logWarning("worker_does_not_answer")
            .with("worker", worker.identity.id)
            .with("number", number)
            .with("runs", worker.runs.size())
            .with("lease_left_ms",
                  std::chrono::duration_cast<std::chrono::milliseconds>(worker.lease.surelyOverAt() - now).count());
    }
    worker.nextLook = now + RetryInterval;
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
        if (answer.clock && !worker.over && !worker.lease.isPlausible(*answer.clock, now)) {
            markOver(number, worker, now);
            return;
        }
        noteAnswer(worker, answer.clock, now);
        run->stage = LiveRun::Stage::Present;
        run->presentSince = now;
        present_.insert(task.job);
        reviewLooks(number, worker, now);
        return;
    }
    base::logInfo("start_not_confirmed")
        .with("task", toString(task))
        .with("run", runNumber)
        .with("worker", worker.identity.id)
        .with("outcome", toString(answer.outcome))
        .with("calls", run->startCalls);
    switch (answer.outcome) {
    case OrderOutcome::NoAnswer:
        noteNoAnswer(number, worker, now);
        run->startUnanswered = true;
        run->nextCall = now;
        if (run->startCalls >= MostStartCalls) {
            run->stage = LiveRun::Stage::Uncertain;
        }
        return;
    case OrderOutcome::OtherIncarnation:
        replacedBy(number, worker, now);
        return;
    case OrderOutcome::OldRun:
    case OrderOutcome::StaleEpoch:
        run->stage = LiveRun::Stage::Uncertain;
        return;
    case OrderOutcome::Unhealthy:
        worker.health.failed(task.job, now);
        break;
    case OrderOutcome::NoTicket: {
        const JobRecord *const job = state_->findJob(task.job);
        const auto step = steps_.find({task.job, job->positionOf(task.occurrence, task.step)});
        if (step != steps_.end()) {
            step->second.eligibility.expire(number);
        }
        break;
    }
    default:
        break;
    }
    noteAnswer(worker, answer.clock, now);
    if (run->startUnanswered) {
        stopRun(*run, now); // An earlier order may still be carried out.
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
    run->callInFlight = false;
    if (answer.outcome == OrderOutcome::NoAnswer) {
        noteNoAnswer(number, worker, now);
        run->nextCall = now + RetryInterval;
        return;
    }
    if (answer.outcome == OrderOutcome::OtherIncarnation) {
        replacedBy(number, worker, now);
        return;
    }
    noteAnswer(worker, answer.clock, now);
    if (answer.outcome == OrderOutcome::Done && !run->stopAnsweredAt) {
        run->stopAnsweredAt = now;
    }
    reviewLooks(number, worker, now);
}

void JobManager::onPollAnswer(WorkerNumber number, const PollAnswer &answer, base::TimePoint now)
{
    const auto found = workers_.find(number);
    if (found == workers_.end()) {
        return;
    }
    WorkerView &worker = found->second;
    const auto look = worker.looks.find(answer.number);
    if (look == worker.looks.end()) {
        return;
    }
    const base::TimePoint sentAt = look->second.sentAt;
    worker.looks.erase(look);
    if (answer.outcome == OrderOutcome::NoAnswer || answer.outcome == OrderOutcome::Unhealthy) {
        noteNoAnswer(number, worker, now);
        return;
    }
    if (answer.outcome == OrderOutcome::OtherIncarnation) {
        replacedBy(number, worker, now);
        return;
    }
    if (answer.outcome != OrderOutcome::Done) {
        base::logWarning("worker_poll_refused")
            .with("worker", worker.identity.id)
            .with("outcome", toString(answer.outcome))
            .with("epoch", epoch_);
        worker.nextLook = now + RetryInterval;
        return;
    }
    if (answer.born != 0 && worker.identity.born != 0 && answer.born != worker.identity.born && !worker.over) {
        markOver(number, worker, now);
    }
    noteAnswer(worker, answer.clock, now);
    if (!worker.over) {
        worker.acknowledged = std::max(worker.acknowledged, answer.acknowledged);
        takeEnded(number, worker, answer, now);
    } else {
        takeEndedLater(number, worker, answer);
    }
    takeRunning(number, worker, answer, sentAt, now);
    reviewLooks(number, worker, now);
}

void JobManager::takeEnded(WorkerNumber number, WorkerView &worker, const PollAnswer &answer, base::TimePoint now)
{
    EndsEntry entry;
    entry.worker = number;
    entry.lastNumber = worker.proposedTo;
    entry.at = wall_;
    for (const EndedTask &ended : answer.ended) {
        if (ended.number <= worker.proposedTo) {
            continue;
        }
        entry.lastNumber = std::max(entry.lastNumber, ended.number);
        const auto task = parseTaskRef(ended.task);
        if (!task) {
            base::logWarning("ended_task_unreadable").with("worker", worker.identity.id).with("task", ended.task);
            continue;
        }
        entry.ends.push_back({*task, ended.run, ended.outcome, ended.checkpoint});
        if (ended.outcome == RunOutcome::Done) {
            worker.health.succeeded();
            learnPace(number, *task, ended.run, now);
        } else if (ended.outcome == RunOutcome::Failed) {
            worker.health.failed(task->job, now);
        }
        base::logInfo("task_ended")
            .with("task", ended.task)
            .with("run", ended.run)
            .with("worker", worker.identity.id)
            .with("how", toString(ended.outcome));
    }
    if (entry.lastNumber > worker.proposedTo && port_.propose(entry)) {
        worker.proposedTo = entry.lastNumber;
    }
}

void JobManager::learnPace(WorkerNumber number, const TaskRef &task, std::uint32_t runNumber, base::TimePoint now)
{
    const LiveRun *const run = findRun(number, task, runNumber);
    const JobRecord *const job = state_->findJob(task.job);
    if (run != nullptr && job != nullptr && run->stage == LiveRun::Stage::Present) {
        pace_.learn(number,
                    job->spec.steps[task.step].estimatedRunTime,
                    std::chrono::duration_cast<std::chrono::milliseconds>(now - run->presentSince));
    }
}

// Orders to a life that is over may have reached the next one under the same id. What has ended there has run. The
// numbers are the next life's, and are taken note of once that has joined.
void JobManager::takeEndedLater(WorkerNumber number, WorkerView &worker, const PollAnswer &answer)
{
    EndsEntry entry;
    entry.worker = number;
    entry.lastNumber = state_->workers().at(number).lastNumber;
    entry.at = wall_;
    std::vector<LiveRun *> runs;
    for (const EndedTask &ended : answer.ended) {
        const auto task = parseTaskRef(ended.task);
        LiveRun *const run = task ? findRun(number, *task, ended.run) : nullptr;
        if (run != nullptr && run->stage != LiveRun::Stage::Released && run->stage != LiveRun::Stage::Ended) {
            entry.ends.push_back({*task, ended.run, ended.outcome, ended.checkpoint});
            runs.push_back(run);
        }
    }
    if (!entry.ends.empty() && port_.propose(entry)) {
        base::logInfo("ended_in_next_incarnation").with("worker", worker.identity.id).with("runs", runs.size());
        for (LiveRun *const run : runs) {
            run->stage = LiveRun::Stage::Ended;
        }
    }
}

void JobManager::takeRunning(
    WorkerNumber number, WorkerView &worker, const PollAnswer &answer, base::TimePoint sentAt, base::TimePoint now)
{
    std::map<TaskRef, std::uint32_t> listed;
    for (const RunningTask &running : answer.running) {
        const auto task = parseTaskRef(running.task);
        if (!task) {
            base::logWarning("running_task_unreadable").with("worker", worker.identity.id).with("task", running.task);
            continue;
        }
        listed[*task] = running.run;
        LiveRun *const run = findRun(number, *task, running.run);
        if (run == nullptr) {
            // Not placed there: an order that was given up has been carried out after all.
            base::logWarning("stray_run")
                .with("task", running.task)
                .with("run", running.run)
                .with("worker", worker.identity.id);
            if (mayAct(now)) {
                port_.stop(number, worker.identity, {*task, running.run, epoch_});
            }
            continue;
        }
        if (!running.checkpoint.empty()) {
            run->checkpoint = running.checkpoint;
        }
        if (run->stage == LiveRun::Stage::Starting || run->stage == LiveRun::Stage::Uncertain) {
            run->stage = LiveRun::Stage::Present;
            run->presentSince = now;
            run->callInFlight = false;
            present_.insert(task->job);
        }
    }
    for (const EndedTask &ended : answer.ended) {
        const auto task = parseTaskRef(ended.task);
        if (task) {
            listed.try_emplace(*task, ended.run);
        }
    }
    for (auto &[task, run] : worker.runs) {
        const auto place = listed.find(task);
        if (place != listed.end() && place->second == run.run) {
            continue;
        }
        const bool missing = run.stage == LiveRun::Stage::Uncertain
            || (run.stage == LiveRun::Stage::Present && sentAt > run.presentSince);
        if (missing) {
            base::logInfo("run_not_listed")
                .with("task", toString(task))
                .with("run", run.run)
                .with("worker", worker.identity.id);
            stopRun(run, now);
            reviewRun(number, worker, task, run, now);
        } else if (run.stage == LiveRun::Stage::Stopping && run.stopAnsweredAt && sentAt > *run.stopAnsweredAt) {
            proposeNotStarted(task, run);
            run.nextCall = now + StopInterval;
        }
    }
}

} // namespace yuccawheel::workflow
