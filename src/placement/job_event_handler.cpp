#include "placement/event_handlers.h"

#include <algorithm>

namespace yuccawheel::placement
{

namespace
{

constexpr std::chrono::seconds StartTarget{60}; ///< Target wait of a job of priority 0 without a deadline.
constexpr std::chrono::milliseconds PriorityStep{3'000}; ///< Advance in the queue for each priority level.

constexpr std::chrono::minutes MaxRunTimePenalty{10};

// The rank is a due time fixed at assignment. All jobs age at the same rate, so the queue never needs re-sorting.
QueueRank rankOf(const JobSpec &spec, base::TimePoint assignedAt, std::chrono::milliseconds penalty)
{
    base::TimePoint due = assignedAt + StartTarget + penalty - (PriorityStep * spec.priority);
    if (spec.deadline) {
        due = std::min<base::TimePoint>(due, assignedAt + *spec.deadline - (spec.declaredRunTime * 3 / 2));
    }
    return {!spec.urgent, due.time_since_epoch().count(), 0};
}

} // namespace

void JobEventHandler::handle(const JobAssigned &event)
{
    if (zone_.jobs.find(event.spec.id) || zone_.endedJobs.count(event.spec.id) != 0) {
        return;
    }
    const JobHandle handle = zone_.jobs.add(makeJob(event));
    Job &job = zone_.jobs[handle];
    for (const std::uint32_t index : event.maybeStarted) {
        if (TaskSlot *slot = zone_.jobs.slotOf(handle, index)) {
            slot->started = true;
        }
    }
    for (const std::uint32_t index : event.finished) {
        TaskSlot *slot = zone_.jobs.slotOf(handle, index);
        if (slot != nullptr && slot->state != SlotState::Done) {
            job.freshCount -= slot->state == SlotState::Fresh ? 1 : 0;
            slot->state = SlotState::Done;
            ++job.doneCount;
        }
    }
    // The expected run time is needed for tasks already on workers, even if the job has no waiting tasks.
    zone_.updateSize(handle);
    adoptUnclaimed(handle);
    if (event.recovered && zone_.recoveryFinished) {
        resolveUncertain(handle);
    }
    zone_.enqueue(handle);
    zone_.finishIfDone(handle);
}

// Shorter jobs start first, which lowers the mean wait. The cap keeps long jobs from starving.
std::chrono::milliseconds JobEventHandler::runTimePenalty(const Job &job) const
{
    if (zone_.options.objective != Objective::Waiting || job.spec.kind == JobKind::Service) {
        return std::chrono::milliseconds{0};
    }
    const std::chrono::milliseconds expected = zone_.estimator.estimate(job.history, job.spec).runTime;
    return std::min<std::chrono::milliseconds>(expected, MaxRunTimePenalty);
}

Job JobEventHandler::makeJob(const JobAssigned &event)
{
    Job job;
    job.spec = event.spec;
    job.spec.payload = {};
    job.firstIndex = event.firstIndex;
    job.slots.resize(event.count);
    for (TaskSlot &slot : job.slots) {
        slot.state = event.recovered ? SlotState::Uncertain : SlotState::Fresh;
        slot.nextAttempt = event.firstAttempt;
        slot.waitingSince = zone_.now;
    }
    job.freshCount = event.recovered ? 0 : event.count;
    job.recovered = event.recovered;
    job.startsRecorded = event.startsRecorded;
    job.team = zone_.teams.idOf(event.spec.team);
    job.history = SizeEstimator::keyOf(event.spec);
    job.assignedAt = zone_.now;
    job.rank = rankOf(event.spec, zone_.now, runTimePenalty(job));
    job.rank.sequence = zone_.nextSequence++;
    return job;
}

// Workers that joined before the share was assigned may hold some of its tasks.
void JobEventHandler::adoptUnclaimed(JobHandle handle)
{
    const JobId id = zone_.jobs[handle].spec.id;
    const auto [first, last] = zone_.unclaimed.equal_range(id);
    std::vector<LiveHandle> held;
    std::for_each(first, last, [&](const auto &entry) { held.push_back(entry.second); });
    zone_.unclaimed.erase(id);
    for (const LiveHandle live : held) {
        const LiveTask task = zone_.jobs.live(live);
        if (!canAdopt(zone_, handle, task.task)) {
            zone_.requestStop(live, StopReason::NotOurs, false);
            continue;
        }
        zone_.releaseAttempt(live);
        zone_.adoptAttempt(task.task, handle, task.worker, task.reserved);
    }
}

void JobEventHandler::handle(const JobCancelled &event)
{
    const auto handle = zone_.jobs.find(event.job);
    if (!handle || zone_.jobs[*handle].cancelled) {
        return;
    }
    endHandler_.abandonJob(*handle, StopReason::Cancelled);
    if (zone_.recoveryFinished) {
        resolveUncertain(*handle);
    }
    zone_.finishIfDone(*handle);
}

void JobEventHandler::handle(const QuotasChanged &event)
{
    zone_.teams.setQuotas(event.quotas);
    for (TeamId team = 0; team < zone_.teams.size(); ++team) {
        zone_.queue.setBand(team, zone_.teams.band(team, zone_.ledger.totalCapacity()));
    }
    zone_.queue.unblockAll();
}

void JobEventHandler::handle(const RecoveryFinished & /*event*/)
{
    zone_.recoveryFinished = true;
    for (const auto &[job, live] : zone_.unclaimed) {
        zone_.requestStop(live, StopReason::NotOurs, false);
    }
    zone_.unclaimed.clear();
    std::vector<JobId> recovered;
    for (const auto &[id, handle] : zone_.jobs.all()) {
        if (zone_.jobs[handle].recovered) {
            recovered.push_back(id);
        }
    }
    std::sort(recovered.begin(), recovered.end());
    for (const JobId id : recovered) {
        const JobHandle handle = *zone_.jobs.find(id);
        resolveUncertain(handle);
        zone_.enqueue(handle);
        zone_.finishIfDone(handle);
    }
}

// No worker holds the indices that are still Uncertain. A repeatable one starts again, a non-repeatable one only if it
// provably never started.
void JobEventHandler::resolveUncertain(JobHandle handle)
{
    Job &job = zone_.jobs[handle];
    for (std::uint32_t number = 0; number < job.slots.size(); ++number) {
        TaskSlot &slot = job.slots[number];
        if (slot.state != SlotState::Uncertain) {
            continue;
        }
        slot.ran = !job.startsRecorded || slot.started;
        if (job.cancelled) {
            slot.started = slot.ran;
            endHandler_.concludeUnstarted(handle, number);
        } else if (job.spec.repeatable || !slot.ran) {
            slot.state = SlotState::Fresh;
            ++job.freshCount;
        } else {
            zone_.concludeTask(handle, number, base::Verdict::MayHaveRun, false);
        }
    }
    job.nextFresh = 0;
    const bool partial = job.liveCount > 0 && job.liveCount + job.doneCount < job.slots.size();
    if (job.spec.kind == JobKind::Gang && partial && !job.cancelled) {
        endHandler_.rollBackGang(handle);
    }
}

} // namespace yuccawheel::placement
