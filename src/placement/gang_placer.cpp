#include "base/scope_guard.h"
#include "placement/placer.h"

#include <algorithm>
#include <numeric>

namespace yuccawheel::placement
{

bool GangPlacer::place(JobHandle handle)
{
    const std::uint32_t needed = zone_.jobs[handle].startableCount();
    const std::vector<Room> rooms = choose(roomByRack(handle), needed);
    const std::uint32_t found = std::accumulate(
        rooms.begin(), rooms.end(), 0U, [](std::uint32_t sum, const Room &room) { return sum + room.tasks; });
    if (found < needed) {
        return false;
    }
    for (const Room &room : rooms) {
        for (std::uint32_t task = 0; task < room.tasks; ++task) {
            zone_.startAttempt(handle, zone_.takeSlot(handle), room.worker);
        }
    }
    return true;
}

std::vector<GangPlacer::RackRoom> GangPlacer::roomByRack(JobHandle handle) const
{
    const Job &job = zone_.jobs[handle];
    std::vector<RackRoom> racks(zone_.racks.size());
    for (WorkerId worker = 0; worker < zone_.workers.size(); ++worker) {
        const Worker &entry = zone_.workers[worker];
        const bool usable =
            zone_.openWorkers.contains(worker) || (entry.heldFor == handle && zone_.acceptsTasks(worker));
        if (!usable || zone_.shouldAvoid(job, worker)) {
            continue;
        }
        std::int64_t tasks = job.size.countFittingIn(zone_.ledger.free(worker));
        // A worker on probation runs one task at a time.
        tasks = entry.health.state() == WorkerHealth::State::Probation ? std::min<std::int64_t>(tasks, 1) : tasks;
        if (tasks > 0) {
            RackRoom &rack = racks[entry.rack];
            const auto count = static_cast<std::uint32_t>(std::min<std::int64_t>(tasks, job.slots.size()));
            rack.tasks += count;
            rack.workers.push_back({worker, count});
        }
    }
    return racks;
}

// Repeatedly takes the smallest rack with room for all remaining tasks, or else the rack with the most room. Within a
// rack, the workers with the least room are filled first, so that emptier workers stay free.
std::vector<GangPlacer::Room> GangPlacer::choose(std::vector<RackRoom> racks, std::uint32_t needed)
{
    std::vector<Room> chosen;
    while (needed > 0) {
        RackRoom *best = nullptr;
        for (RackRoom &rack : racks) {
            const bool bestFitsAll = best != nullptr && best->tasks >= needed;
            const bool fitsAll = rack.tasks >= needed;
            if (rack.tasks > 0
                && (best == nullptr || (fitsAll && !bestFitsAll)
                    || (fitsAll == bestFitsAll && (fitsAll ? rack.tasks < best->tasks : rack.tasks > best->tasks)))) {
                best = &rack;
            }
        }
        if (best == nullptr) {
            return chosen;
        }
        std::stable_sort(best->workers.begin(), best->workers.end(), [](const Room &left, const Room &right) {
            return left.tasks < right.tasks;
        });
        for (const Room &room : best->workers) {
            const std::uint32_t take = std::min(room.tasks, needed);
            needed -= take;
            if (take > 0) {
                chosen.push_back({room.worker, take});
            }
        }
        best->tasks = 0;
    }
    return chosen;
}

} // namespace yuccawheel::placement
