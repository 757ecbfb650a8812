#include "placement/attempt_endings.h"

#include <fmt/core.h>

#include <algorithm>
#include <vector>

namespace yuccawheel::placement
{

namespace
{

constexpr std::uint8_t MaxFailures = 5; ///< Of one task index of a batch job or of a gang.
constexpr std::chrono::seconds FirstDelay{1};
constexpr std::chrono::seconds LongestDelay{300};

// Spreads retries over a quarter of the delay, by a hash of the task so that each run decides alike.
base::Duration delayAfter(std::uint32_t failures, std::uint64_t salt)
{
    const std::uint32_t doublings = std::min(failures > 0 ? failures - 1 : 0, 9U);
    const base::Duration delay = std::min<base::Duration>(FirstDelay * (1U << doublings), LongestDelay);
    const std::uint64_t part = (salt * 0x9e3779b97f4a7c15ULL) >> 54U;
    return delay + (delay * static_cast<std::int64_t>(part) / 4096);
}

} // namespace

void AttemptEndings::ended(LiveHandle live, TaskState state)
{
    const LiveTask task = zone_.release(live);
    if (task.job == NoHandle) {
        return;
    }
    Job &job = zone_.jobs[task.job];
    const std::uint32_t slot = task.task.index - job.firstIndex;
    // A worker without a trace of a task tells that it never ran only if it is the same session that was sent the task.
    const bool neverRan =
        state == TaskState::Unknown && !task.seenRunning && task.session == zone_.workers[task.worker].session;
    job.slots[slot].ran = job.slots[slot].ran || !neverRan;
    job.slots[slot].checkpointed = job.slots[slot].checkpointed || state == TaskState::Checkpointed;
    if (job.cancelled) {
        afterCancel(task.job, slot, state);
    } else if (state == TaskState::Finished && job.spec.kind != JobKind::Service) {
        succeeded(task, slot);
    } else if (state == TaskState::Failed || state == TaskState::Finished) {
        failed(task, slot);
    } else {
        interrupted(task, slot, !neverRan);
    }
}

void AttemptEndings::lost(LiveHandle live)
{
    const LiveTask task = zone_.release(live);
    if (task.job == NoHandle) {
        return;
    }
    Job &job = zone_.jobs[task.job];
    const std::uint32_t slot = task.task.index - job.firstIndex;
    job.slots[slot].ran = true;
    if (job.cancelled) {
        afterCancel(task.job, slot, TaskState::Stopped);
    } else {
        interrupted(task, slot, true);
    }
}

void AttemptEndings::afterCancel(JobHandle handle, std::uint32_t slot, TaskState state)
{
    const bool whole = state == TaskState::Finished || state == TaskState::Failed;
    const bool ran = zone_.jobs[handle].slots[slot].ran;
    const base::Verdict partial = ran ? base::Verdict::MayHaveRun : base::Verdict::NotRun;
    zone_.conclude(handle, slot, whole ? base::Verdict::Ran : partial, state == TaskState::Finished);
    zone_.finishIfDone(handle);
}

void AttemptEndings::succeeded(const LiveTask &task, std::uint32_t slot)
{
    Job &job = zone_.jobs[task.job];
    ++job.successes;
    job.failedOn.clear();
    zone_.workers[task.worker].health.succeeded();
    zone_.refresh(task.worker);
    if (!job.slots[slot].checkpointed && task.session == zone_.workers[task.worker].session) {
        const auto runTime = std::chrono::duration_cast<std::chrono::milliseconds>(zone_.now - task.startedAt);
        zone_.estimator.learnRunTime(job.history, job.spec, runTime);
    }
    // Use is reported late, so the peak of a short task is not known.
    constexpr int FewReports = 2;
    if (task.usageReports >= FewReports) {
        zone_.estimator.learnSize(job.history, job.spec, task.peak, task.reserved);
    }
    zone_.conclude(task.job, slot, base::Verdict::Ran, true);
    if (job.spec.kind == JobKind::Gang) {
        gangMemberEnded(task.job);
    }
    zone_.finishIfDone(task.job);
}

void AttemptEndings::failed(const LiveTask &task, std::uint32_t slot)
{
    blame(task, slot);
    Job &job = zone_.jobs[task.job];
    const bool isService = job.spec.kind == JobKind::Service;
    const bool isGang = job.spec.kind == JobKind::Gang;
    const bool final = !job.spec.repeatable || (!isService && job.slots[slot].failures >= MaxFailures);
    if (final) {
        zone_.conclude(task.job, slot, base::Verdict::Ran, false);
    } else {
        delay(task.job, slot);
    }
    if (isGang && final) {
        abandon(task.job, StopReason::GangRollback);
    } else if (isGang) {
        rollBackGang(task.job);
    }
    zone_.finishIfDone(task.job);
}

// Tells a failing worker from a failing job: a job that fails on several workers and succeeds nowhere gives no worker a
// bad name, and a failure on a worker under suspicion doesn't count against the task.
void AttemptEndings::blame(const LiveTask &task, std::uint32_t slot)
{
    Job &job = zone_.jobs[task.job];
    Worker &worker = zone_.workers[task.worker];
    ++job.failures;
    if (!worker.health.suspect()) {
        ++job.slots[slot].failures;
    }
    const bool known = std::find(job.failedOn.begin(), job.failedOn.end(), task.worker) != job.failedOn.end();
    job.lastFailureAt = zone_.now;
    if (!known && !job.suspect() && job.successes == 0) {
        job.failedOn.push_back(task.worker);
    }
    if (job.suspect()) {
        return;
    }
    if (worker.health.failed(task.job, job.successes > 0, zone_.now)) {
        zone_.quarantined.push_back(task.worker);
        worker.quarantineReason = fmt::format("{} failures in a row counted, the last one of job {} {}",
                                              worker.health.blame(),
                                              job.spec.id,
                                              job.spec.name);
        zone_.note(job.spec.id, fmt::format("worker {} is quarantined: its tasks fail", worker.name));
    }
    zone_.refresh(task.worker);
}

void AttemptEndings::interrupted(const LiveTask &task, std::uint32_t slot, bool mayHaveRun)
{
    Job &job = zone_.jobs[task.job];
    if (!job.spec.repeatable) {
        zone_.conclude(task.job, slot, mayHaveRun ? base::Verdict::MayHaveRun : base::Verdict::NotRun, false);
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

void AttemptEndings::delay(JobHandle handle, std::uint32_t slotNumber)
{
    Job &job = zone_.jobs[handle];
    TaskSlot &slot = job.slots[slotNumber];
    const std::uint32_t index = job.firstIndex + slotNumber;
    slot.state = SlotState::Delayed;
    const std::uint32_t failures = std::max<std::uint32_t>(slot.failures, 1);
    const base::TimePoint at = zone_.now + delayAfter(failures, job.spec.id + index + zone_.options.seed);
    slot.waitingSince = at;
    zone_.retries.push({at, job.spec.id, index});
}

void AttemptEndings::releaseRetries()
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

void AttemptEndings::abandon(JobHandle handle, StopReason reason)
{
    Job &job = zone_.jobs[handle];
    job.cancelled = true;
    zone_.queue.erase(handle);
    zone_.releaseHold(handle);
    for (std::uint32_t slot = 0; slot < job.slots.size(); ++slot) {
        const LiveHandle live = job.slots[slot].live;
        if (live != NoHandle) {
            zone_.requestStop(live, reason, false);
        } else if (job.slots[slot].state != SlotState::Done && job.slots[slot].state != SlotState::Uncertain) {
            concludeUnstarted(handle, slot);
        }
    }
}

// Neighbouring indices that never started share one notice, so that cancelling a long queue stays cheap.
void AttemptEndings::concludeUnstarted(JobHandle handle, std::uint32_t slotNumber)
{
    Job &job = zone_.jobs[handle];
    TaskSlot &slot = job.slots[slotNumber];
    if (slot.started || slot.ran) {
        zone_.conclude(handle, slotNumber, slot.ran ? base::Verdict::MayHaveRun : base::Verdict::NotRun, false);
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

void AttemptEndings::rollBackGang(JobHandle handle)
{
    Job &job = zone_.jobs[handle];
    job.rollingBack = true;
    for (const TaskSlot &slot : job.slots) {
        if (slot.live != NoHandle) {
            zone_.requestStop(slot.live, StopReason::GangRollback, job.spec.repeatable);
        }
    }
    gangMemberEnded(handle);
}

void AttemptEndings::gangMemberEnded(JobHandle handle)
{
    Job &job = zone_.jobs[handle];
    if (job.rollingBack && job.liveCount == 0) {
        job.rollingBack = false;
        zone_.enqueue(handle);
    }
}

} // namespace yuccawheel::placement
