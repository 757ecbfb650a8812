#include "placement/room_maker.h"

#include <algorithm>

namespace yuccawheel::placement
{

namespace
{

constexpr std::chrono::seconds ReserveAfter{5};
constexpr std::chrono::seconds ReplanAfter{60}; ///< Beyond the planned start.

} // namespace

void ReservationKeeper::consider(JobHandle handle)
{
    const Job &job = zone_.jobs[handle];
    const bool waitedLong = zone_.now - job.assignedAt >= ReserveAfter;
    const JobHandle current = zone_.reservation.job;
    const bool taken = current != NoHandle && (current == handle || !zone_.precedes(handle, current));
    if (taken || !waitedLong || !job.hold.workers.empty()) {
        return;
    }
    if (current != NoHandle) {
        zone_.releaseHold(current);
    }
    std::vector<Opening> found = openings(handle);
    const std::size_t needed = job.spec.kind == JobKind::Gang ? job.startable() : 1;
    if (found.size() < needed) {
        return;
    }
    std::nth_element(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(needed - 1), found.end());
    const base::TimePoint startAt = found[needed - 1].at;
    zone_.reservation = {handle, startAt, startAt + ReplanAfter};
    for (std::size_t number = 0; number < needed; ++number) {
        if (zone_.workers[found[number].worker].holder == NoHandle) {
            zone_.hold(handle, found[number].worker);
        }
    }
}

// A plan that has not come true within a while rested on wrong run times or on workers that are gone.
void ReservationKeeper::review()
{
    const JobHandle handle = zone_.reservation.job;
    if (handle == NoHandle) {
        return;
    }
    const Job &job = zone_.jobs[handle];
    const bool lost = std::any_of(job.hold.workers.begin(), job.hold.workers.end(), [this](WorkerId worker) {
        return zone_.workers[worker].liveness != Liveness::Up || zone_.workers[worker].draining;
    });
    if (lost || !zone_.queue.contains(handle) || zone_.now >= zone_.reservation.replanAt) {
        zone_.releaseHold(handle);
    }
}

std::vector<ReservationKeeper::Opening> ReservationKeeper::openings(JobHandle handle) const
{
    std::vector<Opening> found;
    for (WorkerId worker = 0; worker < zone_.workers.size(); ++worker) {
        const Worker &entry = zone_.workers[worker];
        const bool usable = zone_.acceptsTasks(worker) && entry.holder == NoHandle
            && entry.health.state() == WorkerHealth::State::Healthy && !zone_.avoids(zone_.jobs[handle], worker);
        if (usable) {
            openingsOn(worker, zone_.jobs[handle], found);
        }
    }
    return found;
}

void ReservationKeeper::openingsOn(WorkerId worker, const Job &job, std::vector<Opening> &found) const
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
    const auto open = [&](base::TimePoint at) {
        for (const std::int64_t more = job.size.countFittingIn(room); tasks < more; ++tasks) {
            found.push_back({at, worker});
        }
    };
    open(zone_.now);
    for (const auto &[at, amount] : ends) {
        room += amount;
        open(at);
    }
}

// A task that runs longer than expected is taken to need half of its time so far again.
base::TimePoint ReservationKeeper::expectedEnd(const LiveTask &task) const
{
    if (task.stopping || task.job == NoHandle) {
        return zone_.now;
    }
    const base::TimePoint planned = task.startedAt + zone_.jobs[task.job].runTime;
    return planned > zone_.now ? planned : zone_.now + ((zone_.now - task.startedAt) / 2);
}

} // namespace yuccawheel::placement
