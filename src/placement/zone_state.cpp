#include "placement/zone_state.h"

#include "base/invariant.h"

#include <algorithm>

namespace yuccawheel::placement
{

bool ZoneState::acceptsTasks(WorkerId worker) const
{
    const Worker &entry = workers[worker];
    if (entry.liveness != Liveness::Up || entry.draining) {
        return false;
    }
    const WorkerHealth::State state = entry.health.state();
    return state == WorkerHealth::State::Healthy
        || (state == WorkerHealth::State::Probation && countTrials(worker, false) == 0);
}

// What ran there before the probation doesn't tell whether tasks that start now fail.
std::size_t ZoneState::countTrials(WorkerId worker, bool lasting) const
{
    const Worker &entry = workers[worker];
    return static_cast<std::size_t>(std::count_if(entry.tasks.begin(), entry.tasks.end(), [&](LiveHandle live) {
        const LiveTask &task = jobs.live(live);
        const bool hasLasted = task.seenRunning && now - task.startedAt >= WorkerHealth::TrialTime;
        return entry.health.isTrial(task.startedAt) && hasLasted == lasting;
    }));
}

void ZoneState::updateIndexes(WorkerId worker)
{
    updateBusy(worker);
    const Worker &entry = workers[worker];
    const bool forReservation = entry.heldFor != NoHandle && entry.heldFor == backfill.job;
    if (!acceptsTasks(worker) || (entry.heldFor != NoHandle && !forReservation)) {
        openWorkers.remove(worker);
        heldWorkers.remove(worker);
        return;
    }
    const bool idleRack = racks[entry.rack].busyWorkers == 0;
    const Occupancy occupancy = entry.evacuating ? Occupancy::Evacuating
        : entry.busy                             ? Occupancy::Busy
        : idleRack                               ? Occupancy::IdleRack
                                                 : Occupancy::IdleInBusyRack;
    FitIndex &target = forReservation ? heldWorkers : openWorkers;
    (forReservation ? openWorkers : heldWorkers).remove(worker);
    target.update(worker, ledger.free(worker), occupancy);
}

// The occupancy class of a rack's idle workers changes when the rack gets its first or loses its last busy worker.
void ZoneState::updateBusy(WorkerId worker)
{
    Worker &entry = workers[worker];
    const bool busy = !entry.tasks.empty();
    if (entry.busy == busy) {
        return;
    }
    entry.busy = busy;
    Rack &rack = racks[entry.rack];
    rack.busyWorkers += busy ? 1 : -1;
    if (rack.busyWorkers != (busy ? 1U : 0U)) {
        return;
    }
    for (const WorkerId other : rack.workers) {
        if (other != worker && workers[other].liveness != Liveness::Gone) {
            updateIndexes(other);
        }
    }
}

void ZoneState::markDirty(WorkerId worker)
{
    if (!workers[worker].dirty) {
        workers[worker].dirty = true;
        dirtyWorkers.push_back(worker);
    }
}

void ZoneState::holdWorker(JobHandle job, WorkerId worker)
{
    YW_INVARIANT(workers[worker].heldFor == NoHandle, "a worker must be held for at most one job");
    workers[worker].heldFor = job;
    jobs[job].hold.workers.push_back(worker);
    updateIndexes(worker);
}

void ZoneState::releaseHeldWorkers(JobHandle job)
{
    if (backfill.job == job) {
        backfill = {};
    }
    std::vector<WorkerId> freed;
    freed.swap(jobs[job].hold.workers);
    for (const WorkerId worker : freed) {
        workers[worker].heldFor = NoHandle;
        updateIndexes(worker);
        markDirty(worker);
    }
}

void ZoneState::releaseHeldWorker(WorkerId worker)
{
    std::erase(jobs[workers[worker].heldFor].hold.workers, worker);
    workers[worker].heldFor = NoHandle;
    updateIndexes(worker);
    markDirty(worker);
}

bool ZoneState::precedes(JobHandle left, JobHandle right) const
{
    const auto key = [this](JobHandle handle) {
        const Job &job = jobs[handle];
        return std::tuple(job.rank.nonUrgent, teams.band(job.team, ledger.totalCapacity()), job.rank);
    };
    return key(left) < key(right);
}

void ZoneState::setCapacity(WorkerId worker, const Resources &capacity)
{
    const auto count = [this](const Resources &amount, int change) {
        if (amount.isZero()) {
            return;
        }
        const auto found = std::find_if(capacityClasses.begin(),
                                        capacityClasses.end(),
                                        [&](const CapacityClass &entry) { return entry.capacity == amount; });
        if (found == capacityClasses.end()) {
            capacityClasses.push_back({amount, 1});
        } else {
            found->workers += change;
        }
    };
    const Resources before = ledger.capacity(worker);
    if (before == capacity) {
        return;
    }
    count(before, -1);
    count(capacity, 1);
    ledger.setCapacity(worker, capacity);
    openWorkers.setLargestCapacity(capacity);
    heldWorkers.setLargestCapacity(capacity);
    // Blocked jobs may wait for room on a worker that lost capacity; trying them again reports those that no longer
    // fit.
    if (!before.fitsIn(capacity)) {
        queue.unblockAll();
    }
    std::vector<JobId> rechecked;
    rechecked.swap(neverFitJobs);
    for (const JobId job : rechecked) {
        if (const auto handle = jobs.find(job)) {
            jobs[*handle].awaitsCapacity = false;
            enqueue(*handle);
        }
    }
}

bool ZoneState::fitsAnyWorker(const Resources &amount) const
{
    return std::any_of(capacityClasses.begin(), capacityClasses.end(), [&](const CapacityClass &entry) {
        return entry.workers > 0 && amount.fitsIn(entry.capacity);
    });
}

// A job that has only failed so far is tried on other workers, to distinguish a faulty worker from a faulty job, and to
// keep a worker that fails tasks at once from attracting all tasks of the job. The workers are avoided for a limited
// time, in case there are no others.
std::span<const WorkerId> ZoneState::avoidedWorkers(const Job &job) const
{
    constexpr std::chrono::seconds AvoidDuration{30};
    const bool recentlyFailed = now - job.lastFailureAt < AvoidDuration;
    return recentlyFailed ? std::span<const WorkerId>(job.failedOn) : std::span<const WorkerId>();
}

bool ZoneState::shouldAvoid(const Job &job, WorkerId worker) const
{
    const std::span<const WorkerId> avoided = avoidedWorkers(job);
    return std::find(avoided.begin(), avoided.end(), worker) != avoided.end();
}

LiveTask ZoneState::newAttempt(const TaskId &id, JobHandle handle, WorkerId worker, const Resources &reserved) const
{
    LiveTask task;
    task.task = id;
    task.job = handle;
    task.worker = worker;
    task.position = static_cast<std::uint32_t>(workers[worker].tasks.size());
    task.reserved = reserved;
    task.lowestLimit = reserved;
    task.startedAt = now;
    task.session = workers[worker].session;
    return task;
}

LiveHandle ZoneState::startAttempt(JobHandle handle, std::uint32_t slotNumber, WorkerId worker)
{
    Job &job = jobs[handle];
    TaskSlot &slot = job.slots[slotNumber];
    YW_INVARIANT(job.spec.repeatable || !slot.started, "a non-repeatable task index must not start twice");
    YW_INVARIANT(workers[worker].liveness == Liveness::Up, "tasks must start on reachable workers");
    YW_INVARIANT(!job.cancelled, "a cancelled job must not start tasks");
    reserve(job.team, worker, job.size);
    const TaskId id{job.spec.id, job.firstIndex + slotNumber, slot.nextAttempt};
    const LiveTask task = newAttempt(id, handle, worker, job.size);
    const LiveHandle live = jobs.addLive(task);
    workers[worker].tasks.push_back(live);
    slot.started = true;
    slot.lastWorker = worker;
    slot.lastAttempt = slot.nextAttempt++;
    updateIndexes(worker);
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - slot.waitingSince);
    outbox.emplace_back(StartTask{worker, task.task, task.reserved, waited, slot.checkpointed});
    return live;
}

