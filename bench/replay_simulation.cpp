#include "replay_simulation.h"

#include <fmt/core.h>

#include <algorithm>

namespace yuccawheel::bench
{

using namespace placement;
using namespace std::chrono_literals;

namespace
{

constexpr milliseconds UsageInterval = 10s;
constexpr milliseconds TickInterval = 500ms;
constexpr std::uint32_t AttemptNumbersPerOwner = 1'000;

class PlannerScheduler : public Scheduler
{
public:
    explicit PlannerScheduler(Objective objective) : objective_(objective), planner_(PlannerOptions{objective, 1})
    {
    }
    void handle(const Event &event, base::TimePoint now) override
    {
        planner_.handle(event, now);
    }
    void decide(base::TimePoint now, std::vector<Command> &commands) override
    {
        planner_.decide(now, commands);
    }
    std::unique_ptr<Scheduler> createEmpty() const override
    {
        return std::make_unique<PlannerScheduler>(objective_);
    }

private:
    Objective objective_;
    Planner planner_;
};

double hours(base::Duration duration)
{
    return std::chrono::duration<double, std::ratio<3600>>(duration).count();
}

} // namespace

double workersFilled(const Resources &amount, const Resources &capacity)
{
    const auto part = [](std::int64_t used, std::int64_t has) {
        return has > 0 ? static_cast<double>(used) / static_cast<double>(has) : 0.0;
    };
    return std::max({part(amount.milliCpu, capacity.milliCpu),
                     part(amount.memoryMib, capacity.memoryMib),
                     part(amount.accelerators, capacity.accelerators)});
}

std::unique_ptr<Scheduler> makePlannerScheduler(Objective objective)
{
    return std::make_unique<PlannerScheduler>(objective);
}

ReplaySimulation::ReplaySimulation(const Trace &trace, std::unique_ptr<Scheduler> scheduler, ReplayOptions options)
    : trace_(trace)
    , options_(options)
    , scheduler_(std::move(scheduler))
{
}

const Outcomes &ReplaySimulation::run()
{
    const base::TimePoint end = start_ + trace_.length;
    auto action = trace_.actions.begin();
    notifyScheduler(RecoveryFinished{});
    scheduleEvent({}, TickInterval);
    while (true) {
        base::TimePoint next = timedEvents_.top().at;
        if (action != trace_.actions.end()) {
            next = std::min<base::TimePoint>(next, start_ + action->first);
        }
        if (next > end) {
            break;
        }
        accumulateHours(next);
        now_ = next;
        while (action != trace_.actions.end() && start_ + action->first <= now_) {
            applyAction(action->second);
            ++action;
        }
        while (timedEvents_.top().at <= now_) {
            const TimedEvent due = timedEvents_.top();
            timedEvents_.pop();
            processEvent(due);
        }
        decide();
    }
    accumulateHours(end);
    return outcomes_;
}

void ReplaySimulation::accumulateHours(base::TimePoint until)
{
    const base::TimePoint from = std::max<base::TimePoint>(now_, start_ + options_.measureFrom);
    const double span = std::max(0.0, hours(until - from));
    outcomes_.busyWorkerHours += span * busyWorkers_;
    outcomes_.lowerBoundHours += span * workersFilled(used_, capacity_);
    outcomes_.reservedLowerBoundHours += span * workersFilled(reserved_, capacity_);
    const bool memoryIsTightest = used_.memoryMib * capacity_.milliCpu > used_.milliCpu * capacity_.memoryMib;
    const Resources slack =
        memoryIsTightest ? Resources{0, unusedByServices_.memoryMib, 0} : Resources{unusedByServices_.milliCpu, 0, 0};
    outcomes_.unusedByServicesHours += span * workersFilled(slack, capacity_);
    outcomes_.dominantShareHours += span * dominantShares_;
    const bool waits = unfinished_ > static_cast<std::int64_t>(runningIndices_.size());
    outcomes_.freeWhileWaitingHours += waits ? span * (busyWorkers_ - dominantShares_) : 0;
}

void ReplaySimulation::scheduleEvent(TimedEvent event, milliseconds delay)
{
    event.at = now_ + delay;
    event.sequence = ++sequence_;
    timedEvents_.push(std::move(event));
}

void ReplaySimulation::notifyScheduler(const Event &event)
{
    const auto before = std::chrono::steady_clock::now();
    scheduler_->handle(event, now_);
    outcomes_.decisionSeconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - before).count();
}

void ReplaySimulation::applyAction(const Action &action)
{
    std::visit([this](const auto &content) { applyAction(content); }, action);
}

