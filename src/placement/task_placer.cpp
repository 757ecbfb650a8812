#include "placement/placer.h"

#include <algorithm>
#include <tuple>

namespace yuccawheel::placement
{

bool TaskPlacer::place(JobHandle handle)
{
    // A job that is probably at fault itself runs one task at a time.
    if (zone_.jobs[handle].isSuspect() && zone_.jobs[handle].liveCount > 0) {
        return false;
    }
    const auto worker = findWorker(handle);
    if (!worker) {
        return false;
    }
    zone_.startAttempt(handle, zone_.takeSlot(handle), *worker);
    return true;
}

std::optional<WorkerId> TaskPlacer::findWorker(JobHandle handle) const
{
    const Job &job = zone_.jobs[handle];
    if (const auto worker = findAmongHeld(job)) {
        return worker;
    }
    if (job.spec.kind == JobKind::Service) {
        return findSpread(job);
    }
    const std::span<const WorkerId> avoid = zone_.avoidedWorkers(job);
    if (const auto worker = zone_.openWorkers.find(job.size, avoid)) {
        return worker;
    }
    if (zone_.backfill.job == NoHandle) {
        return std::nullopt;
    }
    const bool endsBefore = job.runTime.count() > 0 && zone_.now + job.runTime <= zone_.backfill.startAt;
    const bool mayUseHeld = endsBefore || zone_.precedes(handle, zone_.backfill.job);
    return mayUseHeld ? zone_.heldWorkers.find(job.size, avoid) : std::nullopt;
}

std::optional<WorkerId> TaskPlacer::findAmongHeld(const Job &job) const
{
    for (const WorkerId worker : job.hold.workers) {
        if (zone_.acceptsTasks(worker) && job.size.fitsIn(zone_.ledger.free(worker))
            && !zone_.shouldAvoid(job, worker)) {
            return worker;
        }
    }
    return std::nullopt;
}

// Prefers racks and then workers with the fewest replicas of the service, then busy workers, then the least free CPU.
std::optional<WorkerId> TaskPlacer::findSpread(const Job &job) const
{
    std::vector<std::uint32_t> onRack(zone_.racks.size());
    std::vector<WorkerId> replicas;
    for (const TaskSlot &slot : job.slots) {
        if (slot.live != NoHandle) {
            const WorkerId worker = zone_.jobs.live(slot.live).worker;
            replicas.push_back(worker);
            ++onRack[zone_.workers[worker].rack];
        }
    }
    using Score = std::tuple<std::uint32_t, std::ptrdiff_t, bool, std::int64_t>;
    std::optional<WorkerId> best;
    Score bestScore;
    for (WorkerId worker = 0; worker < zone_.workers.size(); ++worker) {
        if (zone_.shouldAvoid(job, worker) || !zone_.openWorkers.contains(worker)
            || !job.size.fitsIn(zone_.ledger.free(worker))) {
            continue;
        }
        const Worker &entry = zone_.workers[worker];
        const Score score{onRack[entry.rack],
                          std::count(replicas.begin(), replicas.end(), worker),
                          !entry.busy,
                          zone_.ledger.free(worker).milliCpu};
        if (!best || score < bestScore) {
            best = worker;
            bestScore = score;
        }
    }
    return best;
}

} // namespace yuccawheel::placement
