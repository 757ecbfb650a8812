#include "placement/attempt_end_handler.h"

#include <fmt/core.h>

#include <algorithm>
#include <vector>

namespace yuccawheel::placement
{

namespace
{

constexpr std::uint8_t MaxTaskFailures = 5; ///< For one task index of a batch job or a gang.
constexpr std::chrono::seconds InitialRetryDelay{1};
constexpr std::chrono::seconds MaxRetryDelay{300};

// Exponential backoff with up to 25 % jitter. The jitter is a hash of the task, so that runs are reproducible.
base::Duration retryDelay(std::uint32_t failures, std::uint64_t salt)
{
    const std::uint32_t doublings = std::min(failures > 0 ? failures - 1 : 0, 9U);
    const base::Duration delay = std::min<base::Duration>(InitialRetryDelay * (1U << doublings), MaxRetryDelay);
    const std::uint64_t part = (salt * 0x9e3779b97f4a7c15ULL) >> 54U;
    return delay + (delay * static_cast<std::int64_t>(part) / 4096);
}

} // namespace

void AttemptEndHandler::handleEnded(LiveHandle live, TaskState state)
{
    const LiveTask task = zone_.releaseAttempt(live);
    if (task.job == NoHandle) {
        return;
    }
    Job &job = zone_.jobs[task.job];
    const std::uint32_t slot = task.task.index - job.firstIndex;
    // The state Unknown proves that the task never ran only if the worker is still in the session that the task was
    // sent to.
    const bool neverRan =
        state == TaskState::Unknown && !task.seenRunning && task.session == zone_.workers[task.worker].session;
    job.slots[slot].ran = job.slots[slot].ran || !neverRan;
    job.slots[slot].checkpointed = job.slots[slot].checkpointed || state == TaskState::Checkpointed;
    if (job.cancelled) {
        concludeCancelled(task.job, slot, state);
    } else if (state == TaskState::Finished && job.spec.kind != JobKind::Service) {
        handleSuccess(task, slot);
    } else if (state == TaskState::Failed || state == TaskState::Finished) {
        handleFailure(task, slot);
    } else {
        handleInterruption(task, slot, !neverRan);
    }
}

void AttemptEndHandler::handleLost(LiveHandle live)
{
    const LiveTask task = zone_.releaseAttempt(live);
    if (task.job == NoHandle) {
        return;
    }
    Job &job = zone_.jobs[task.job];
    const std::uint32_t slot = task.task.index - job.firstIndex;
    job.slots[slot].ran = true;
    if (job.cancelled) {
        concludeCancelled(task.job, slot, TaskState::Stopped);
    } else {
        handleInterruption(task, slot, true);
    }
}

// A worker that is out of reach beyond the lease may have ended the task before. Attempt numbers are never used again,
// so the report is true however late it comes, and the task index counts as done from then on.
void AttemptEndHandler::handleLateSuccess(const TaskId &task)
{
    const auto handle = zone_.jobs.find(task.job);
    TaskSlot *const slot = handle ? zone_.jobs.slotOf(*handle, task.index) : nullptr;
    if (slot == nullptr || slot->state == SlotState::Done || task.attempt >= slot->nextAttempt
        || zone_.jobs.findLive(task) || zone_.jobs[*handle].spec.kind == JobKind::Service) {
        return;
    }
    Job &job = zone_.jobs[*handle];
    const std::uint32_t number = task.index - job.firstIndex;
    withdraw(*handle, number);
    slot->lastAttempt = task.attempt;
    slot->started = true;
    slot->ran = true;
    ++job.successes;
    job.failedOn.clear();
    zone_.addDecisionNote(task.job, fmt::format("task {} was done by an attempt given up earlier", toString(task)));
    zone_.concludeTask(*handle, number, base::Verdict::Ran, true);
    if (job.spec.kind == JobKind::Gang) {
        finishGangRollback(*handle);
    }
    zone_.finishIfDone(*handle);
}

// The later attempt goes on without its job, which may end first, and keeps its reservation until its worker reports
// its end.
void AttemptEndHandler::withdraw(JobHandle handle, std::uint32_t slotNumber)
{
    Job &job = zone_.jobs[handle];
    const TaskSlot &slot = job.slots[slotNumber];
    if (slot.live != NoHandle) {
        const LiveTask later = zone_.releaseAttempt(slot.live);
        const LiveHandle live = zone_.adoptAttempt(later.task, NoHandle, later.worker, later.reserved);
        zone_.requestStop(live, StopReason::DoneEarlier, false);
    }
    std::erase(job.ready, slotNumber);
    job.freshCount -= slot.state == SlotState::Fresh ? 1 : 0;
    if (job.startableCount() == 0) {
        zone_.queue.erase(handle);
    }
}

void AttemptEndHandler::concludeCancelled(JobHandle handle, std::uint32_t slot, TaskState state)
{
    const bool endedByItself = state == TaskState::Finished || state == TaskState::Failed;
    const bool ran = zone_.jobs[handle].slots[slot].ran;
    const base::Verdict unfinishedVerdict = ran ? base::Verdict::MayHaveRun : base::Verdict::NotRun;
    zone_.concludeTask(
        handle, slot, endedByItself ? base::Verdict::Ran : unfinishedVerdict, state == TaskState::Finished);
    zone_.finishIfDone(handle);
}

void AttemptEndHandler::handleSuccess(const LiveTask &task, std::uint32_t slot)
{
    Job &job = zone_.jobs[task.job];
    ++job.successes;
    job.failedOn.clear();
    zone_.workers[task.worker].health.recordSuccess(zone_.usualFailures);
    zone_.updateIndexes(task.worker);
    if (!job.slots[slot].checkpointed && task.session == zone_.workers[task.worker].session) {
        const auto runTime = std::chrono::duration_cast<std::chrono::milliseconds>(zone_.now - task.startedAt);
        zone_.estimator.learnRunTime(job.history, job.spec, runTime);
    }
    // Usage reports lag behind, so the peak of a short task is not known.
    constexpr int FewReports = 2;
    if (task.usageReports >= FewReports) {
        zone_.estimator.learnSize(job.history, job.spec, task.peak, task.reserved);
    }
    zone_.concludeTask(task.job, slot, base::Verdict::Ran, true);
    if (job.spec.kind == JobKind::Gang) {
        finishGangRollback(task.job);
    }
    zone_.finishIfDone(task.job);
}

void AttemptEndHandler::handleFailure(const LiveTask &task, std::uint32_t slot)
{
    attributeFailure(task, slot);
    Job &job = zone_.jobs[task.job];
    const bool isService = job.spec.kind == JobKind::Service;
    const bool isGang = job.spec.kind == JobKind::Gang;
    const bool isFinal = !job.spec.repeatable || (!isService && job.slots[slot].failures >= MaxTaskFailures);
    if (isFinal) {
        zone_.concludeTask(task.job, slot, base::Verdict::Ran, false);
    } else {
        scheduleRetry(task.job, slot);
    }
    if (isGang && isFinal) {
        abandonJob(task.job, StopReason::GangRollback);
    } else if (isGang) {
        rollBackGang(task.job);
    }
    zone_.finishIfDone(task.job);
}

// Distinguishes failing workers from failing jobs: a job that fails on several workers and succeeds on none does not
// count against workers, and a failure on a suspect worker does not count against the task.
void AttemptEndHandler::attributeFailure(const LiveTask &task, std::uint32_t slot)
{
    Job &job = zone_.jobs[task.job];
    Worker &worker = zone_.workers[task.worker];
    ++job.failures;
    if (!worker.health.isSuspect()) {
        ++job.slots[slot].failures;
    }
    const bool alreadyListed = std::find(job.failedOn.begin(), job.failedOn.end(), task.worker) != job.failedOn.end();
    job.lastFailureAt = zone_.now;
    if (!alreadyListed && !job.isSuspect() && job.successes == 0) {
        job.failedOn.push_back(task.worker);
    }
    if (job.isSuspect()) {
        return;
    }
    if (worker.health.recordFailure(task.job, job.successes > 0, zone_.usualFailures, zone_.now)) {
        auto &restricted = zone_.restrictedWorkers;
        if (std::find(restricted.begin(), restricted.end(), task.worker) == restricted.end()) {
            restricted.push_back(task.worker);
        }
        worker.quarantineReason = fmt::format("{} failures in a row counted, the last one of job {} {}",
                                              worker.health.consecutiveFailures(),
                                              job.spec.id,
                                              job.spec.name);
        zone_.addDecisionNote(job.spec.id, fmt::format("worker {} is quarantined: its tasks fail", worker.name));
    }
    zone_.updateIndexes(task.worker);
}

void AttemptEndHandler::handleInterruption(const LiveTask &task, std::uint32_t slot, bool mayHaveRun)
{
    Job &job = zone_.jobs[task.job];
    if (!job.spec.repeatable) {
        zone_.concludeTask(task.job, slot, mayHaveRun ? base::Verdict::MayHaveRun : base::Verdict::NotRun, false);
    } else {
        job.slots[slot].waitingSince = zone_.now;
        zone_.makeReady(task.job, slot);
    }
    if (job.spec.kind == JobKind::Gang) {
        rollBackGang(task.job);
    } else {
        zone_.enqueue(task.job);
    }
    zone_.finishIfDone(task.job);
}

void AttemptEndHandler::scheduleRetry(JobHandle handle, std::uint32_t slotNumber)
{
    Job &job = zone_.jobs[handle];
    TaskSlot &slot = job.slots[slotNumber];
    const std::uint32_t index = job.firstIndex + slotNumber;
    slot.state = SlotState::Delayed;
    const std::uint32_t failures = std::max<std::uint32_t>(slot.failures, 1);
    const base::TimePoint at = zone_.now + retryDelay(failures, job.spec.id + index + zone_.options.seed);
    slot.waitingSince = at;
    zone_.retries.push({at, job.spec.id, index});
}

void AttemptEndHandler::requeueDueRetries()
{
    while (!zone_.retries.empty() && zone_.retries.top().at <= zone_.now) {
        const Retry retry = zone_.retries.top();
        zone_.retries.pop();
        const auto handle = zone_.jobs.find(retry.job);
        if (!handle || zone_.jobs[*handle].cancelled) {
            continue;
        }
        Job &job = zone_.jobs[*handle];
        const std::uint32_t slot = retry.index - job.firstIndex;
        if (job.slots[slot].state == SlotState::Delayed) {
            zone_.makeReady(*handle, slot);
            zone_.enqueue(*handle);
        }
    }
}

void AttemptEndHandler::abandonJob(JobHandle handle, StopReason reason)
{
    Job &job = zone_.jobs[handle];
    job.cancelled = true;
    zone_.queue.erase(handle);
    zone_.releaseHeldWorkers(handle);
    for (std::uint32_t slot = 0; slot < job.slots.size(); ++slot) {
        const LiveHandle live = job.slots[slot].live;
        if (live != NoHandle) {
            zone_.requestStop(live, reason, false);
        } else if (job.slots[slot].state != SlotState::Done && job.slots[slot].state != SlotState::Uncertain) {
            concludeUnstarted(handle, slot);
        }
    }
}

// Consecutive indices that never started share one TasksNotRun, so that cancelling a job with many tasks is cheap.
void AttemptEndHandler::concludeUnstarted(JobHandle handle, std::uint32_t slotNumber)
{
    Job &job = zone_.jobs[handle];
    TaskSlot &slot = job.slots[slotNumber];
    if (slot.started || slot.ran) {
        zone_.concludeTask(handle, slotNumber, slot.ran ? base::Verdict::MayHaveRun : base::Verdict::NotRun, false);
        return;
    }
    slot.state = SlotState::Done;
    ++job.doneCount;
    const std::uint32_t index = job.firstIndex + slotNumber;
    TasksNotRun *last = zone_.outbox.empty() ? nullptr : std::get_if<TasksNotRun>(&zone_.outbox.back());
    if (last != nullptr && last->job == job.spec.id && last->firstIndex + last->count == index) {
        ++last->count;
    } else {
        zone_.outbox.emplace_back(TasksNotRun{job.spec.id, index, 1});
    }
}

void AttemptEndHandler::rollBackGang(JobHandle handle)
{
    Job &job = zone_.jobs[handle];
    job.rollingBack = true;
    for (const TaskSlot &slot : job.slots) {
        if (slot.live != NoHandle) {
            zone_.requestStop(slot.live, StopReason::GangRollback, job.spec.repeatable);
        }
    }
    finishGangRollback(handle);
}

void AttemptEndHandler::finishGangRollback(JobHandle handle)
{
    Job &job = zone_.jobs[handle];
    if (job.rollingBack && job.liveCount == 0) {
        job.rollingBack = false;
        zone_.enqueue(handle);
    }
}

} // namespace yuccawheel::placement
