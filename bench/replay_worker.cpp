// What workers do in a replay: they start, stop and checkpoint tasks, which take time and use what the trace says.

#include "replay_platform.h"

#include <algorithm>

namespace yuccawheel::bench
{

using namespace placement;
using namespace std::chrono_literals;

namespace
{

constexpr milliseconds CheckpointTime = 800ms;
constexpr milliseconds UsageLag = 10s;
constexpr milliseconds FailAfter = 300ms;
constexpr double OverLimitSpeed = 0.25; ///< Of a task that needs more memory than it may have.

} // namespace

void Platform::deliver(WorkerId worker, const Command &command)
{
    Machine &machine = machines_[worker];
    if (!machine.connected) {
        // The connection holds it back until the worker answers again.
        Step message;
        message.kind = Kind::Command;
        message.worker = worker;
        message.session = machine.session;
        message.command = command;
        push(std::move(message), 1s);
    } else if (const auto *start = std::get_if<StartTask>(&command)) {
        startTask(worker, *start);
    } else if (const auto *stop = std::get_if<StopTask>(&command)) {
        stopTask(worker, *stop);
    } else if (const auto *throttle = std::get_if<ThrottleTask>(&command)) {
        const auto found = machine.running.find(throttle->task);
        if (found != machine.running.end()) {
            advance(found->second);
            addUse(worker, found->second, -1);
            found->second.limit = throttle->limit;
            addUse(worker, found->second, 1);
            schedule(worker, found->second);
        }
    }
}

void Platform::startTask(WorkerId worker, const StartTask &start)
{
    Machine &machine = machines_[worker];
    if (machine.ended.count(start.task) != 0) {
        return;
    }
    Arrived &arrived = jobs_[start.task.job];
    Running running;
    running.task = start.task;
    running.limit = start.reserved;
    running.truth = arrived.job.truths[std::min<std::size_t>(start.task.index, arrived.job.truths.size() - 1)];
    running.updatedAt = now_;
    running.doneMs = start.resumeFromCheckpoint ? arrived.saved[start.task.index] : 0;
    std::int32_t &failures = arrived.failures[start.task.index];
    running.fails = machine.failsAll || running.truth.failures < 0 || failures < running.truth.failures;
    failures += running.fails && !machine.failsAll ? 1 : 0;
    busyWorkers_ += machine.running.empty() ? 1 : 0;
    outcomes_.doubled += live_.insert({start.task.job, start.task.index}).second ? 0 : 1;
    Running &entry = machine.running[start.task] = running;
    addUse(worker, entry, 1);
    schedule(worker, entry);
    Resources sum;
    std::uint32_t onRack = 0;
    for (const auto &[task, other] : machine.running) {
        sum += other.limit;
    }
    outcomes_.overbooked += sum.fitsIn(machine.origin.capacity) ? 0 : 1;
    for (WorkerId other = 0; other < machines_.size(); ++other) {
        if (arrived.job.spec.kind == JobKind::Service
            && other / machine.origin.rackSize == worker / machine.origin.rackSize) {
            for (const auto &[task, content] : machines_[other].running) {
                onRack += task.job == start.task.job ? 1 : 0;
            }
        }
    }
    JobOutcome &outcome = outcomes_.jobs[start.task.job];
    outcome.mostOnOneRack = std::max(outcome.mostOnOneRack, onRack);
    report(worker, start.task, TaskState::Running);
}

void Platform::stopTask(WorkerId worker, const StopTask &stop)
{
    Machine &machine = machines_[worker];
    if (machine.running.count(stop.task) == 0) {
        report(worker, stop.task, machine.ended.emplace(stop.task, TaskState::Unknown).first->second);
    } else if (stop.checkpointFirst) {
        Step done;
        done.kind = Kind::Checkpointed;
        done.worker = worker;
        done.task = stop.task;
        push(done, CheckpointTime);
    } else {
        endTask(worker, stop.task, TaskState::Stopped);
    }
}

void Platform::endTask(WorkerId worker, TaskId task, TaskState state)
{
    Machine &machine = machines_[worker];
    Running &running = machine.running.at(task);
    if (state == TaskState::Stopped || state == TaskState::Failed) {
        advance(running);
        const double saved = jobs_[task.job].saved[task.index];
        outcomes_.lostWorkHours += std::max(0.0, running.doneMs - saved) / 3.6e6;
    }
    addUse(worker, running, -1);
    const Resources sampled = running.sampled;
    machine.running.erase(task);
    live_.erase({task.job, task.index});
    busyWorkers_ -= machine.running.empty() ? 1 : 0;
    machine.ended[task] = state;
    report(worker, task, state, sampled);
}

void Platform::report(WorkerId worker, const TaskId &task, TaskState state, const Resources &use)
{
    Step message;
    message.kind = Kind::Report;
    message.worker = worker;
    message.session = machines_[worker].session;
    message.reports = {{task, state, use, std::nullopt}};
    push(std::move(message), MessageDelay);
}

void Platform::reportUsage(WorkerId worker)
{
    Step message;
    message.kind = Kind::Report;
    message.worker = worker;
    message.session = machines_[worker].session;
    for (auto &[task, running] : machines_[worker].running) {
        advance(running);
        running.sampled = usage(running);
        const auto limit = options_.reportLimits ? std::optional(running.limit) : std::nullopt;
        message.reports.push_back({task, TaskState::Running, running.sampled, limit});
    }
    if (!message.reports.empty()) {
        push(std::move(message), UsageLag);
    }
}

double Platform::speed(const Running &running)
{
    double factor = 1;
    if (running.truth.usage.milliCpu > running.limit.milliCpu && running.truth.usage.milliCpu > 0) {
        factor = static_cast<double>(running.limit.milliCpu) / static_cast<double>(running.truth.usage.milliCpu);
    }
    return running.truth.usage.memoryMib > running.limit.memoryMib ? factor * OverLimitSpeed : factor;
}

// Memory grows to its peak over the first third of the run; processors are in use from the start.
Resources Platform::usage(const Running &running)
{
    const double total = std::max(1.0, static_cast<double>(running.truth.runTime.count()));
    const double part = std::min(1.0, 0.4 + (running.doneMs / total * 1.8));
    Resources used = running.truth.usage;
    used.memoryMib = static_cast<std::int64_t>(static_cast<double>(used.memoryMib) * part);
    return elementwiseMin(used, running.limit);
}

void Platform::advance(Running &running) const
{
    running.doneMs += std::chrono::duration<double, std::milli>(now_ - running.updatedAt).count() * speed(running);
    running.updatedAt = now_;
}

void Platform::addUse(WorkerId worker, const Running &running, int sign)
{
    Machine &machine = machines_[worker];
    const Resources used = elementwiseMin(running.truth.usage, running.limit);
    used_ += used * sign;
    reserved_ += running.limit * sign;
    if (jobs_[running.task.job].job.spec.kind == JobKind::Service) {
        serviceSlack_ += (running.limit - used) * sign;
    }
    shares_ -= workersFilled(machine.reserved, machine.origin.capacity);
    machine.reserved += running.limit * sign;
    shares_ += workersFilled(machine.reserved, machine.origin.capacity);
}

void Platform::schedule(WorkerId worker, Running &running)
{
    running.generation = ++generation_;
    if (running.truth.runTime.count() == 0 && !running.fails) {
        return;
    }
    const double left = running.fails
        ? static_cast<double>(FailAfter.count())
        : (static_cast<double>(running.truth.runTime.count()) - running.doneMs) / std::max(1e-3, speed(running));
    Step end;
    end.kind = Kind::TaskEnd;
    end.worker = worker;
    end.task = running.task;
    end.generation = running.generation;
    push(end, milliseconds(std::max<std::int64_t>(1, static_cast<std::int64_t>(left))));
}

} // namespace yuccawheel::bench
