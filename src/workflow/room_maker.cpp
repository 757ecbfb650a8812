#include "workflow/room_maker.h"

#include <algorithm>

namespace yuccawheel::workflow
{

namespace
{

std::uint32_t tasksIn(const placement::Resources &amount, const placement::Resources &free, std::uint32_t most)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(amount.timesIn(free), 0, most));
}

// Stops the largest victims first, since each stop costs what was not saved, until one more task fits.
bool makeRoomForOne(Crowded &worker,
                    const placement::Resources &amount,
                    std::uint32_t held,
                    std::vector<std::pair<WorkerNumber, Victim>> &stops)
{
    placement::Resources free = worker.free;
    std::size_t taken = 0;
    while (tasksIn(amount, free, worker.mostTasks) <= held) {
        if (taken == worker.victims.size()) {
            return false;
        }
        free += worker.victims[taken++].amount;
    }
    for (std::size_t victim = 0; victim < taken; ++victim) {
        stops.emplace_back(worker.worker, worker.victims[victim]);
    }
    worker.victims.erase(worker.victims.begin(), worker.victims.begin() + static_cast<std::ptrdiff_t>(taken));
    worker.free = free;
    return true;
}

} // namespace

RoomPlan makeRoom(std::vector<Crowded> workers, const placement::Resources &amount, std::size_t tasks)
{
    RoomPlan plan;
    std::size_t found = 0;
    for (Crowded &worker : workers) {
        std::sort(worker.victims.begin(), worker.victims.end(), [](const Victim &left, const Victim &right) {
            return left.amount.milliCpu > right.amount.milliCpu;
        });
        found += tasksIn(amount, worker.free, worker.mostTasks);
    }
    if (found >= tasks) {
        return {};
    }
    // Where most is free already, the fewest have to be stopped.
    std::sort(workers.begin(), workers.end(), [](const Crowded &left, const Crowded &right) {
        return left.free.milliCpu > right.free.milliCpu;
    });
    for (Crowded &worker : workers) {
        std::uint32_t held = tasksIn(amount, worker.free, worker.mostTasks);
        while (found < tasks && held < worker.mostTasks && makeRoomForOne(worker, amount, held, plan.stops)) {
            const std::uint32_t now = tasksIn(amount, worker.free, worker.mostTasks);
            found += now - held;
            held = now;
        }
        if (held > 0) {
            plan.workers.push_back(worker.worker);
        }
    }
    if (found < tasks) {
        return {};
    }
    return plan;
}

} // namespace yuccawheel::workflow