LiveHandle ZoneState::adoptAttempt(const TaskId &id, JobHandle handle, WorkerId worker, const Resources &reserved)
{
    LiveTask task = newAttempt(id, handle, worker, elementwiseMin(elementwiseMax(reserved, {}), ledger.free(worker)));
    task.seenRunning = true;
    if (handle != NoHandle && jobs.slotOf(handle, id.index)->state == SlotState::Fresh) {
        --jobs[handle].freshCount;
    }
    const LiveHandle live = jobs.addLive(task);
    workers[worker].tasks.push_back(live);
    if (handle != NoHandle) {
        TaskSlot &slot = *jobs.slotOf(handle, id.index);
        slot.started = true;
        slot.ran = true;
        slot.lastWorker = worker;
        slot.lastAttempt = id.attempt;
        slot.nextAttempt = std::max(slot.nextAttempt, id.attempt + 1);
        reserve(jobs[handle].team, worker, task.reserved);
    } else {
        ledger.reserve(worker, task.reserved);
    }
    updateIndexes(worker);
    return live;
}

// If the checkpoint isn't done by stopDeadline, Planner::Impl::runTimers() requests a stop without a checkpoint.
void ZoneState::requestStop(LiveHandle live, StopReason reason, bool checkpointFirst)
{
    constexpr std::chrono::seconds PreemptionGrace{3};
    constexpr std::chrono::seconds CheckpointGrace{30};
    LiveTask &task = jobs.live(live);
    if (task.stopping && (!task.checkpointing || checkpointFirst)) {
        return;
    }
    if (!task.stopping && task.job != NoHandle) {
        ++jobs[task.job].stoppingCount;
    }
    task.stopping = true;
    task.checkpointing = checkpointFirst;
    task.reason = reason;
    if (checkpointFirst) {
        task.stopDeadline = now + (reason == StopReason::Preempted ? PreemptionGrace : CheckpointGrace);
        pendingCheckpoints.push_back(task.task);
    }
    outbox.emplace_back(StopTask{task.worker, task.task, reason, checkpointFirst});
}

