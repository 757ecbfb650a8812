#include "workflow/step_placer.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <string_view>

namespace yuccawheel::workflow
{

namespace
{

// From the decision until the order reaches the worker: a commit of the log and a call between zones.
constexpr std::chrono::milliseconds TicketMargin{100};
constexpr double Slow = 1.08; ///< Half of the way between workers that differ by a third, where a third are slow.
constexpr double VerySlow = 2; ///< Far beyond what kinds of workers differ by: something is wrong there.

} // namespace

placement::Resources reservationOf(const StepSpec &step)
{
    placement::Resources amount = step.perTask;
    if (step.bestEffort) {
        amount.milliCpu = 0;
    }
    return amount;
}

std::vector<Assignment> StepPlacer::place(const Request &request) const
{
    std::vector<Room> rooms = roomsOf(request);
    return request.job.specOf(request.position).gang ? placeGang(request, rooms)
                                                     : placeBatch(request, std::move(rooms));
}

bool StepPlacer::suits(const Request &request, WorkerNumber number, const WorkerView &worker) const
{
    const StepSpec &step = request.job.specOf(request.position);
    return worker.usable(now_) && worker.identity.service == request.job.policy.service
        && (step.requiredLabel.empty() || worker.identity.hasLabel(step.requiredLabel))
        && reservationOf(step).fitsIn(ledger_.capacity(number));
}

placement::Resources StepPlacer::freeOn(const Request &request, WorkerNumber number) const
{
    const StepSpec &step = request.job.specOf(request.position);
    return ledger_.free(number) - claims_.against(number, request.job.policy.priority, step.resumable());
}

std::uint32_t StepPlacer::roomIn(const Request &request, WorkerNumber number, const placement::Resources &free) const
{
    const StepSpec &step = request.job.specOf(request.position);
    const std::int64_t times = reservationOf(step).countFittingIn(free);
    auto tasks = static_cast<std::uint32_t>(std::clamp<std::int64_t>(times, 0, step.count));
    if (step.maxPerWorker > 0) {
        const auto found = request.there.find(number);
        const std::uint32_t there = found == request.there.end() ? 0 : found->second;
        tasks = std::min(tasks, step.maxPerWorker - std::min(step.maxPerWorker, there));
    }
    // A worker on probation takes one task at a time.
    return workers_.at(number).health.onProbation() ? std::min(tasks, 1U) : tasks;
}

std::vector<StepPlacer::Room> StepPlacer::roomsOf(const Request &request) const
{
    std::vector<Room> rooms;
    for (const auto &[number, worker] : workers_) {
        if (!suits(request, number, worker)
            || (request.eligibility != nullptr && request.eligibility->ticket(number, now_, TicketMargin) == nullptr)) {
            continue;
        }
        const std::uint32_t tasks = roomFor(request, number);
        if (tasks > 0) {
            rooms.push_back({number, tasks, freeOn(request, number).milliCpu});
        }
    }
    return rooms;
}

void StepPlacer::claimFor(const Request &request, RoomClaims &claims) const
{
    const placement::Resources amount = reservationOf(request.job.specOf(request.position));
    std::vector<Room> rooms;
    for (const auto &[number, worker] : workers_) {
        if (suits(request, number, worker) && (request.eligibility == nullptr || request.eligibility->isGood(number))) {
            const std::int64_t most = amount.countFittingIn(ledger_.capacity(number));
            rooms.push_back({number,
                             static_cast<std::uint32_t>(std::min<std::int64_t>(most, request.waiting.size())),
                             freeOn(request, number).milliCpu});
        }
    }
    std::sort(rooms.begin(), rooms.end(), [](const Room &left, const Room &right) {
        return std::tuple(right.freeMilliCpu, left.worker) < std::tuple(left.freeMilliCpu, right.worker);
    });
    std::size_t needed = request.waiting.size();
    for (const Room &room : rooms) {
        if (needed == 0) {
            return;
        }
        const std::uint32_t tasks = std::min<std::uint32_t>(room.tasks, static_cast<std::uint32_t>(needed));
        const placement::Resources kept = placement::elementwiseMin(amount * tasks, freeOn(request, room.worker));
        if (kept.isNonNegative() && claims.allows(kept)) {
            claims.claim(room.worker, kept, request.job.policy.priority);
        }
        needed -= tasks;
    }
}

std::vector<Assignment> StepPlacer::fill(std::vector<Room> rooms, const std::vector<std::uint32_t> &waiting)
{
    std::vector<Assignment> assignments;
    auto room = rooms.begin();
    for (const std::uint32_t index : waiting) {
        while (room != rooms.end() && room->tasks == 0) {
            ++room;
        }
        if (room == rooms.end()) {
            break;
        }
        assignments.push_back({index, room->worker});
        --room->tasks;
    }
    return assignments;
}

// Lower goes first. Tasks with time to spare leave the fast workers to those without, but nobody wants a very slow one.
int StepPlacer::paceClass(const Request &request, WorkerNumber number) const
{
    const double slowness = pace_.slowness(number);
    if (slowness > VerySlow) {
        return 2;
    }
    const bool slow = slowness > Slow;
    return request.hurry == Hurry::Much ? (slow ? 1 : 0) : request.hurry == Hurry::None ? (slow ? 0 : 1) : 0;
}

// The data's rack first, then a worker of the speed that the time asks for, then the workers with the least room, so
// that the emptier ones stay whole for gangs. A task that has failed goes to another worker if there is one.
std::vector<Assignment> StepPlacer::placeBatch(const Request &request, std::vector<Room> rooms) const
{
    const StepSpec &step = request.job.specOf(request.position);
    std::sort(rooms.begin(), rooms.end(), [&](const Room &left, const Room &right) {
        const auto far = [&](const Room &room) {
            return !step.dataRack.empty() && !workers_.at(room.worker).identity.hasLabel(step.dataRack);
        };
        return std::tuple(far(left), paceClass(request, left.worker), left.freeMilliCpu, left.worker)
            < std::tuple(far(right), paceClass(request, right.worker), right.freeMilliCpu, right.worker);
    });
    std::vector<Assignment> assignments;
    for (const std::uint32_t index : request.waiting) {
        const TaskRecord &task = request.job.steps[request.position].tasks[index];
        auto room = std::find_if(rooms.begin(), rooms.end(), [&task](const Room &each) {
            return each.tasks > 0 && (task.failures == 0 || each.worker != task.worker);
        });
        if (room == rooms.end()) {
            room = std::find_if(rooms.begin(), rooms.end(), [](const Room &each) { return each.tasks > 0; });
        }
        if (room == rooms.end()) {
            break;
        }
        --room->tasks;
        assignments.push_back({index, room->worker});
    }
    return assignments;
}

// The fewest workers that hold the gang; on one rack if it asks for that and one has the room.
std::vector<Assignment> StepPlacer::placeGang(const Request &request, const std::vector<Room> &rooms) const
{
    const auto mostFirst = [](const Room &left, const Room &right) {
        return std::tuple(right.tasks, left.freeMilliCpu, left.worker)
            < std::tuple(left.tasks, right.freeMilliCpu, right.worker);
    };
    const auto total = [](const std::vector<Room> &some) {
        return std::accumulate(some.begin(), some.end(), std::size_t{0}, [](std::size_t sum, const Room &room) {
            return sum + room.tasks;
        });
    };
    std::vector<Room> chosen = rooms;
    if (request.job.specOf(request.position).sameRack) {
        std::map<std::string_view, std::vector<Room>> racks;
        for (const Room &room : rooms) {
            racks[workers_.at(room.worker).identity.rack()].push_back(room);
        }
        for (const auto &[name, some] : racks) {
            if (total(some) >= request.waiting.size()) {
                chosen = some;
                break;
            }
        }
    }
    if (total(chosen) < request.waiting.size()) {
        return {};
    }
    std::sort(chosen.begin(), chosen.end(), mostFirst);
    return fill(std::move(chosen), request.waiting);
}

} // namespace yuccawheel::workflow
