#include "replay_platform.h"

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
constexpr std::uint32_t AttemptsPerOwner = 1'000;

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
    std::unique_ptr<Scheduler> fresh() const override
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

Platform::Platform(const Trace &trace, std::unique_ptr<Scheduler> scheduler, PlatformOptions options)
    : trace_(trace)
    , options_(options)
    , scheduler_(std::move(scheduler))
{
}

const Outcomes &Platform::run()
{
    const base::TimePoint end = start_ + trace_.length;
    auto action = trace_.actions.begin();
    give(RecoveryFinished{});
    push({}, TickInterval);
    while (true) {
        base::TimePoint next = steps_.top().at;
        if (action != trace_.actions.end()) {
            next = std::min<base::TimePoint>(next, start_ + action->first);
        }
        if (next > end) {
            break;
        }
        account(next);
        now_ = next;
        while (action != trace_.actions.end() && start_ + action->first <= now_) {
            act(action->second);
            ++action;
        }
        while (steps_.top().at <= now_) {
            const Step due = steps_.top();
            steps_.pop();
            step(due);
        }
        decide();
    }
    account(end);
    return outcomes_;
}

void Platform::account(base::TimePoint until)
{
    const base::TimePoint from = std::max<base::TimePoint>(now_, start_ + options_.measureFrom);
    const double span = std::max(0.0, hours(until - from));
    outcomes_.busyWorkerHours += span * busyWorkers_;
    outcomes_.lowerBoundHours += span * workersFilled(used_, capacity_);
    outcomes_.reservedBoundHours += span * workersFilled(reserved_, capacity_);
    const bool memoryIsTightest = used_.memoryMib * capacity_.milliCpu > used_.milliCpu * capacity_.memoryMib;
    const Resources slack =
        memoryIsTightest ? Resources{0, serviceSlack_.memoryMib, 0} : Resources{serviceSlack_.milliCpu, 0, 0};
    outcomes_.serviceSlackHours += span * workersFilled(slack, capacity_);
    outcomes_.shareHours += span * shares_;
    const bool waits = unfinished_ > static_cast<std::int64_t>(live_.size());
    outcomes_.waitingFreeHours += waits ? span * (busyWorkers_ - shares_) : 0;
}

void Platform::push(Step step, milliseconds delay)
{
    step.at = now_ + delay;
    step.sequence = ++sequence_;
    steps_.push(std::move(step));
}

void Platform::give(const Event &event)
{
    const auto before = std::chrono::steady_clock::now();
    scheduler_->handle(event, now_);
    outcomes_.decisionSeconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - before).count();
}

void Platform::act(const Action &action)
{
    std::visit([this](const auto &content) { act(content); }, action);
}

