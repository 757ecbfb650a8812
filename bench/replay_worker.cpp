// Simulated workers: they start, stop and checkpoint tasks with the run times and usage that the trace gives.

#include "replay_simulation.h"

#include <algorithm>

namespace yuccawheel::bench
{

using namespace placement;
using namespace std::chrono_literals;

namespace
{

constexpr milliseconds CheckpointDuration = 800ms;
constexpr milliseconds UsageReportDelay = 10s;
constexpr milliseconds FailureDelay = 300ms;
constexpr double OverLimitSpeed = 0.25; ///< Relative speed of a task whose memory usage exceeds its limit.

} // namespace

void ReplaySimulation::deliverCommand(WorkerId worker, const Command &command)
{
    SimulatedWorker &workerState = workers_[worker];
    if (!workerState.connected) {
        // Retries the delivery until the worker is reachable again.
        TimedEvent message;
        message.kind = Kind::Command;
        message.worker = worker;
        message.session = workerState.session;
        message.command = command;
        scheduleEvent(std::move(message), 1s);
    } else if (const auto *start = std::get_if<StartTask>(&command)) {
        startTask(worker, *start);
    } else if (const auto *stop = std::get_if<StopTask>(&command)) {
        stopTask(worker, *stop);
    } else if (const auto *throttle = std::get_if<ThrottleTask>(&command)) {
        const auto found = workerState.running.find(throttle->task);
        if (found != workerState.running.end()) {
            updateProgress(found->second);
            addUsage(worker, found->second, -1);
            found->second.limit = throttle->limit;
            addUsage(worker, found->second, 1);
            scheduleTaskEnd(worker, found->second);
        }
    }
}

void ReplaySimulation::startTask(WorkerId worker, const StartTask &start)
{
    SimulatedWorker &workerState = workers_[worker];
    if (workerState.ended.count(start.task) != 0) {
        return;
    }
    JobState &jobState = jobs_[start.task.job];
    Running running;
    running.task = start.task;
    running.limit = start.reserved;
    running.profile = jobState.job.profiles[std::min<std::size_t>(start.task.index, jobState.job.profiles.size() - 1)];
    running.updatedAt = now_;
    running.progressMs = start.resumeFromCheckpoint ? jobState.checkpointedMs[start.task.index] : 0;
    std::int32_t &failures = jobState.failures[start.task.index];
    running.willFail = workerState.failsAll || running.profile.failures < 0 || failures < running.profile.failures;
    failures += running.willFail && !workerState.failsAll ? 1 : 0;
    busyWorkers_ += workerState.running.empty() ? 1 : 0;
    outcomes_.duplicateRuns += runningIndices_.insert({start.task.job, start.task.index}).second ? 0 : 1;
    Running &entry = workerState.running[start.task] = running;
    addUsage(worker, entry, 1);
    scheduleTaskEnd(worker, entry);
    Resources sum;
    std::uint32_t onRack = 0;
    for (const auto &[task, other] : workerState.running) {
        sum += other.limit;
    }
    outcomes_.overcommits += sum.fitsIn(workerState.origin.capacity) ? 0 : 1;
    for (WorkerId other = 0; other < workers_.size(); ++other) {
        if (jobState.job.spec.kind == JobKind::Service
            && other / workerState.origin.rackSize == worker / workerState.origin.rackSize) {
            for (const auto &[task, content] : workers_[other].running) {
                onRack += task.job == start.task.job ? 1 : 0;
            }
        }
    }
    JobOutcome &outcome = outcomes_.jobs[start.task.job];
    outcome.maxTasksPerRack = std::max(outcome.maxTasksPerRack, onRack);
    sendReport(worker, start.task, TaskState::Running);
}

void ReplaySimulation::stopTask(WorkerId worker, const StopTask &stop)
{
    SimulatedWorker &workerState = workers_[worker];
    if (workerState.running.count(stop.task) == 0) {
        sendReport(worker, stop.task, workerState.ended.emplace(stop.task, TaskState::Unknown).first->second);
    } else if (stop.checkpointFirst) {
        TimedEvent done;
        done.kind = Kind::Checkpointed;
        done.worker = worker;
        done.task = stop.task;
        scheduleEvent(done, CheckpointDuration);
    } else {
        endTask(worker, stop.task, TaskState::Stopped);
    }
}

void ReplaySimulation::endTask(WorkerId worker, TaskId task, TaskState state)
{
    SimulatedWorker &workerState = workers_[worker];
    Running &running = workerState.running.at(task);
    if (state == TaskState::Stopped || state == TaskState::Failed) {
        updateProgress(running);
        const double checkpointedMs = jobs_[task.job].checkpointedMs[task.index];
        outcomes_.lostWorkHours += std::max(0.0, running.progressMs - checkpointedMs) / 3.6e6;
    }
    addUsage(worker, running, -1);
    const Resources sampled = running.sampled;
    workerState.running.erase(task);
    runningIndices_.erase({task.job, task.index});
    busyWorkers_ -= workerState.running.empty() ? 1 : 0;
    workerState.ended[task] = state;
    sendReport(worker, task, state, sampled);
}

void ReplaySimulation::sendReport(WorkerId worker, const TaskId &task, TaskState state, const Resources &usage)
{
    TimedEvent message;
    message.kind = Kind::Report;
    message.worker = worker;
    message.session = workers_[worker].session;
    message.reports = {{task, state, usage, std::nullopt}};
    scheduleEvent(std::move(message), MessageDelay);
}

void ReplaySimulation::reportUsage(WorkerId worker)
{
    TimedEvent message;
    message.kind = Kind::Report;
    message.worker = worker;
    message.session = workers_[worker].session;
    for (auto &[task, running] : workers_[worker].running) {
        updateProgress(running);
        running.sampled = currentUsage(running);
        const auto limit = options_.reportLimits ? std::optional(running.limit) : std::nullopt;
        message.reports.push_back({task, TaskState::Running, running.sampled, limit});
    }
    if (!message.reports.empty()) {
        scheduleEvent(std::move(message), UsageReportDelay);
    }
}

double ReplaySimulation::speed(const Running &running)
{
    double factor = 1;
    if (running.profile.usage.milliCpu > running.limit.milliCpu && running.profile.usage.milliCpu > 0) {
        factor = static_cast<double>(running.limit.milliCpu) / static_cast<double>(running.profile.usage.milliCpu);
    }
    return running.profile.usage.memoryMib > running.limit.memoryMib ? factor * OverLimitSpeed : factor;
}

// Memory usage grows to its peak over the first third of the run; CPU usage is constant.
Resources ReplaySimulation::currentUsage(const Running &running)
{
    const double total = std::max(1.0, static_cast<double>(running.profile.runTime.count()));
    const double part = std::min(1.0, 0.4 + (running.progressMs / total * 1.8));
    Resources used = running.profile.usage;
    used.memoryMib = static_cast<std::int64_t>(static_cast<double>(used.memoryMib) * part);
    return elementwiseMin(used, running.limit);
}

void ReplaySimulation::updateProgress(Running &running) const
{
    running.progressMs += std::chrono::duration<double, std::milli>(now_ - running.updatedAt).count() * speed(running);
    running.updatedAt = now_;
}

void ReplaySimulation::addUsage(WorkerId worker, const Running &running, int sign)
{
    SimulatedWorker &workerState = workers_[worker];
    const Resources used = elementwiseMin(running.profile.usage, running.limit);
    used_ += used * sign;
    reserved_ += running.limit * sign;
    if (jobs_[running.task.job].job.spec.kind == JobKind::Service) {
        unusedByServices_ += (running.limit - used) * sign;
    }
    dominantShares_ -= workersFilled(workerState.reserved, workerState.origin.capacity);
    workerState.reserved += running.limit * sign;
    dominantShares_ += workersFilled(workerState.reserved, workerState.origin.capacity);
}

void ReplaySimulation::scheduleTaskEnd(WorkerId worker, Running &running)
{
    running.generation = ++generation_;
    if (running.profile.runTime.count() == 0 && !running.willFail) {
        return;
    }
    const double left = running.willFail
        ? static_cast<double>(FailureDelay.count())
        : (static_cast<double>(running.profile.runTime.count()) - running.progressMs) / std::max(1e-3, speed(running));
    TimedEvent end;
    end.kind = Kind::TaskEnd;
    end.worker = worker;
    end.task = running.task;
    end.generation = running.generation;
    scheduleEvent(end, milliseconds(std::max<std::int64_t>(1, static_cast<std::int64_t>(left))));
}

} // namespace yuccawheel::bench
