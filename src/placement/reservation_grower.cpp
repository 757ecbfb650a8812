#include "placement/reservation_grower.h"

#include <algorithm>
#include <array>

namespace yuccawheel::placement
{

namespace
{

// Usage in percent of the reservation.
constexpr std::int64_t GrowAtPercent = 98;
constexpr std::int64_t FullAtPercent = 99;
// New reservation in percent of the usage, by number of earlier growths. Starts small, as a task may use just what it
// declared.
constexpr std::array<std::int64_t, 4> GrowToPercent{110, 125, 150, 200};
constexpr std::int64_t MaxCpuFactor = 10; ///< Maximum CPU reservation relative to the declared CPU.
constexpr int OverdueFactor = 3; ///< A task at its limit that runs this many times the expected time lacks memory.

bool reaches(std::int64_t used, std::int64_t reserved, std::int64_t percent)
{
    return reserved > 0 && used * 100 >= reserved * percent;
}

} // namespace

void ReservationGrower::handleReport(LiveHandle live, const TaskReport &report)
{
    const Resources &usage = report.usage;
    const LiveTask &task = zone_.jobs.live(live);
    if (task.job == NoHandle || task.stopping) {
        return;
    }
    restoreLimit(live, report);
    const Job &job = zone_.jobs[task.job];
    const std::int64_t growTo = GrowToPercent[std::min<std::size_t>(task.growthCount, GrowToPercent.size() - 1)];
    Resources wanted = elementwiseMax(task.reserved, usage);
    if (reaches(usage.memoryMib, task.reserved.memoryMib, GrowAtPercent)) {
        wanted.memoryMib = usage.memoryMib * growTo / 100;
    }
    // A task that uses all of its CPU may need more. It gets only free CPU; no other task is stopped for it.
    if (reaches(usage.milliCpu, task.reserved.milliCpu, FullAtPercent)) {
        wanted.milliCpu = std::max(wanted.milliCpu,
                                   std::min(usage.milliCpu * growTo / 100, job.spec.perTask.milliCpu * MaxCpuFactor));
    }
    if (wanted == task.reserved) {
        return;
    }
    wanted = elementwiseMin(elementwiseMax(SizeEstimator::roundUp(wanted), task.reserved),
                            zone_.ledger.capacity(task.worker));
    if (tryGrow(live, wanted) || !reaches(usage.memoryMib, task.reserved.memoryMib, FullAtPercent)) {
        return;
    }
    const bool trimmedBelowDeclared = task.reserved.memoryMib < job.spec.perTask.memoryMib;
    const bool overdue = job.runTime.count() > 0 && zone_.now - task.startedAt > job.runTime * OverdueFactor;
    if (trimmedBelowDeclared) {
        stopNeighbour(live, wanted);
    } else if (overdue || !usage.fitsIn(task.reserved)) {
        restartLarger(live, wanted);
    }
}

// If a task fills a limit below its reservation, the limit is raised to the reservation first: either the lowered limit
// was too low, or the command that raised it was lost.
void ReservationGrower::restoreLimit(LiveHandle live, const TaskReport &report)
{
    LiveTask &task = zone_.jobs.live(live);
    if (!report.limit || task.reserved.fitsIn(*report.limit)) {
        return;
    }
    const bool full = reaches(report.usage.memoryMib, report.limit->memoryMib, GrowAtPercent)
        || reaches(report.usage.milliCpu, report.limit->milliCpu, FullAtPercent);
    if (full) {
        task.pendingLimit.reset();
        zone_.outbox.emplace_back(ThrottleTask{task.worker, task.task, task.reserved});
    }
}

// A CPU limit only slows a task down, so memory is grown even where the CPU doesn't fit.
bool ReservationGrower::tryGrow(LiveHandle live, const Resources &wanted)
{
    LiveTask &task = zone_.jobs.live(live);
    if (zone_.workers[task.worker].heldFor != NoHandle) {
        return false;
    }
    const Resources free = zone_.ledger.free(task.worker) + task.reserved;
    Resources amount = wanted;
    if (!amount.fitsIn(free)) {
        amount.milliCpu = std::min(amount.milliCpu, free.milliCpu);
    }
    if (!amount.fitsIn(free) || amount == task.reserved) {
        return false;
    }
    zone_.resizeReservation(live, amount);
    task.pendingLimit.reset();
    task.growthCount = static_cast<std::uint8_t>(std::min(task.growthCount + 1, 100));
    zone_.outbox.emplace_back(ThrottleTask{task.worker, task.task, amount});
    return amount.memoryMib >= wanted.memoryMib;
}

void ReservationGrower::stopNeighbour(LiveHandle live, const Resources &wanted)
{
    const LiveTask &task = zone_.jobs.live(live);
    const bool alreadyWaiting =
        std::any_of(waiting_.begin(), waiting_.end(), [&](const Waiting &entry) { return entry.task == task.task; });
    if (alreadyWaiting) {
        return;
    }
    const Resources missing = elementwiseMax(wanted - task.reserved - zone_.ledger.free(task.worker), {});
    LiveHandle cheapest = NoHandle;
    std::int64_t cost = 0;
    for (const LiveHandle other : zone_.workers[task.worker].tasks) {
        const auto lostWork = preemptor_.preemptionCost(other);
        const LiveTask &neighbour = zone_.jobs.live(other);
        const bool freesEnough = missing.memoryMib <= neighbour.reserved.memoryMib;
        if (other != live && lostWork && freesEnough && (cheapest == NoHandle || *lostWork < cost)) {
            cheapest = other;
            cost = *lostWork;
        }
    }
    if (cheapest == NoHandle) {
        restartLarger(live, wanted);
        return;
    }
    waiting_.push_back({task.worker, task.task, wanted});
    zone_.requestStop(cheapest, StopReason::Overgrown, true);
}

void ReservationGrower::restartLarger(LiveHandle live, const Resources &wanted)
{
    const LiveTask &task = zone_.jobs.live(live);
    Job &job = zone_.jobs[task.job];
    zone_.outbox.emplace_back(ThrottleTask{task.worker, task.task, task.reserved});
    const bool disrupts = job.spec.kind == JobKind::Service && job.disruptedCount() >= job.spec.maxDisruption;
    if (!job.spec.repeatable || disrupts || !zone_.fitsAnyWorker(wanted) || wanted == task.reserved) {
        return;
    }
    job.minSize = elementwiseMax(job.minSize, wanted);
    zone_.requestStop(live, StopReason::Overgrown, true);
}

void ReservationGrower::handleFreedRoom(WorkerId worker)
{
    std::erase_if(waiting_, [&](const Waiting &entry) {
        const auto live = zone_.jobs.findLive(entry.task);
        if (!live || zone_.jobs.live(*live).stopping || zone_.jobs.live(*live).worker != entry.worker) {
            return true;
        }
        return entry.worker == worker && tryGrow(*live, elementwiseMax(entry.wanted, zone_.jobs.live(*live).reserved));
    });
}

} // namespace yuccawheel::placement