void ReplaySimulation::applyAction(const WorkersJoin &action)
{
    workers_.resize(std::max<std::size_t>(workers_.size(), action.first + action.count));
    capacity_ = elementwiseMax(capacity_, action.capacity);
    for (WorkerId worker = action.first; worker < action.first + action.count; ++worker) {
        SimulatedWorker &workerState = workers_[worker];
        workerState.origin = action;
        joinWorker(worker);
        if (!workerState.joined) {
            workerState.joined = true;
            TimedEvent usageEvent;
            usageEvent.kind = Kind::Usage;
            usageEvent.worker = worker;
            scheduleEvent(usageEvent, UsageInterval + milliseconds(worker * 37 % 1'000));
        }
    }
}

void ReplaySimulation::joinWorker(WorkerId worker)
{
    SimulatedWorker &workerState = workers_[worker];
    ++workerState.session;
    workerState.connected = true;
    WorkerJoined event{worker,
                       fmt::format("vm{}", worker),
                       fmt::format("rack{}", worker / workerState.origin.rackSize),
                       workerState.origin.capacity,
                       {}};
    for (const auto &[task, running] : workerState.running) {
        event.running.push_back({task, running.limit});
    }
    notifyScheduler(event);
}

void ReplaySimulation::applyAction(const JobArrives &action)
{
    JobState &jobState = jobs_[action.spec.id];
    jobState.job = action;
    JobOutcome &outcome = outcomes_.jobs[action.spec.id];
    outcome.spec = action.spec;
    outcome.arrivedAt = now_;
    unfinished_ += action.spec.tasks;
    assignJob(jobState, false, false);
}

void ReplaySimulation::assignJob(const JobState &jobState, bool recovered, bool startsRecorded)
{
    JobAssigned event;
    event.spec = jobState.job.spec;
    event.count = jobState.job.spec.tasks;
    event.finished.assign(jobState.finalIndices.begin(), jobState.finalIndices.end());
    event.recovered = recovered;
    event.startsRecorded = startsRecorded;
    if (startsRecorded) {
        event.maybeStarted.assign(jobState.startedIndices.begin(), jobState.startedIndices.end());
    }
    event.firstAttempt = owner_ * AttemptNumbersPerOwner;
    notifyScheduler(event);
    if (jobState.cancelled) {
        notifyScheduler(JobCancelled{event.spec.id});
    }
}

void ReplaySimulation::applyAction(const JobsCancelled &action)
{
    for (JobId job = action.first; job <= action.last; ++job) {
        jobs_[job].cancelled = true;
        notifyScheduler(JobCancelled{job});
    }
}

void ReplaySimulation::applyAction(const WorkersFail &action)
{
    for (WorkerId worker = action.first; worker < action.first + action.count; ++worker) {
        injectFault(worker, action.fault);
    }
}

void ReplaySimulation::injectFault(WorkerId worker, WorkerFault fault)
{
    SimulatedWorker &workerState = workers_[worker];
    switch (fault) {
    case WorkerFault::Silent:
        workerState.connected = false;
        notifyScheduler(WorkerUnreachable{worker});
        break;
    case WorkerFault::Back:
        workerState.connected = true;
        notifyScheduler(WorkerReachable{worker});
        break;
    case WorkerFault::LeasesExpired: {
        ++workerState.session;
        workerState.connected = false;
        while (!workerState.running.empty()) {
            endTask(worker, workerState.running.begin()->first, TaskState::Stopped);
        }
        notifyScheduler(WorkerLeasesExpired{worker});
        break;
    }
    case WorkerFault::Rejoin:
        joinWorker(worker);
        break;
    case WorkerFault::Drain:
    case WorkerFault::Undrain:
        notifyScheduler(WorkerDrain{worker, fault == WorkerFault::Drain});
        break;
    case WorkerFault::FailsAll:
    case WorkerFault::Healed:
        workerState.failsAll = fault == WorkerFault::FailsAll;
        break;
    }
}

void ReplaySimulation::applyAction(const QuotasSet &action)
{
    notifyScheduler(QuotasChanged{action.quotas});
}

void ReplaySimulation::applyAction(const OwnerChanges &action)
{
    scheduler_ = scheduler_->createEmpty();
    ++owner_;
    for (const auto &[id, jobState] : jobs_) {
        if (!jobState.ended) {
            assignJob(jobState, true, action.startsRecorded);
        }
    }
    for (WorkerId worker = 0; worker < workers_.size(); ++worker) {
        if (workers_[worker].joined && workers_[worker].connected) {
            joinWorker(worker);
        }
    }
    notifyScheduler(RecoveryFinished{});
}

void ReplaySimulation::decide()
{
    std::vector<Command> commands;
    const auto before = std::chrono::steady_clock::now();
    scheduler_->decide(now_, commands);
    outcomes_.decisionSeconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - before).count();
    outcomes_.commands += commands.size();
    for (const Command &command : commands) {
        if (options_.printCommands) {
            printCommand(command);
        }
        dispatchCommand(command);
    }
}

void ReplaySimulation::printCommand(const Command &command) const
{
    const auto at = std::chrono::duration_cast<milliseconds>(now_ - start_).count();
    if (const auto *start = std::get_if<StartTask>(&command)) {
        fmt::print("{} start {} on {}: {} {} {}, waited {} ms\n",
                   at,
                   toString(start->task),
                   start->worker,
                   start->reserved.milliCpu,
                   start->reserved.memoryMib,
                   start->reserved.accelerators,
                   start->waited.count());
    } else if (const auto *stop = std::get_if<StopTask>(&command)) {
        fmt::print("{} stop {} on {}: reason {}{}\n",
                   at,
                   toString(stop->task),
                   stop->worker,
                   static_cast<int>(stop->reason),
                   stop->checkpointFirst ? ", checkpoint" : "");
    } else if (const auto *throttle = std::get_if<ThrottleTask>(&command)) {
        fmt::print("{} limit {} to {} {}\n",
                   at,
                   toString(throttle->task),
                   throttle->limit.milliCpu,
                   throttle->limit.memoryMib);
    } else if (const auto *done = std::get_if<TaskDone>(&command)) {
        fmt::print("{} done {}: {}{}\n",
                   at,
                   toString(done->task),
                   base::toString(done->verdict),
                   done->succeeded ? "" : ", not succeeded");
    } else if (const auto *never = std::get_if<JobNeverFits>(&command)) {
        fmt::print("{} job {} never fits: missing {} {} {}\n",
                   at,
                   never->job,
                   never->missing.milliCpu,
                   never->missing.memoryMib,
                   never->missing.accelerators);
    } else if (const auto *note = std::get_if<DecisionNote>(&command)) {
        fmt::print("{} job {}: {}\n", at, note->job, note->text);
    }
}

void ReplaySimulation::dispatchCommand(const Command &command)
{
    const auto send = [&](WorkerId worker) {
        TimedEvent message;
        message.kind = Kind::Command;
        message.worker = worker;
        message.session = workers_[worker].session;
        message.command = command;
        scheduleEvent(std::move(message), MessageDelay);
    };
    if (const auto *start = std::get_if<StartTask>(&command)) {
        recordStart(*start);
        send(start->worker);
    } else if (const auto *stop = std::get_if<StopTask>(&command)) {
        const auto job = outcomes_.jobs.find(stop->task.job);
        if (job != outcomes_.jobs.end()) {
            ++job->second.stops;
        }
        send(stop->worker);
    } else if (const auto *throttle = std::get_if<ThrottleTask>(&command)) {
        send(throttle->worker);
    } else if (const auto *done = std::get_if<TaskDone>(&command)) {
        recordDone(*done);
    } else if (const auto *notRun = std::get_if<TasksNotRun>(&command)) {
        outcomes_.jobs[notRun->job].notRun += notRun->count;
        unfinished_ -= notRun->count;
        for (std::uint32_t index = 0; index < notRun->count; ++index) {
            jobs_[notRun->job].finalIndices.insert(notRun->firstIndex + index);
        }
    } else if (const auto *never = std::get_if<JobNeverFits>(&command)) {
        ++outcomes_.jobs[never->job].neverFits;
    } else if (const auto *ended = std::get_if<JobShareDone>(&command)) {
        jobs_[ended->job].ended = true;
    }
}

void ReplaySimulation::recordStart(const StartTask &start)
{
    JobOutcome &outcome = outcomes_.jobs[start.task.job];
    outcome.startTimes.push_back(now_);
    outcomes_.starts.push_back({now_, start.worker});
    jobs_[start.task.job].startedIndices.insert(start.task.index);
    if (++outcome.startsByIndex[start.task.index] == 1) {
        outcome.waits.push_back(std::chrono::duration_cast<milliseconds>(now_ - outcome.arrivedAt));
    }
}

void ReplaySimulation::recordDone(const TaskDone &done)
{
    JobOutcome &outcome = outcomes_.jobs[done.task.job];
    jobs_[done.task.job].finalIndices.insert(done.task.index);
    --unfinished_;
    if (done.verdict == base::Verdict::NotRun) {
        ++outcome.notRun;
    } else if (done.verdict == base::Verdict::MayHaveRun) {
        ++outcome.mayHaveRun;
    } else if (done.succeeded) {
        ++outcome.finished;
        const auto deadline = outcome.spec.deadline;
        outcome.lateTasks += deadline && now_ - outcome.arrivedAt > *deadline ? 1 : 0;
    } else {
        ++outcome.failed;
    }
}

void ReplaySimulation::processEvent(const TimedEvent &due)
{
    switch (due.kind) {
    case Kind::Tick:
        scheduleEvent({}, TickInterval);
        break;
    case Kind::Usage:
        reportUsage(due.worker);
        scheduleEvent(due, UsageInterval);
        break;
    case Kind::Command:
        if (due.session == workers_[due.worker].session) {
            deliverCommand(due.worker, due.command);
        }
        break;
    case Kind::Report:
        if (due.session == workers_[due.worker].session && workers_[due.worker].connected) {
            notifyScheduler(WorkerReported{due.worker, due.reports});
        }
        break;
    case Kind::TaskEnd:
    case Kind::Checkpointed: {
        const auto found = workers_[due.worker].running.find(due.task);
        if (found == workers_[due.worker].running.end()) {
            return;
        }
        if (due.kind == Kind::Checkpointed) {
            updateProgress(found->second);
            jobs_[due.task.job].checkpointedMs[due.task.index] = found->second.progressMs;
            endTask(due.worker, due.task, TaskState::Checkpointed);
        } else if (found->second.generation == due.generation) {
            endTask(due.worker, due.task, found->second.willFail ? TaskState::Failed : TaskState::Finished);
        }
        break;
    }
    }
}

} // namespace yuccawheel::bench
