#include "base/log.h"
#include "workflow/job_manager.h"

#include <fmt/core.h>

#include <algorithm>
#include <limits>
#include <string_view>
#include <unordered_map>

namespace yuccawheel::workflow
{

namespace
{

// The objective of a job includes one query about this many workers for each step.
constexpr std::size_t TypicalQueryWorkers = 30;
constexpr std::size_t MaxQueryWorkers = 100; ///< Limit of the eligibility service.
// Queries that a gang sends at a time if it has to know more workers. One after the other, they would use up the
// objective of a gang that needs a large part of all workers.
constexpr std::size_t MaxParallelQueries = 6;
constexpr std::size_t MaxWorkersAtATime = MaxParallelQueries * MaxQueryWorkers;
// Candidates examined for each worker that a query may include. Steps that query together choose different ones.
constexpr std::size_t CandidatesPerQueryWorker = 3;
// Bounds the share of time that dispatches take when a backlog makes them long.
constexpr std::chrono::milliseconds MinDispatchInterval{25};
constexpr std::uint64_t MaxExaminedPerTick = 2'000; ///< A few milliseconds.
constexpr std::chrono::milliseconds QueryRetryDelay{100}; ///< After a failed query.
constexpr std::chrono::milliseconds QueryIndexLifetime{100};
constexpr std::chrono::milliseconds QueryTimeoutSlack{800}; ///< Covers a pending query of the previous leader.
constexpr std::chrono::milliseconds RelayTimeoutSlack{500}; ///< Added to the query timeout for the gateway's reply.
constexpr std::chrono::milliseconds MaxRelayDelay{50}; ///< Maximum delay of an answer on an idle network.
constexpr std::chrono::milliseconds TicketMargin{150}; ///< Tickets are renewed this long before they expire.
constexpr std::chrono::milliseconds LoadReportInterval{1'000}; ///< Finest resolution of the metrics collection.
constexpr double MaxClaimedShare = 0.25; ///< Maximum share of CPU capacity held idle for waiting gangs under load.
constexpr double UnclaimedFreeShare = 0.25; ///< Of CPU capacity. Gangs may claim all that is free beyond it.
constexpr double MostShare = 0.5; ///< Of CPU capacity. Beyond it, most is free.
// Covers a stop, the commit of its end and a retry of a lost order.
constexpr std::chrono::milliseconds HoldDuration{900};
constexpr std::chrono::milliseconds BlockCheckInterval{1'000};
// A task may not wait for 3 s beside free capacity for it while most capacity is free.
constexpr std::chrono::milliseconds MaxWaitBesideFreeCapacity{2'000};
constexpr std::chrono::milliseconds SetAsideDuration{1'000}; ///< Extended by each dispatch that still needs the worker.
constexpr double MaxSetAsideShare = 0.1; ///< Of all workers, for suspects that have to run alone.
constexpr double InitialEligibleShare = 0.5; ///< Assumed until the first answer.
constexpr double EligibleShareWeight = 0.1; ///< Weight of the newest answer in the moving average.
// Tasks that the eligible workers known to a gang would hold, per task. With less, nearly all would have to be empty.
constexpr std::size_t MinEligibleSize = 2;
// The same, but what a query of a gang aims at: under load about a quarter of the capacity is free or preemptible. Each
// further query would cost a gang as long as the first, and gateways as much as 70 workers more in one query.
constexpr std::size_t WantedEligibleSize = 4;
constexpr double QueryOversampling = 1.5; ///< Expected eligible capacity per required task.

std::string stepName(JobKey key, const JobRecord &job, std::size_t position)
{
    const std::size_t steps = job.spec.steps.size();
    return fmt::format("{:016x}.{}.{}", key, position / steps, position % steps);
}

} // namespace

void JobManager::reserve(const TaskRef &task,
                         WorkerNumber worker,
                         const placement::Resources &amount,
                         std::string ticket)
{
    ledger_.reserve(worker, amount);
    recordReservation(task, worker, amount, std::move(ticket));
}

// An earlier leader placed the task. The worker may have shrunk since.
void JobManager::adoptReservation(const TaskRef &task, WorkerNumber worker, const placement::Resources &amount)
{
    ledger_.adopt(worker, amount);
    recordReservation(task, worker, amount, {});
}

void JobManager::recordReservation(const TaskRef &task,
                                   WorkerNumber worker,
                                   const placement::Resources &amount,
                                   std::string ticket)
{
    const JobRecord &job = *state_->findJob(task.job);
    const TaskRef unit = job.crashUnitOf(task);
    const Suspicion suspicion = job.crashesOf(job.positionOf(task.occurrence, task.step), task.index).suspicion();
    isolation_.add(worker, unit, suspicion);
    const WorkerHealth::TrialRound round = workers_.at(worker).health.addTask();
    reservations_[task] = {worker, amount, std::move(ticket), unit, suspicion, round};
}

void JobManager::unreserve(const TaskRef &task)
{
    const auto found = reservations_.find(task);
    if (found != reservations_.end()) {
        const Reservation &reservation = found->second;
        ledger_.release(reservation.worker, reservation.amount);
        isolation_.remove(reservation.worker, reservation.unit, reservation.suspicion);
        workers_.at(reservation.worker).health.endTrial(reservation.trialRound);
        reservations_.erase(found);
    }
}

std::vector<std::uint32_t> JobManager::waitingTasks(const JobRecord &job, StepKey key) const
{
    std::vector<std::uint32_t> waiting;
    const StepRecord &step = job.steps[key.position];
    if (!step.hasWaitingTasks()) {
        return waiting;
    }
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        if (step.tasks[index].phase != TaskPhase::Waiting) {
            continue;
        }
        const TaskRef task = job.refOf(key.job, key.position, index);
        if (!reservations_.contains(task) && !proposedLateEnds_.contains(job.crashUnitOf(task))
            && !job.crashesOf(key.position, index).isUndecided()) {
            waiting.push_back(index);
        }
    }
    // A gang starts as a whole, after every member of its last run has ended.
    if (job.specOf(key.position).gang && waiting.size() != step.tasks.size()) {
        waiting.clear();
    }
    return waiting;
}

std::map<WorkerNumber, std::uint32_t> JobManager::tasksByWorker(const JobRecord &job, StepKey key) const
{
    std::map<WorkerNumber, std::uint32_t> placedTasks;
    if (job.specOf(key.position).maxPerWorker == 0) {
        return placedTasks;
    }
    const TaskRef first = job.refOf(key.job, key.position, 0);
    const TaskRef last = job.refOf(key.job, key.position, UINT32_MAX);
    for (auto task = reservations_.lower_bound(first); task != reservations_.upper_bound(last); ++task) {
        ++placedTasks[task->second.worker];
    }
    return placedTasks;
}

// A backlog of thousands of steps takes longer than what has a deadline may wait, so a dispatch goes on in later ticks.
void JobManager::startDispatch(base::TimePoint now)
{
    dispatchDue_ = false;
    nextFullDispatch_ = now + MinDispatchInterval;
    changedSteps_.clear();
    isolation_.endSetAside(now);
    if (!canSendOrders(now)) {
        return;
    }
    ++cost_.dispatches;
    std::vector<std::pair<Rank, StepKey>> order;
    order.reserve(readySteps_.size());
    for (const auto &[key, step] : readySteps_) {
        const JobRecord &job = *state_->findJob(key.job);
        if (!job.steps[key.position].hasWaitingTasks()) {
            continue;
        }
        order.emplace_back(rankOf(key.job, job, key.position, state_->runTimes(), arrivals_.at(key.job), now), key);
    }
    std::sort(order.begin(), order.end());
    urgentPriority_ = order.empty() ? std::numeric_limits<std::int32_t>::max() : order.front().first.priority;
    dispatch_.emplace(*this, cost_, now);
    dispatch_->order = std::move(order);
    continueDispatch(now);
}

void JobManager::continueDispatch(base::TimePoint now)
{
    if (!canSendOrders(now)) {
        dispatch_.reset();
        return;
    }
    dispatch_->resume(*this, now);
    holdForGangs(*dispatch_);
    placeSteps(*dispatch_, MaxExaminedPerTick);
    if (dispatch_->next == dispatch_->order.size()) {
        reportLoad(dispatch_->order, dispatch_->claims, now);
        dispatch_.reset();
    }
}

// Places changed steps of the most urgent queue between full dispatches, and while one is in progress. They go before
// all others in any case, so that their order needs no look at the backlog.
void JobManager::dispatchUrgent(base::TimePoint now)
{
    if (!canSendOrders(now)) {
        return;
    }
    std::vector<std::pair<Rank, StepKey>> order;
    for (const StepKey &key : std::exchange(changedSteps_, {})) {
        if (!readySteps_.contains(key)) {
            continue;
        }
        const JobRecord &job = *state_->findJob(key.job);
        const Rank rank = rankOf(key.job, job, key.position, state_->runTimes(), arrivals_.at(key.job), now);
        if (rank.lateness == Rank::Lateness::OnTime && rank.priority <= urgentPriority_) {
            order.emplace_back(rank, key);
        }
    }
    if (order.empty()) {
        return;
    }
    ++cost_.dispatches;
    std::sort(order.begin(), order.end());
    Pass pass(*this, cost_, now);
    pass.order = std::move(order);
    holdForGangs(pass);
    placeSteps(pass, std::numeric_limits<std::uint64_t>::max());
}

// What a gang is waiting for becomes free while a dispatch is in progress, so holds are made anew each time it goes on.
void JobManager::holdForGangs(Pass &pass)
{
    while (!pass.held.empty()) {
        releaseHold(pass.held.begin()->first, pass);
    }
    std::erase_if(heldSteps_, [&](const StepKey &key) {
        const auto step = readySteps_.find(key);
        if (step != readySteps_.end()) {
            holdCapacity(key, step->second, pass);
        }
        return step == readySteps_.end() || pass.now >= step->second.heldUntil;
    });
}

void JobManager::placeSteps(Pass &pass, std::uint64_t maxExamined)
{
    const std::uint64_t before = cost_.workersExamined;
    while (pass.next < pass.order.size() && cost_.workersExamined - before < maxExamined) {
        const auto &[rank, key] = pass.order[pass.next++];
        const auto step = readySteps_.find(key); // Its job may have ended since the dispatch began.
        if (step != readySteps_.end()) {
            placeStep(key, step->second, rank.lateness, pass);
        }
    }
    const StartsEntry starts = std::exchange(pass.starts, {});
    if (!starts.starts.empty() && !port_.propose(starts)) {
        for (const StartsEntry::Start &start : starts.starts) {
            unreserve(start.task);
        }
    }
}

JobManager::Pass::Pass(const JobManager &manager, DispatchCost &dispatchCost, base::TimePoint time)
    : now(time)
    , cost(dispatchCost)
    , claims([&manager](const std::string &service) { return manager.claimLimit(service); })
    , planner(manager.workers_, manager.ledger_)
{
    resume(manager, time);
}

void JobManager::Pass::resume(const JobManager &manager, base::TimePoint time)
{
    now = time;
    planner.forgetWorkers();
    index.emplace(manager.workers_, cost, time, [&manager](WorkerNumber number) {
        return manager.ledger_.free(number).milliCpu;
    });
    placer.emplace(manager.workers_, manager.ledger_, claims, *index, manager.isolation_, manager.speeds_, cost, time);
}

// Logs the cluster load, which shows whether waiting jobs lack capacity or tickets or are ranked behind others, and
// what dispatches cost.
void JobManager::reportLoad(const std::vector<std::pair<Rank, StepKey>> &order,
                            const CapacityClaims &claims,
                            base::TimePoint now)
{
    if (now < nextLoadReport_) {
        return;
    }
    nextLoadReport_ = now + LoadReportInterval;
    std::size_t waitingTaskCount = 0;
    std::size_t waitingGangs = 0;
    std::size_t tasksWithoutTicket = 0;
    std::size_t lateSteps = 0;
    std::size_t uselessSteps = 0;
    for (const auto &[rank, key] : order) {
        if (!readySteps_.contains(key)) {
            continue; // Its job has ended since the dispatch began.
        }
        const JobRecord &job = *state_->findJob(key.job);
        const std::size_t waiting = waitingTasks(job, key).size();
        waitingTaskCount += waiting;
        waitingGangs += waiting > 0 && job.specOf(key.position).gang ? 1 : 0;
        lateSteps += waiting > 0 && rank.lateness == Rank::Lateness::Late ? 1 : 0;
        uselessSteps += waiting > 0 && rank.lateness == Rank::Lateness::TooLateForUse ? 1 : 0;
        if (job.policy.eligibility && !readySteps_.at(key).eligibility.hasTicket(now)) {
            tasksWithoutTicket += waiting;
        }
    }
    const auto restricted = std::count_if(
        workers_.begin(), workers_.end(), [](const auto &item) { return item.second.health.onProbation(); });
    const DispatchCost before = std::exchange(reportedCost_, cost_);
    base::logInfo("load")
        .with("workers", workers_.size())
        .with("restricted_workers", restricted)
        .with("millicores", ledger_.totalCapacity().milliCpu)
        .with("reserved_millicores", ledger_.totalReserved().milliCpu)
        .with("claimed_millicores", claims.total().milliCpu)
        .with("waiting_tasks", waitingTaskCount)
        .with("waiting_gangs", waitingGangs)
        .with("tasks_without_ticket", tasksWithoutTicket)
        .with("late_steps", lateSteps)
        .with("useless_steps", uselessSteps)
        .with("pending_queries", pendingQueries_.size())
        .with("dispatches", cost_.dispatches - before.dispatches)
        .with("workers_examined", cost_.workersExamined - before.workersExamined)
        .with("workers_indexed", cost_.workersIndexed - before.workersIndexed);
}

// Capacity that nobody else needs costs nothing to claim.
CapacityClaims::Limit JobManager::claimLimit(const std::string &service) const
{
    std::int64_t capacity = 0;
    std::int64_t reserved = 0;
    for (const auto &[number, worker] : workers_) {
        if (worker.identity.service == service) {
            capacity += ledger_.capacity(number).milliCpu;
            reserved += ledger_.reserved(number).milliCpu;
        }
    }
    const double freeShare = capacity == 0 ? 0 : 1 - static_cast<double>(reserved) / static_cast<double>(capacity);
    const double share = std::max(MaxClaimedShare, freeShare - UnclaimedFreeShare);
    return {{static_cast<std::int64_t>(static_cast<double>(capacity) * share), 0, 0}, freeShare > MostShare};
}

// Skips steps that can neither start tasks nor ask for tickets in this pass, without looking at all their tasks. In a
// backlog these are nearly all. A gang that runs or isn't due yet must not count as one that asks for admission.
bool JobManager::canProgress(const JobRecord &job, StepKey key, const ReadyStep &step, Pass &pass) const
{
    const StepRecord &record = job.steps[key.position];
    const auto occurrence = static_cast<std::uint32_t>(key.position / job.spec.steps.size());
    if (!record.hasWaitingTasks()
        || (job.spec.occurrences > 0 && wall_ < job.spec.startAt + job.spec.interval * occurrence)) {
        return false;
    }
    if (!job.policy.eligibility || step.eligibility.hasTicket(pass.now) || pass.now < step.heldUntil) {
        return true;
    }
    const StepSpec &spec = job.specOf(key.position);
    if (spec.gang) {
        const bool waits = record.placed == 0 && !reservations_.contains(job.refOf(key.job, key.position, 0));
        const placement::Resources need = reservationOf(spec) * spec.count;
        if (!waits) {
            return false;
        }
        if (askAdmission(job, step, need, pass) || (step.isBlocked && pass.now >= step.nextBlockCheck)) {
            return true; // It claims capacity even while it can't query.
        }
        if (!pass.claims.isMostCapacityFree(job.policy.service)) {
            return false;
        }
    }
    return step.pendingQueries == 0 && pass.now >= step.nextQueryAt
        && chooseGateway(job.policy.eligibility->perCall, pass).has_value();
}

bool JobManager::askAdmission(const JobRecord &job, const ReadyStep &step, const placement::Resources &need, Pass &pass)
{
    const std::string &service = job.policy.service;
    return step.isBlocked ? pass.claims.admits(service, need) : pass.claims.askAdmission(service, need);
}

void JobManager::placeStep(StepKey key, ReadyStep &step, Rank::Lateness lateness, Pass &pass)
{
    const JobRecord &job = *state_->findJob(key.job);
    if (!canProgress(job, key, step, pass)) {
        return;
    }
    releaseHold(key, pass);
    std::vector<std::uint32_t> waiting = waitingTasks(job, key);
    if (waiting.empty()) {
        return;
    }
    const StepSpec &spec = job.specOf(key.position);
    const StepEligibility *const eligibility = job.policy.eligibility ? &step.eligibility : nullptr;
    const bool mayPreempt = spec.gang && lateness == Rank::Lateness::OnTime;
    if (step.waitingSince == base::TimePoint{}) {
        step.waitingSince = pass.now;
    }
    StepPlacer::Request request{job,
                                key.position,
                                waiting,
                                eligibility,
                                tasksByWorker(job, key),
                                slackOf(job, state_->runTimes()),
                                mayPreempt,
                                job.refOf(key.job, key.position, 0),
                                spec.gang ? job.crashesOf(key.position, 0).suspicion() : Suspicion::None,
                                state_->runTimes().expectedRunTime(job.policy.queue, spec.estimatedRunTime),
                                pass.now - step.waitingSince >= MaxWaitBesideFreeCapacity};
    if (!spec.gang && job.hasSuspects(key.position)) {
        placeSuspects(request, key, step, pass);
        request.tasksByWorker = tasksByWorker(job, key);
        waiting = waitingTasks(job, key);
        std::erase_if(waiting, [&](std::uint32_t index) {
            return job.crashesOf(key.position, index).suspicion() != Suspicion::None;
        });
    }
    if (!waiting.empty() && placeTasks(request, key, pass) > 0) {
        step.heldUntil = {}; // The gang has taken what was held for it.
        step.waitingSince = {};
        step.claimHistory = {};
        std::erase_if(waiting, [&](std::uint32_t index) {
            return reservations_.contains(job.refOf(key.job, key.position, index));
        });
    }
    if (waiting.empty()) {
        return;
    }
    queryIfDue(request, key, step, pass);
    if (request.suspicion == Suspicion::High) {
        setWorkersAside(request, pass);
    } else if (spec.gang) {
        secureGangCapacity(request, key, step, pass);
    }
}

void JobManager::queryIfDue(const StepPlacer::Request &request, StepKey key, ReadyStep &step, Pass &pass)
{
    if (request.eligibility != nullptr && step.pendingQueries == 0 && pass.now >= step.nextQueryAt
        && chooseGateway(request.job.policy.eligibility->perCall, pass)) {
        queryEligibility(request, key, step, pass);
    }
}

// Keeps the workers with the least on them free of other tasks, so that a suspect gets to run alone under load too.
void JobManager::setWorkersAside(const StepPlacer::Request &request, const Pass &pass)
{
    const base::TimePoint until = pass.now + SetAsideDuration;
    const auto canRun = [&](WorkerNumber number) {
        const auto worker = workers_.find(number);
        return worker != workers_.end() && pass.placer->canRun(request, number, worker->second);
    };
    if (isolation_.extendSetAside(request.unit, until, canRun)) {
        return;
    }
    std::vector<std::pair<std::int64_t, WorkerNumber>> candidates;
    pass.placer->forEachEligible(request, std::nullopt, [&](WorkerNumber number) {
        // A worker with a long-running task doesn't become empty.
        if (!isolation_.isSetAside(number) && !workers_.at(number).runsLongRunningTask()) {
            candidates.emplace_back(ledger_.reserved(number).milliCpu, number);
        }
    });
    std::sort(candidates.begin(), candidates.end());
    const std::int64_t needed = static_cast<std::int64_t>(request.waiting.size());
    const placement::Resources amount = reservationOf(request.job.specOf(request.position));
    const auto limit = static_cast<std::size_t>(static_cast<double>(workers_.size()) * MaxSetAsideShare) + 1;
    std::vector<WorkerNumber> chosen;
    std::int64_t fitting = 0;
    for (const auto &[reserved, number] : candidates) {
        if (fitting < needed) {
            chosen.push_back(number);
            fitting += amount.countFittingIn(ledger_.capacity(number));
        }
    }
    if (fitting < needed || isolation_.setAsideWorkers() + chosen.size() > limit) {
        return;
    }
    for (const WorkerNumber number : chosen) {
        isolation_.setAside(number, request.unit, until);
        base::logInfo("worker_set_aside")
            .with("worker", workers_.at(number).identity.id)
            .with("for_task", toString(request.unit))
            .with("runs", workers_.at(number).runs.size())
            .with("set_aside", isolation_.setAsideWorkers())
            .with("limit", limit);
    }
}

// Places each task under which a worker has crashed by itself.
void JobManager::placeSuspects(const StepPlacer::Request &request, StepKey key, ReadyStep &step, Pass &pass)
{
    for (const std::uint32_t index : request.waiting) {
        const Suspicion suspicion = request.job.crashesOf(key.position, index).suspicion();
        if (suspicion == Suspicion::None) {
            continue;
        }
        const std::vector<std::uint32_t> waiting{index};
        const StepPlacer::Request suspect{request.job,
                                          key.position,
                                          waiting,
                                          request.eligibility,
                                          tasksByWorker(request.job, key),
                                          request.slack,
                                          false,
                                          request.job.refOf(key.job, key.position, index),
                                          suspicion,
                                          request.expectedRunTime,
                                          request.overdue};
        if (placeTasks(suspect, key, pass) > 0) {
            continue;
        }
        queryIfDue(suspect, key, step, pass);
        if (suspicion == Suspicion::High) {
            setWorkersAside(suspect, pass);
        }
    }
}

// Reserves capacity for the tasks that fit and adds their starts to the pass. Returns how many were placed.
std::size_t JobManager::placeTasks(const StepPlacer::Request &request, StepKey key, Pass &pass)
{
    if (!pass.placer->mayFit(request)) {
        return 0;
    }
    const base::TimePoint now = pass.now;
    const JobRecord &job = request.job;
    const StepSpec &spec = job.specOf(key.position);
    const std::vector<Assignment> assignments = pass.placer->place(request);
    const std::vector<TaskRecord> &tasks = job.steps[key.position].tasks;
    std::uint32_t lastRun = 0;
    for (const TaskRecord &task : tasks) {
        lastRun = std::max(lastRun, task.run);
    }
    for (const Assignment &assignment : assignments) {
        const TaskRef task = job.refOf(key.job, key.position, assignment.index);
        const Ticket *const ticket = request.eligibility == nullptr
            ? nullptr
            : request.eligibility->findTicket(assignment.worker, now, std::chrono::milliseconds{0});
        reserve(task, assignment.worker, reservationOf(spec), ticket == nullptr ? std::string() : ticket->text);
        // All members of a gang share one run number.
        const std::uint32_t run = (spec.gang ? lastRun : tasks[assignment.index].run) + 1;
        pass.starts.starts.push_back({task, run, assignment.worker});
        base::logInfo("task_placed")
            .with("task", toString(task))
            .with("run", run)
            .with("worker", workers_.at(assignment.worker).identity.id)
            .with("free_millicores", ledger_.free(assignment.worker).milliCpu)
            .with("waited_ms",
                  std::chrono::duration_cast<std::chrono::milliseconds>(now - arrivals_.at(key.job)).count());
    }
    return assignments.size();
}

// Preempts tasks for a gang if that frees enough capacity, and holds the freed capacity against all other tasks.
// Otherwise claims capacity where the gang is likely to start; only preemptible tasks may use it meanwhile.
void JobManager::secureGangCapacity(const StepPlacer::Request &request, StepKey key, ReadyStep &step, Pass &pass)
{
    const base::TimePoint now = pass.now;
    if (now >= step.heldUntil) {
        const auto plan = request.mayPreempt ? pass.planner.plan(*pass.placer, request) : std::nullopt;
        if (!plan) {
            claimCapacity(request, key, step, pass);
            return;
        }
        for (const PreemptionPlanner::Preemption &preemption : plan->preemptions) {
            WorkerView &worker = workers_.at(preemption.worker);
            LiveRun &run = worker.runs.at(preemption.task);
            base::logInfo("task_preempted")
                .with("task", toString(preemption.task))
                .with("run", run.run)
                .with("worker", worker.identity.id)
                .with("for_job", toString(key.job));
            stopRun(run, now);
            reviewRun(preemption.worker, worker, preemption.task, run, now);
            pass.planner.forgetWorker(preemption.worker);
        }
        step.heldTasks = plan->tasksByWorker;
        step.heldUntil = now + HoldDuration;
        heldSteps_.insert(key);
    }
    holdCapacity(key, step, pass);
}

void JobManager::claimCapacity(const StepPlacer::Request &request, StepKey key, ReadyStep &step, Pass &pass)
{
    const placement::Resources need =
        reservationOf(request.job.specOf(request.position)) * static_cast<std::int64_t>(request.waiting.size());
    const bool isCheckDue = pass.now >= step.nextBlockCheck;
    if (!isCheckDue && (step.isBlocked || !askAdmission(request.job, step, need, pass))) {
        return;
    }
    const bool wasBlocked = step.isBlocked;
    step.isBlocked = !pass.planner.claimCapacity(*pass.placer, request, step.claimHistory, pass.claims, pass.now);
    step.nextBlockCheck = pass.now + BlockCheckInterval;
    if (step.isBlocked != wasBlocked) {
        (step.isBlocked ? base::logInfo("gang_blocked") : base::logInfo("gang_unblocked"))
            .with("job", toString(key.job))
            .with("step", key.position)
            .with("needed_millicores", need.milliCpu);
    }
}

// Holds exist from the start of a dispatch, as more urgent small tasks would take the capacity piece by piece and make
// the preemption useless.
void JobManager::holdCapacity(StepKey key, const ReadyStep &step, Pass &pass) const
{
    if (pass.now >= step.heldUntil) {
        return;
    }
    const placement::Resources amount = reservationOf(state_->findJob(key.job)->specOf(key.position));
    for (const auto &[worker, tasks] : step.heldTasks) {
        if (workers_.contains(worker)) {
            const placement::Resources free = placement::elementwiseMax(ledger_.free(worker), {});
            const placement::Resources held = placement::elementwiseMin(amount * tasks, free);
            pass.claims.hold(worker, held);
            pass.held[key][worker] = held;
        }
    }
}

void JobManager::releaseHold(StepKey key, Pass &pass)
{
    const auto held = pass.held.extract(key);
    if (!held.empty()) {
        for (const auto &[worker, amount] : held.mapped()) {
            pass.claims.releaseHold(worker, amount);
        }
    }
}

// Returns the workers to include in the next queries. Tickets of eligible workers with free capacity are renewed
// together, so that they are valid at the same time. Unknown workers are added if the eligible ones lack capacity. The
// first query also includes workers without free capacity, because eligibility is permanent while capacity changes.
// Queries for a gang are sent only while it may claim capacity or most is free, and only if it knows too few eligible
// workers or could start after the answer: queries in vain keep gateways busy that other steps need for their first
// tickets.
std::vector<WorkerNumber>
JobManager::workersToQuery(const StepPlacer::Request &request, StepKey key, const ReadyStep &step, Pass &pass)
{
    struct Candidate {
        WorkerNumber worker = 0;
        std::uint32_t fittingTasks = 0;
    };
    const StepEligibility &eligibility = *request.eligibility;
    const StepSpec &spec = request.job.specOf(request.position);
    const std::size_t needed = request.waiting.size();
    if (spec.gang && !askAdmission(request.job, step, reservationOf(spec) * static_cast<std::int64_t>(needed), pass)
        && !pass.claims.isMostCapacityFree(request.job.policy.service)) {
        return {};
    }
    const auto fittingTasksOn = [&](WorkerNumber number) {
        return request.mayPreempt ? pass.planner.maxFittingTasks(*pass.placer, request, number)
                                  : pass.placer->fittingTasks(request, number);
    };
    std::vector<WorkerNumber> eligibleWithCapacity;
    std::size_t eligibleCapacity = 0;
    std::size_t eligibleSize = 0; // Tasks that the eligible workers would hold if they were empty.
    bool expired = false;
    pass.placer->forEachEligible(request, std::nullopt, [&](WorkerNumber number) {
        const std::uint32_t fittingTasks = fittingTasksOn(number);
        eligibleSize += pass.placer->fittingTasksIn(request, number, ledger_.capacity(number));
        if (fittingTasks > 0) {
            eligibleWithCapacity.push_back(number);
            eligibleCapacity += fittingTasks;
            expired = expired || eligibility.findTicket(number, pass.now, TicketMargin) == nullptr;
        }
    });
    const bool nothingKnown = !eligibility.isAnyKnown();
    const bool mayPlacePartially = !spec.gang;
    std::vector<WorkerNumber> queried;
    if (expired && (eligibleCapacity >= needed || mayPlacePartially)) {
        queried = eligibleWithCapacity;
    }
    if (eligibleCapacity < needed) {
        // The fixed cost of a query dominates, so the first one includes many workers, and more for a large gang.
        const std::size_t maxChosen =
            mayPlacePartially ? TypicalQueryWorkers : MaxWorkersAtATime - std::min(MaxWorkersAtATime, queried.size());
        std::vector<Candidate> unknown;
        const auto addUnknown = [&](WorkerNumber number) {
            if (!eligibility.isKnown(number) && workers_.contains(number)
                && pass.placer->canRun(request, number, workers_.at(number))) {
                unknown.push_back({number, fittingTasksOn(number)});
            }
            return unknown.size() < maxChosen * CandidatesPerQueryWorker;
        };
        const std::int64_t neededCpu = reservationOf(spec).milliCpu;
        const std::size_t wantedSize = spec.gang ? needed * WantedEligibleSize : 0;
        const bool anyCapacity = nothingKnown || eligibleSize < wantedSize;
        const auto priority = request.mayPreempt ? std::optional(request.job.policy.priority) : std::nullopt;
        queryIndex(priority, pass)
            .visitWithFree(anyCapacity ? std::numeric_limits<std::int64_t>::min() : neededCpu, addUnknown);
        const double share = eligibleShare_.try_emplace(request.job.policy.queue, InitialEligibleShare).first->second;
        // Spreads steps that arrive together over different workers.
        const auto scatterHash = [&key](WorkerNumber worker) {
            return (key.job ^ worker) * 0x9e3779b97f4a7c15ULL;
        };
        const auto usefulTasks = [needed](const Candidate &candidate) {
            return std::min<std::size_t>(candidate.fittingTasks, needed);
        };
        std::sort(unknown.begin(), unknown.end(), [&](const Candidate &left, const Candidate &right) {
            return std::tuple(usefulTasks(right), scatterHash(left.worker))
                < std::tuple(usefulTasks(left), scatterHash(right.worker));
        });
        std::vector<WorkerNumber> chosen;
        double expected = static_cast<double>(eligibleCapacity);
        auto expectedSize = static_cast<double>(eligibleSize);
        for (const Candidate &candidate : unknown) {
            const bool first = nothingKnown && chosen.size() < TypicalQueryWorkers;
            const bool tooSmall = expectedSize < static_cast<double>(wantedSize);
            const bool enough = expected >= static_cast<double>(needed) * QueryOversampling;
            if (chosen.size() >= maxChosen || (!first && !tooSmall && (candidate.fittingTasks == 0 || enough))) {
                break;
            }
            chosen.push_back(candidate.worker);
            expected += share * candidate.fittingTasks;
            expectedSize += share
                * static_cast<double>(pass.placer->fittingTasksIn(
                    request, candidate.worker, ledger_.capacity(candidate.worker)));
        }
        const bool mayStart = mayPlacePartially || expected >= static_cast<double>(needed);
        const bool knowsTooFew = eligibleSize < needed * MinEligibleSize;
        if (!chosen.empty() && (mayStart || knowsTooFew)) {
            queried = eligibleWithCapacity;
            queried.insert(queried.end(), chosen.begin(), chosen.end());
        }
    }
    const std::size_t limit = mayPlacePartially ? MaxQueryWorkers : MaxWorkersAtATime;
    queried.resize(std::min(queried.size(), limit));
    return queried;
}

// Whom to ask needs no exact figures, and steps ask one after the other.
const CapacityIndex &JobManager::queryIndex(std::optional<std::int32_t> preemptingPriority, const Pass &pass)
{
    QueryIndex &index = queryIndexes_[preemptingPriority];
    if (!index.byFreeCpu || pass.now - index.madeAt >= QueryIndexLifetime) {
        index.madeAt = pass.now;
        index.byFreeCpu.emplace(workers_, cost_, pass.now, [this, preemptingPriority, &pass](WorkerNumber number) {
            const std::int64_t free = ledger_.free(number).milliCpu;
            return preemptingPriority ? free + pass.planner.preemptibleCapacity(number, *preemptingPriority).milliCpu
                                      : free;
        });
        index.byFreeCpu->build();
    }
    return *index.byFreeCpu;
}

// The answer is the same for all longer queries of a dispatch, because queries only make gateways busier.
std::optional<EligibilityGateways::GatewayId> JobManager::chooseGateway(std::chrono::microseconds serviceTime,
                                                                        Pass &pass) const
{
    if (serviceTime >= pass.blockedServiceTime) {
        return std::nullopt;
    }
    const auto gateway = gateways_.choose(serviceTime, pass.now);
    if (!gateway) {
        pass.blockedServiceTime = serviceTime;
    }
    return gateway;
}

void JobManager::queryEligibility(const StepPlacer::Request &request, StepKey key, ReadyStep &step, Pass &pass)
{
    const std::vector<WorkerNumber> queried = workersToQuery(request, key, step, pass);
    const std::size_t queries = (queried.size() + MaxQueryWorkers - 1) / MaxQueryWorkers;
    for (std::size_t query = 0; query < queries; ++query) {
        const auto begin = static_cast<std::ptrdiff_t>(queried.size() * query / queries);
        const auto end = static_cast<std::ptrdiff_t>(queried.size() * (query + 1) / queries);
        if (!sendQuery(request, key, step, {queried.begin() + begin, queried.begin() + end}, pass)) {
            return; // All gateways are busy. The next dispatch tries again in the order of rank.
        }
    }
}

// Returns whether a gateway was free for it.
bool JobManager::sendQuery(const StepPlacer::Request &request,
                           StepKey key,
                           ReadyStep &step,
                           const std::vector<WorkerNumber> &queried,
                           Pass &pass)
{
    const base::TimePoint now = pass.now;
    const auto serviceTime = estimatedServiceTime(*request.job.policy.eligibility, queried.size());
    const auto gateway = chooseGateway(serviceTime, pass);
    if (!gateway) {
        return false;
    }
    const std::uint64_t number = nextQueryNumber_++;
    EligibilityQuery query;
    query.number = number;
    query.gateway = *gateway;
    query.step = stepName(key.job, request.job, key.position);
    for (const WorkerNumber worker : queried) {
        query.workers.push_back(workers_.at(worker).identity.id);
    }
    query.timeout = gateways_.backlog(*gateway, now) + std::chrono::ceil<std::chrono::milliseconds>(serviceTime)
        + QueryTimeoutSlack;
    pendingQueries_[number] = {key,
                               *gateway,
                               queried,
                               serviceTime,
                               request.job.policy.eligibility->validFor,
                               request.job.policy.queue,
                               now + gateways_.backlog(*gateway, now) + serviceTime,
                               now + query.timeout + RelayTimeoutSlack};
    ++step.pendingQueries;
    gateways_.recordQuery(*gateway, serviceTime, now);
    port_.queryEligibility(query);
    return true;
}

void JobManager::removeGateway(EligibilityGateways::GatewayId gateway, base::TimePoint now)
{
    gateways_.remove(gateway);
    failQueries([gateway](const PendingQuery &query) { return query.gateway == gateway; }, now);
}

template <typename IsLost>
void JobManager::failQueries(IsLost isLost, base::TimePoint now)
{
    std::vector<std::uint64_t> lost;
    for (const auto &[number, query] : pendingQueries_) {
        if (isLost(query)) {
            lost.push_back(number);
        }
    }
    for (const std::uint64_t number : lost) {
        onEligibilityAnswer(number, std::nullopt, now);
    }
}

// An answer may be lost between the service and a gateway that is still connected.
void JobManager::failOverdueQueries(base::TimePoint now)
{
    failQueries([now](const PendingQuery &query) { return now >= query.deadline; }, now);
}

void JobManager::onEligibilityAnswer(std::uint64_t number, const EligibilityRows &rows, base::TimePoint now)
{
    auto node = pendingQueries_.extract(number);
    if (node.empty()) {
        return;
    }
    const PendingQuery &query = node.mapped();
    if (rows) {
        gateways_.recordAnswer(query.gateway, query.serviceTime, now);
    } else {
        gateways_.recordTimeout(query.gateway, query.serviceTime, now);
    }
    dispatchDue_ = true; // Other steps may be waiting for this gateway.
    const auto found = readySteps_.find(query.step);
    if (found == readySteps_.end()) {
        return;
    }
    ReadyStep &step = found->second;
    --step.pendingQueries;
    changedSteps_.insert(query.step);
    if (!rows) {
        step.nextQueryAt = now + QueryRetryDelay;
        base::logWarning("eligibility_unanswered")
            .with("job", toString(query.step.job))
            .with("workers", query.workers.size());
        return;
    }
    // The answer may have waited on the way, or for this thread, while its tickets were running out.
    const base::TimePoint issuedAt = std::max<base::TimePoint>(
        now - query.validFor / 2, std::min<base::TimePoint>(now - MaxRelayDelay, query.expectedAt));
    const base::TimePoint validUntil = issuedAt + query.validFor;
    std::unordered_map<std::string_view, WorkerNumber> queried;
    for (const WorkerNumber worker : query.workers) {
        const auto view = workers_.find(worker);
        if (view != workers_.end()) {
            queried.emplace(view->second.identity.id, worker);
        }
    }
    std::map<WorkerNumber, Ticket> eligible;
    for (const auto &[id, ticket] : *rows) {
        const auto worker = queried.find(id);
        if (worker != queried.end()) {
            eligible[worker->second] = {ticket, validUntil};
        }
    }
    double &share = eligibleShare_.try_emplace(query.queue, InitialEligibleShare).first->second;
    const double observedShare = static_cast<double>(eligible.size()) / static_cast<double>(query.workers.size());
    share += EligibleShareWeight * (observedShare - share);
    step.eligibility.addAnswer(query.workers, eligible);
    base::logInfo("eligibility_learned")
        .with("job", toString(query.step.job))
        .with("step", query.step.position)
        .with("queried", query.workers.size())
        .with("eligible", eligible.size());
}

} // namespace yuccawheel::workflow