LiveTask ZoneState::releaseAttempt(LiveHandle live)
{
    const LiveTask task = jobs.live(live);
    Worker &worker = workers[task.worker];
    const LiveHandle last = worker.tasks.back();
    worker.tasks[task.position] = last;
    jobs.live(last).position = task.position;
    worker.tasks.pop_back();
    if (task.job != NoHandle) {
        unreserve(jobs[task.job].team, task.worker, task.reserved);
        jobs[task.job].stoppingCount -= task.stopping ? 1 : 0;
    } else {
        ledger.release(task.worker, task.reserved);
    }
    jobs.removeLive(live);
    updateIndexes(task.worker);
    markDirty(task.worker);
    return task;
}

void ZoneState::resizeReservation(LiveHandle live, const Resources &reserved)
{
    LiveTask &task = jobs.live(live);
    const TeamId team = jobs[task.job].team;
    unreserve(team, task.worker, task.reserved);
    task.reserved = reserved;
    reserve(team, task.worker, reserved);
    updateIndexes(task.worker);
}

void ZoneState::reserve(TeamId team, WorkerId worker, const Resources &amount)
{
    ledger.reserve(worker, amount);
    teams.charge(team, amount);
    updateBand(team);
}

void ZoneState::unreserve(TeamId team, WorkerId worker, const Resources &amount)
{
    ledger.release(worker, amount);
    teams.discharge(team, amount);
    updateBand(team);
}

void ZoneState::updateBand(TeamId team)
{
    queue.setBand(team, teams.band(team, ledger.totalCapacity()));
}

std::uint32_t ZoneState::takeSlot(JobHandle handle)
{
    Job &job = jobs[handle];
    if (!job.ready.empty()) {
        const std::uint32_t slot = job.ready.back();
        job.ready.pop_back();
        return slot;
    }
    while (job.slots[job.nextFresh].state != SlotState::Fresh) {
        ++job.nextFresh;
    }
    --job.freshCount;
    return job.nextFresh++;
}

void ZoneState::makeReady(JobHandle handle, std::uint32_t slotNumber)
{
    Job &job = jobs[handle];
    TaskSlot &slot = job.slots[slotNumber];
    YW_INVARIANT(slot.live == NoHandle && slot.state != SlotState::Done,
                 "a task index must not start again while it is live or concluded");
    slot.state = SlotState::Ready;
    job.ready.push_back(slotNumber);
}

