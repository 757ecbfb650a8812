#include "placement/preemptor.h"

#include <algorithm>

namespace yuccawheel::placement
{

namespace
{

constexpr std::chrono::seconds MinWaitBeforeReserve{5};
constexpr std::chrono::seconds ReplanDelay{60}; ///< Time after the planned start at which the reservation is dropped.

} // namespace

void BackfillReserver::tryReserve(JobHandle handle)
{
    const Job &job = zone_.jobs[handle];
    const bool waitedLong = zone_.now - job.assignedAt >= MinWaitBeforeReserve;
    const JobHandle current = zone_.backfill.job;
    const bool alreadyReserved = current != NoHandle && (current == handle || !zone_.precedes(handle, current));
    if (alreadyReserved || !waitedLong || !job.hold.workers.empty()) {
        return;
    }
    if (current != NoHandle) {
        zone_.releaseHeldWorkers(current);
    }
    std::vector<Opening> found = findOpenings(handle);
    const std::size_t needed = job.spec.kind == JobKind::Gang ? job.startableCount() : 1;
    if (found.size() < needed) {
        return;
    }
    std::nth_element(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(needed - 1), found.end());
    const base::TimePoint startAt = found[needed - 1].at;
    zone_.backfill = {handle, startAt, startAt + ReplanDelay};
    for (std::size_t number = 0; number < needed; ++number) {
        if (zone_.workers[found[number].worker].heldFor == NoHandle) {
            zone_.holdWorker(handle, found[number].worker);
        }
    }
}

// A reservation is stale if the job has not started well after the planned start, because expected run times were
// wrong, or if a reserved worker is no longer usable.
void BackfillReserver::dropIfStale()
{
    const JobHandle handle = zone_.backfill.job;
    if (handle == NoHandle) {
        return;
    }
    const Job &job = zone_.jobs[handle];
    const bool hasUnusableWorker =
        std::any_of(job.hold.workers.begin(), job.hold.workers.end(), [this](WorkerId worker) {
            return zone_.workers[worker].liveness != Liveness::Up || zone_.workers[worker].draining;
        });
    if (hasUnusableWorker || !zone_.queue.contains(handle) || zone_.now >= zone_.backfill.replanAt) {
        zone_.releaseHeldWorkers(handle);
    }
}

std::vector<BackfillReserver::Opening> BackfillReserver::findOpenings(JobHandle handle) const
{
    std::vector<Opening> found;
    for (WorkerId worker = 0; worker < zone_.workers.size(); ++worker) {
        const Worker &entry = zone_.workers[worker];
        const bool usable = zone_.acceptsTasks(worker) && entry.heldFor == NoHandle
            && entry.health.state() == WorkerHealth::State::Healthy && !zone_.shouldAvoid(zone_.jobs[handle], worker);
        if (usable) {
            appendOpenings(worker, zone_.jobs[handle], found);
        }
    }
    return found;
}

void BackfillReserver::appendOpenings(WorkerId worker, const Job &job, std::vector<Opening> &found) const
{
    if (!job.size.fitsIn(zone_.ledger.capacity(worker))) {
        return;
    }
    std::vector<std::pair<base::TimePoint, Resources>> ends;
    for (const LiveHandle live : zone_.workers[worker].tasks) {
        const LiveTask &task = zone_.jobs.live(live);
        const bool endsByItself = task.job == NoHandle || zone_.jobs[task.job].spec.kind != JobKind::Service;
        if (endsByItself || task.stopping) {
            ends.emplace_back(expectedEnd(task), task.reserved);
        }
    }
    std::sort(ends.begin(), ends.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    Resources room = zone_.ledger.free(worker);
    std::int64_t tasks = 0;
    const auto addOpenings = [&](base::TimePoint at) {
        for (const std::int64_t more = job.size.countFittingIn(room); tasks < more; ++tasks) {
            found.push_back({at, worker});
        }
    };
    addOpenings(zone_.now);
    for (const auto &[at, amount] : ends) {
        room += amount;
        addOpenings(at);
    }
}

// A task that runs longer than expected is estimated to need half of its elapsed time again.
base::TimePoint BackfillReserver::expectedEnd(const LiveTask &task) const
{
    if (task.stopping || task.job == NoHandle) {
        return zone_.now;
    }
    const base::TimePoint planned = task.startedAt + zone_.jobs[task.job].runTime;
    return planned > zone_.now ? planned : zone_.now + ((zone_.now - task.startedAt) / 2);
}

} // namespace yuccawheel::placement