void Platform::act(const WorkersJoin &action)
{
    machines_.resize(std::max<std::size_t>(machines_.size(), action.first + action.count));
    capacity_ = elementwiseMax(capacity_, action.capacity);
    for (WorkerId worker = action.first; worker < action.first + action.count; ++worker) {
        Machine &machine = machines_[worker];
        machine.origin = action;
        join(worker);
        if (!machine.joined) {
            machine.joined = true;
            Step usageStep;
            usageStep.kind = Kind::Usage;
            usageStep.worker = worker;
            push(usageStep, UsageInterval + milliseconds(worker * 37 % 1'000));
        }
    }
}

void Platform::join(WorkerId worker)
{
    Machine &machine = machines_[worker];
    ++machine.session;
    machine.connected = true;
    WorkerJoined event{worker,
                       fmt::format("vm{}", worker),
                       fmt::format("rack{}", worker / machine.origin.rackSize),
                       machine.origin.capacity,
                       {}};
    for (const auto &[task, running] : machine.running) {
        event.running.push_back({task, running.limit});
    }
    give(event);
}

void Platform::act(const JobArrives &action)
{
    Arrived &arrived = jobs_[action.spec.id];
    arrived.job = action;
    JobOutcome &outcome = outcomes_.jobs[action.spec.id];
    outcome.spec = action.spec;
    outcome.arrivedAt = now_;
    unfinished_ += action.spec.tasks;
    assign(arrived, false, false);
}

void Platform::assign(const Arrived &arrived, bool recovered, bool startsRecorded)
{
    JobAssigned event;
    event.spec = arrived.job.spec;
    event.count = arrived.job.spec.tasks;
    event.finished.assign(arrived.finals.begin(), arrived.finals.end());
    event.recovered = recovered;
    event.startsRecorded = startsRecorded;
    if (startsRecorded) {
        event.maybeStarted.assign(arrived.started.begin(), arrived.started.end());
    }
    event.firstAttempt = owner_ * AttemptsPerOwner;
    give(event);
    if (arrived.cancelled) {
        give(JobCancelled{event.spec.id});
    }
}

void Platform::act(const JobsCancelled &action)
{
    for (JobId job = action.first; job <= action.last; ++job) {
        jobs_[job].cancelled = true;
        give(JobCancelled{job});
    }
}

void Platform::act(const WorkersFail &action)
{
    for (WorkerId worker = action.first; worker < action.first + action.count; ++worker) {
        apply(worker, action.fault);
    }
}

void Platform::apply(WorkerId worker, WorkerFault fault)
{
    Machine &machine = machines_[worker];
    switch (fault) {
    case WorkerFault::Silent:
        machine.connected = false;
        give(WorkerUnreachable{worker});
        break;
    case WorkerFault::Back:
        machine.connected = true;
        give(WorkerReachable{worker});
        break;
    case WorkerFault::LeasesExpired: {
        ++machine.session;
        machine.connected = false;
        while (!machine.running.empty()) {
            endTask(worker, machine.running.begin()->first, TaskState::Stopped);
        }
        give(WorkerLeasesExpired{worker});
        break;
    }
    case WorkerFault::Rejoin:
        join(worker);
        break;
    case WorkerFault::Drain:
    case WorkerFault::Undrain:
        give(WorkerDrain{worker, fault == WorkerFault::Drain});
        break;
    case WorkerFault::FailsAll:
    case WorkerFault::Healed:
        machine.failsAll = fault == WorkerFault::FailsAll;
        break;
    }
}

void Platform::act(const QuotasSet &action)
{
    give(QuotasChanged{action.quotas});
}

void Platform::act(const OwnerChanges &action)
{
    scheduler_ = scheduler_->fresh();
    ++owner_;
    for (const auto &[id, arrived] : jobs_) {
        if (!arrived.ended) {
            assign(arrived, true, action.startsRecorded);
        }
    }
    for (WorkerId worker = 0; worker < machines_.size(); ++worker) {
        if (machines_[worker].joined && machines_[worker].connected) {
            join(worker);
        }
    }
    give(RecoveryFinished{});
}

void Platform::decide()
{
    std::vector<Command> commands;
    const auto before = std::chrono::steady_clock::now();
    scheduler_->decide(now_, commands);
    outcomes_.decisionSeconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - before).count();
    outcomes_.commands += commands.size();
    for (const Command &command : commands) {
        if (options_.printCommands) {
            print(command);
        }
        take(command);
    }
}

void Platform::print(const Command &command) const
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

void Platform::take(const Command &command)
{
    const auto send = [&](WorkerId worker) {
        Step message;
        message.kind = Kind::Command;
        message.worker = worker;
        message.session = machines_[worker].session;
        message.command = command;
        push(std::move(message), MessageDelay);
    };
    if (const auto *start = std::get_if<StartTask>(&command)) {
        takeStart(*start);
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
        takeDone(*done);
    } else if (const auto *notRun = std::get_if<TasksNotRun>(&command)) {
        outcomes_.jobs[notRun->job].notRun += notRun->count;
        unfinished_ -= notRun->count;
        for (std::uint32_t index = 0; index < notRun->count; ++index) {
            jobs_[notRun->job].finals.insert(notRun->firstIndex + index);
        }
    } else if (const auto *never = std::get_if<JobNeverFits>(&command)) {
        ++outcomes_.jobs[never->job].neverFits;
    } else if (const auto *ended = std::get_if<JobShareDone>(&command)) {
        jobs_[ended->job].ended = true;
    }
}

void Platform::takeStart(const StartTask &start)
{
    JobOutcome &outcome = outcomes_.jobs[start.task.job];
    outcome.startTimes.push_back(now_);
    outcomes_.starts.push_back({now_, start.worker});
    jobs_[start.task.job].started.insert(start.task.index);
    if (++outcome.startsByIndex[start.task.index] == 1) {
        outcome.waits.push_back(std::chrono::duration_cast<milliseconds>(now_ - outcome.arrivedAt));
    }
}

void Platform::takeDone(const TaskDone &done)
{
    JobOutcome &outcome = outcomes_.jobs[done.task.job];
    jobs_[done.task.job].finals.insert(done.task.index);
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

void Platform::step(const Step &due)
{
    switch (due.kind) {
    case Kind::Tick:
        push({}, TickInterval);
        break;
    case Kind::Usage:
        reportUsage(due.worker);
        push(due, UsageInterval);
        break;
    case Kind::Command:
        if (due.session == machines_[due.worker].session) {
            deliver(due.worker, due.command);
        }
        break;
    case Kind::Report:
        if (due.session == machines_[due.worker].session && machines_[due.worker].connected) {
            give(WorkerReported{due.worker, due.reports});
        }
        break;
    case Kind::TaskEnd:
    case Kind::Checkpointed: {
        const auto found = machines_[due.worker].running.find(due.task);
        if (found == machines_[due.worker].running.end()) {
            return;
        }
        if (due.kind == Kind::Checkpointed) {
            advance(found->second);
            jobs_[due.task.job].saved[due.task.index] = found->second.doneMs;
            endTask(due.worker, due.task, TaskState::Checkpointed);
        } else if (found->second.generation == due.generation) {
            endTask(due.worker, due.task, found->second.fails ? TaskState::Failed : TaskState::Finished);
        }
        break;
    }
    }
}

} // namespace yuccawheel::bench