void ZoneState::enqueue(JobHandle handle)
{
    Job &job = jobs[handle];
    const std::uint32_t startable = job.startableCount();
    if (queue.contains(handle) || startable == 0 || job.cancelled || job.rollingBack) {
        return;
    }
    if (job.spec.kind == JobKind::Gang && startable + job.doneCount < job.slots.size()) {
        return;
    }
    updateSize(handle);
    if (!checkNeverFits(handle)) {
        queue.push({handle, job.team, job.size, job.spec.kind == JobKind::Gang, job.rank});
        if (job.spec.urgent) {
            urgentJobs.push_back(job.spec.id);
        }
    }
}

// A learned size that fits no worker must be wrong, so the declared size is used instead.
bool ZoneState::updateSize(JobHandle handle)
{
    Job &job = jobs[handle];
    const Estimate estimate = estimator.estimate(job.history, job.spec);
    const Resources wanted = elementwiseMax(estimate.size, job.minSize);
    const Resources before = job.size;
    job.size = fitsAnyWorker(wanted) ? wanted : job.spec.perTask;
    job.runTime = estimate.runTime;
    job.estimateVersion = estimator.version(job.history);
    return job.size != before;
}

bool ZoneState::checkNeverFits(JobHandle handle)
{
    Job &job = jobs[handle];
    std::int64_t fittingTasks = 0;
    Resources missing;
    std::int64_t nearest = std::numeric_limits<std::int64_t>::max();
    for (const CapacityClass &entry : capacityClasses) {
        if (entry.workers == 0) {
            continue;
        }
        fittingTasks += job.size.countFittingIn(entry.capacity) * entry.workers;
        const Resources shortfall = elementwiseMax(job.size - entry.capacity, {});
        const std::int64_t distance = shortfall.milliCpu + (shortfall.memoryMib / 4) + (shortfall.accelerators * 1000);
        if (distance < nearest) {
            nearest = distance;
            missing = shortfall;
        }
    }
    const std::int64_t needed = job.spec.kind == JobKind::Gang ? job.startableCount() : 1;
    const bool before = job.neverFits;
    job.neverFits = fittingTasks < needed && nearest != std::numeric_limits<std::int64_t>::max();
    if (!job.neverFits) {
        return false;
    }
    missing = missing.isZero() ? job.size * (needed - fittingTasks) : missing;
    if (!before || missing != job.missing) {
        outbox.emplace_back(JobNeverFits{job.spec.id, missing});
    }
    job.missing = missing;
    if (!job.awaitsCapacity) {
        job.awaitsCapacity = true;
        neverFitJobs.push_back(job.spec.id);
    }
    return true;
}

void ZoneState::concludeTask(JobHandle handle, std::uint32_t slotNumber, base::Verdict verdict, bool succeeded)
{
    Job &job = jobs[handle];
    TaskSlot &slot = job.slots[slotNumber];
    YW_INVARIANT(slot.live == NoHandle, "a task index must not be concluded while an attempt is live");
    YW_INVARIANT(slot.state != SlotState::Done, "a task index must not be concluded twice");
    slot.state = SlotState::Done;
    ++job.doneCount;
    const TaskId task{job.spec.id, job.firstIndex + slotNumber, slot.lastAttempt};
    outbox.emplace_back(TaskDone{task, verdict, succeeded});
}

void ZoneState::finishIfDone(JobHandle handle)
{
    constexpr std::size_t MaxEndedJobs = 65'536;
    const Job &job = jobs[handle];
    if (job.doneCount < job.slots.size()) {
        return;
    }
    const JobId id = job.spec.id;
    outbox.emplace_back(JobShareDone{id});
    queue.erase(handle);
    releaseHeldWorkers(handle);
    jobs.remove(handle);
    endedJobs.insert(id);
    endedOrder.push(id);
    if (endedOrder.size() > MaxEndedJobs) {
        endedJobs.erase(endedOrder.front());
        endedOrder.pop();
    }
}

void ZoneState::addDecisionNote(JobId job, std::string text)
{
    outbox.emplace_back(DecisionNote{job, std::move(text)});
}

} // namespace yuccawheel::placement
