#include "placement/event_handlers.h"

#include <algorithm>

namespace yuccawheel::placement
{

namespace
{

constexpr std::chrono::minutes MaxDrainWait{5}; ///< Tasks expected to end sooner are not stopped.

} // namespace

bool canAdopt(const ZoneState &zone, JobHandle handle, const TaskId &task)
{
    const Job &job = zone.jobs[handle];
    if (job.cancelled || task.index < job.firstIndex || task.index - job.firstIndex >= job.slots.size()) {
        return false;
    }
    const TaskSlot &slot = job.slots[task.index - job.firstIndex];
    return slot.live == NoHandle && slot.state != SlotState::Done
        && (!slot.started || slot.state == SlotState::Uncertain);
}

void WorkerEventHandler::handle(const WorkerJoined &event)
{
    Worker &worker = registerWorker(event);
    ++worker.session;
    worker.liveness = Liveness::Up;
    resendStops(event.worker);
    applyCapacity(event.worker, event.capacity);
    for (const TaskReport &ended : event.ended) {
        handleReport(event.worker, ended);
    }
    reconcileWithList(event);
    for (const WorkerJoined::Held &held : event.running) {
        adoptHeldTask(event.worker, held);
    }
    zone_.updateIndexes(event.worker);
    zone_.markDirty(event.worker);
}

Worker &WorkerEventHandler::registerWorker(const WorkerJoined &event)
{
    if (event.worker >= zone_.workers.size()) {
        zone_.workers.resize(event.worker + 1);
    }
    zone_.ledger.grow(zone_.workers.size());
    const auto [found, isNew] = zone_.rackIds.try_emplace(event.rack, static_cast<RackId>(zone_.racks.size()));
    if (isNew) {
        zone_.racks.push_back({event.rack, {}, 0});
    }
    Worker &worker = zone_.workers[event.worker];
    worker.name = event.name;
    const auto removeFromRack = [&](Rack &rack) {
        rack.workers.erase(std::remove(rack.workers.begin(), rack.workers.end(), event.worker), rack.workers.end());
        rack.busyWorkers -= worker.busy ? 1 : 0;
    };
    if (worker.rack < zone_.racks.size()) {
        removeFromRack(zone_.racks[worker.rack]);
    }
    worker.rack = found->second;
    zone_.racks[worker.rack].workers.push_back(event.worker);
    zone_.racks[worker.rack].busyWorkers += worker.busy ? 1 : 0;
    return worker;
}

// If the worker's new capacity is less than what is reserved on it, its tasks keep reduced reservations until they
// stop.
void WorkerEventHandler::applyCapacity(WorkerId worker, const Resources &capacity)
{
    if (zone_.ledger.reserved(worker).fitsIn(capacity)) {
        zone_.setCapacity(worker, capacity);
        return;
    }
    Resources left = capacity;
    for (const LiveHandle live : zone_.workers[worker].tasks) {
        const Resources before = zone_.jobs.live(live).reserved;
        const Resources cut = elementwiseMin(before, left);
        left -= cut;
        if (cut != before) {
            zone_.resizeReservation(live, cut);
            zone_.requestStop(live, StopReason::Overgrown, true);
        }
    }
    zone_.setCapacity(worker, capacity);
}

// An attempt that the worker doesn't list has ended, or its StartTask was lost; the answer to a stop tells which.
void WorkerEventHandler::reconcileWithList(const WorkerJoined &event)
{
    const std::vector<LiveHandle> tasks = zone_.workers[event.worker].tasks;
    for (const LiveHandle live : tasks) {
        LiveTask &task = zone_.jobs.live(live);
        const bool listed = std::any_of(
            event.running.begin(), event.running.end(), [&](const auto &held) { return held.task == task.task; });
        if (listed) {
            task.seenRunning = true;
            task.session = zone_.workers[event.worker].session;
        }
        if (!listed && !task.stopping) {
            zone_.requestStop(live, StopReason::Missing, false);
        }
    }
}

void WorkerEventHandler::adoptHeldTask(WorkerId worker, const WorkerJoined::Held &held)
{
    if (findAttemptOn(worker, held.task)) {
        return;
    }
    const auto handle = zone_.jobs.find(held.task.job);
    const bool adoptable = handle && canAdopt(zone_, *handle, held.task);
    const bool mayBeAssignedLater = !handle && !zone_.recoveryFinished && zone_.endedJobs.count(held.task.job) == 0;
    const LiveHandle live = zone_.adoptAttempt(held.task, adoptable ? *handle : NoHandle, worker, held.reserved);
    if (mayBeAssignedLater) {
        zone_.unclaimed.emplace(held.task.job, live);
    } else if (!adoptable) {
        zone_.requestStop(live, StopReason::NotOurs, false);
    } else if (zone_.jobs.live(live).reserved != held.reserved) {
        zone_.requestStop(live, StopReason::Overgrown, true);
    }
}

void WorkerEventHandler::handle(const WorkerReported &event)
{
    if (event.worker >= zone_.workers.size() || zone_.workers[event.worker].liveness == Liveness::Gone) {
        return;
    }
    for (const TaskReport &report : event.tasks) {
        handleReport(event.worker, report);
    }
}

void WorkerEventHandler::handleReport(WorkerId worker, const TaskReport &report)
{
    const auto live = findAttemptOn(worker, report.task);
    if (!live) {
        // The success of an attempt that was given up counts. Other reports of ended attempts of a known job are late
        // and are ignored. Workers list their tasks when they join.
        if (report.state == TaskState::Finished) {
            endHandler_.handleLateSuccess(report.task);
            return;
        }
        const bool late = zone_.jobs.find(report.task.job) || zone_.endedJobs.count(report.task.job) != 0;
        if (report.state == TaskState::Running && !late) {
            zone_.outbox.emplace_back(StopTask{worker, report.task, StopReason::NotOurs, false});
        }
        return;
    }
    LiveTask &task = zone_.jobs.live(*live);
    task.peak = elementwiseMax(task.peak, report.usage);
    task.usageReports = static_cast<std::uint8_t>(std::min(task.usageReports + (report.usage.isZero() ? 0 : 1), 100));
    if (report.state != TaskState::Running) {
        endHandler_.handleEnded(*live, report.state);
        return;
    }
    task.seenRunning = true;
    trimmer_.handleReport(*live, report);
    grower_.handleReport(*live, report);
}

std::optional<LiveHandle> WorkerEventHandler::findAttemptOn(WorkerId worker, const TaskId &task) const
{
    if (const auto live = zone_.jobs.findLive(task)) {
        return zone_.jobs.live(*live).worker == worker ? live : std::nullopt;
    }
    // Attempts that belong to no known share are only in the worker's list.
    for (const LiveHandle live : zone_.workers[worker].tasks) {
        if (zone_.jobs.live(live).task == task) {
            return live;
        }
    }
    return std::nullopt;
}

void WorkerEventHandler::handle(const WorkerUnreachable &event)
{
    if (event.worker < zone_.workers.size() && zone_.workers[event.worker].liveness == Liveness::Up) {
        zone_.workers[event.worker].liveness = Liveness::Unreachable;
        zone_.updateIndexes(event.worker);
    }
}

void WorkerEventHandler::handle(const WorkerReachable &event)
{
    if (event.worker < zone_.workers.size() && zone_.workers[event.worker].liveness == Liveness::Unreachable) {
        zone_.workers[event.worker].liveness = Liveness::Up;
        resendStops(event.worker);
        zone_.updateIndexes(event.worker);
        zone_.markDirty(event.worker);
    }
}

void WorkerEventHandler::resendStops(WorkerId worker)
{
    for (const LiveHandle live : zone_.workers[worker].tasks) {
        const LiveTask &task = zone_.jobs.live(live);
        if (task.stopping) {
            zone_.outbox.emplace_back(StopTask{worker, task.task, task.reason, task.checkpointing});
        }
    }
}

void WorkerEventHandler::handle(const WorkerLeasesExpired &event)
{
    if (event.worker >= zone_.workers.size() || zone_.workers[event.worker].liveness == Liveness::Gone) {
        return;
    }
    Worker &worker = zone_.workers[event.worker];
    worker.liveness = Liveness::Gone;
    const std::vector<LiveHandle> tasks = worker.tasks;
    for (const LiveHandle live : tasks) {
        endHandler_.handleLost(live);
    }
    zone_.setCapacity(event.worker, {});
    zone_.updateIndexes(event.worker);
    for (auto entry = zone_.unclaimed.begin(); entry != zone_.unclaimed.end();) {
        const bool gone = std::find(tasks.begin(), tasks.end(), entry->second) != tasks.end();
        entry = gone ? zone_.unclaimed.erase(entry) : std::next(entry);
    }
}

void WorkerEventHandler::handle(const WorkerDrain &event)
{
    if (event.worker >= zone_.workers.size()) {
        zone_.workers.resize(event.worker + 1);
    }
    Worker &worker = zone_.workers[event.worker];
    if (event.drain && !worker.draining) {
        zone_.drainingWorkers.push_back(event.worker);
    } else if (!event.drain) {
        std::erase(zone_.drainingWorkers, event.worker);
    }
    worker.draining = event.drain;
    if (worker.liveness != Liveness::Gone) {
        zone_.updateIndexes(event.worker);
        zone_.markDirty(event.worker);
    }
}

// Service replicas are moved within the service's maxDisruption; long-running tasks are checkpointed and resume on
// other workers.
void WorkerEventHandler::stopTasksOnDrainingWorkers()
{
    for (const WorkerId worker : zone_.drainingWorkers) {
        if (zone_.workers[worker].liveness != Liveness::Up) {
            continue;
        }
        for (const LiveHandle live : zone_.workers[worker].tasks) {
            const LiveTask &task = zone_.jobs.live(live);
            if (task.job == NoHandle || task.stopping) {
                continue;
            }
            const Job &job = zone_.jobs[task.job];
            const bool isService = job.spec.kind == JobKind::Service;
            const bool disrupts = isService && job.disruptedCount() >= job.spec.maxDisruption;
            const bool endsSoon = !isService && task.startedAt + job.runTime <= zone_.now + MaxDrainWait;
            if (job.spec.repeatable && !disrupts && !endsSoon) {
                zone_.requestStop(live, StopReason::Drained, true);
            }
        }
    }
}

} // namespace yuccawheel::placement
