#include "placement/zone_events.h"

#include <algorithm>

namespace yuccawheel::placement
{

namespace
{

constexpr std::chrono::seconds Patience{60}; ///< By when a job of priority 0 without a deadline should have started.
constexpr std::chrono::milliseconds PriorityStep{3'000}; ///< How much earlier a job goes for each step of priority.

constexpr std::chrono::minutes LongestYield{10}; ///< The most that a job lets shorter ones go before it.

// All waiting jobs age alike, so their order never changes while they wait and needs no sorting anew.
QueueRank rankOf(const JobSpec &spec, base::TimePoint assignedAt, std::chrono::milliseconds yield)
{
    base::TimePoint due = assignedAt + Patience + yield - (PriorityStep * spec.priority);
    if (spec.deadline) {
        due = std::min<base::TimePoint>(due, assignedAt + *spec.deadline - (spec.declaredRunTime * 3 / 2));
    }
    return {!spec.urgent, due.time_since_epoch().count(), 0};
}

} // namespace

void JobEvents::handle(const JobAssigned &event)
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
    // Tasks that workers hold are judged by the expected run time, also if nothing of the job waits.
    zone_.updateSize(handle);
    claimHeld(handle);
    if (event.recovered && zone_.recoveryFinished) {
        settleUncertain(handle);
    }
    zone_.enqueue(handle);
    zone_.finishIfDone(handle);
}

// Shorter work goes first, as more tasks then wait less; with the cap all of it ages, so long work starts too.
std::chrono::milliseconds JobEvents::yieldOf(const Job &job) const
{
    if (zone_.options.objective != Objective::Waiting || job.spec.kind == JobKind::Service) {
        return std::chrono::milliseconds{0};
    }
    const std::chrono::milliseconds expected = zone_.estimator.estimate(job.history, job.spec).runTime;
    return std::min<std::chrono::milliseconds>(expected, LongestYield);
}

Job JobEvents::makeJob(const JobAssigned &event)
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
    job.rank = rankOf(event.spec, zone_.now, yieldOf(job));
    job.rank.sequence = zone_.nextSequence++;
    return job;
}

// Workers that joined before the share was assigned may hold some of its tasks.
void JobEvents::claimHeld(JobHandle handle)
{
    const JobId id = zone_.jobs[handle].spec.id;
    const auto [first, last] = zone_.unclaimed.equal_range(id);
    std::vector<LiveHandle> held;
    std::for_each(first, last, [&](const auto &entry) { held.push_back(entry.second); });
    zone_.unclaimed.erase(id);
    for (const LiveHandle live : held) {
        const LiveTask task = zone_.jobs.live(live);
        if (!mayAdopt(zone_, handle, task.task)) {
            zone_.requestStop(live, StopReason::NotOurs, false);
            continue;
        }
        zone_.release(live);
        zone_.adopt(task.task, handle, task.worker, task.reserved);
    }
}

void JobEvents::handle(const JobCancelled &event)
{
    const auto handle = zone_.jobs.find(event.job);
    if (!handle || zone_.jobs[*handle].cancelled) {
        return;
    }
    endings_.abandon(*handle, StopReason::Cancelled);
    if (zone_.recoveryFinished) {
        settleUncertain(*handle);
    }
    zone_.finishIfDone(*handle);
}

void JobEvents::handle(const QuotasChanged &event)
{
    zone_.teams.setQuotas(event.quotas);
    for (TeamId team = 0; team < zone_.teams.size(); ++team) {
        zone_.queue.setBand(team, zone_.teams.band(team, zone_.ledger.totalCapacity()));
    }
    zone_.queue.wakeAll();
}

void JobEvents::handle(const RecoveryFinished & /*event*/)
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
        settleUncertain(handle);
        zone_.enqueue(handle);
        zone_.finishIfDone(handle);
    }
}

// No worker holds these indices. A repeatable one starts again; another one only if it provably never started.
void JobEvents::settleUncertain(JobHandle handle)
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
            endings_.concludeUnstarted(handle, number);
        } else if (job.spec.repeatable || !slot.ran) {
            slot.state = SlotState::Fresh;
            ++job.freshCount;
        } else {
            zone_.conclude(handle, number, base::Verdict::MayHaveRun, false);
        }
    }
    job.nextFresh = 0;
    const bool partial = job.liveCount > 0 && job.liveCount + job.doneCount < job.slots.size();
    if (job.spec.kind == JobKind::Gang && partial && !job.cancelled) {
        endings_.rollBackGang(handle);
    }
}

} // namespace yuccawheel::placement
