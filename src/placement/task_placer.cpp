#include "placement/placer.h"

#include <algorithm>
#include <tuple>

namespace yuccawheel::placement
{

bool TaskPlacer::place(JobHandle handle)
{
    const auto worker = findWorker(handle);
    if (!worker) {
        return false;
    }
    zone_.start(handle, zone_.takeSlot(handle), *worker);
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
    // A task that failed is tried on another worker, so that a bad worker and a bad task can be told apart.
    std::optional<WorkerId> avoid;
    if (!job.ready.empty() && job.slots[job.ready.back()].failures > 0) {
        avoid = job.slots[job.ready.back()].lastWorker;
    }
    if (const auto worker = zone_.open.find(job.size, avoid)) {
        return worker;
    }
    const bool endsBefore = job.runTime.count() > 0 && zone_.now + job.runTime <= zone_.reservation.startAt;
    if (zone_.reservation.job != NoHandle && endsBefore) {
        if (const auto worker = zone_.held.find(job.size, avoid)) {
            return worker;
        }
    }
    return avoid ? zone_.open.find(job.size) : std::nullopt;
}

std::optional<WorkerId> TaskPlacer::findAmongHeld(const Job &job) const
{
    for (const WorkerId worker : job.hold.workers) {
        if (zone_.acceptsTasks(worker) && job.size.fitsIn(zone_.ledger.free(worker))) {
            return worker;
        }
    }
    return std::nullopt;
}

// Replicas go first to the racks, then to the workers, that have the fewest of them; then onto busy, full workers.
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
        if (!zone_.open.contains(worker) || !job.size.fitsIn(zone_.ledger.free(worker))) {
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
