#include "placement/growth_watch.h"

#include <algorithm>
#include <array>

namespace yuccawheel::placement
{

namespace
{

// Parts of a reservation, in percent.
constexpr std::int64_t GrowAt = 98;
constexpr std::int64_t FullAt = 99;
// Little at first, as a task may use just what it declared.
constexpr std::array<std::int64_t, 4> GrowTo{110, 125, 150, 200};
constexpr std::int64_t LargestFactor = 10; ///< Of what was declared, for processors.
constexpr int OverdueFactor = 3; ///< A task at its limit that runs so much longer than expected lacks memory.

bool reaches(std::int64_t used, std::int64_t reserved, std::int64_t percent)
{
    return reserved > 0 && used * 100 >= reserved * percent;
}

} // namespace

void GrowthWatch::reported(LiveHandle live, const TaskReport &report)
{
    const Resources &usage = report.usage;
    const LiveTask &task = zone_.jobs.live(live);
    if (task.job == NoHandle || task.stopping) {
        return;
    }
    restoreLimit(live, report);
    const Job &job = zone_.jobs[task.job];
    const std::int64_t growTo = GrowTo[std::min<std::size_t>(task.growths, GrowTo.size() - 1)];
    Resources wanted = elementwiseMax(task.reserved, usage);
    if (reaches(usage.memoryMib, task.reserved.memoryMib, GrowAt)) {
        wanted.memoryMib = usage.memoryMib * growTo / 100;
    }
    // With all its processors in use a task may need more; it takes only what is free, and nobody is stopped for it.
    if (reaches(usage.milliCpu, task.reserved.milliCpu, FullAt)) {
        wanted.milliCpu = std::max(wanted.milliCpu,
                                   std::min(usage.milliCpu * growTo / 100, job.spec.perTask.milliCpu * LargestFactor));
    }
    if (wanted == task.reserved) {
        return;
    }
    wanted = elementwiseMin(elementwiseMax(SizeEstimator::roundUp(wanted), task.reserved),
                            zone_.ledger.capacity(task.worker));
    if (grow(live, wanted) || !reaches(usage.memoryMib, task.reserved.memoryMib, FullAt)) {
        return;
    }
    const bool cutByUs = task.reserved.memoryMib < job.spec.perTask.memoryMib;
    const bool overdue = job.runTime.count() > 0 && zone_.now - task.startedAt > job.runTime * OverdueFactor;
    if (cutByUs) {
        stopNeighbour(live, wanted);
    } else if (overdue || !usage.fitsIn(task.reserved)) {
        restartLarger(live, wanted);
    }
}

// A task that fills a limit below its reservation gets the whole of it first: a lower limit was too low, or the command
// that raised it was lost.
void GrowthWatch::restoreLimit(LiveHandle live, const TaskReport &report)
{
    LiveTask &task = zone_.jobs.live(live);
    if (!report.limit || task.reserved.fitsIn(*report.limit)) {
        return;
    }
    const bool full = reaches(report.usage.memoryMib, report.limit->memoryMib, GrowAt)
        || reaches(report.usage.milliCpu, report.limit->milliCpu, FullAt);
    if (full) {
        task.lowering.reset();
        zone_.outbox.emplace_back(ThrottleTask{task.worker, task.task, task.reserved});
    }
}

// A processor limit only slows a task, so memory grows alone where there is no room for both.
bool GrowthWatch::grow(LiveHandle live, const Resources &wanted)
{
    LiveTask &task = zone_.jobs.live(live);
    if (zone_.workers[task.worker].holder != NoHandle) {
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
    zone_.resize(live, amount);
    task.lowering.reset();
    task.growths = static_cast<std::uint8_t>(std::min(task.growths + 1, 100));
    zone_.outbox.emplace_back(ThrottleTask{task.worker, task.task, amount});
    return amount.memoryMib >= wanted.memoryMib;
}

void GrowthWatch::stopNeighbour(LiveHandle live, const Resources &wanted)
{
    const LiveTask &task = zone_.jobs.live(live);
    const bool known =
        std::any_of(waiting_.begin(), waiting_.end(), [&](const Waiting &entry) { return entry.task == task.task; });
    if (known) {
        return;
    }
    const Resources missing = elementwiseMax(wanted - task.reserved - zone_.ledger.free(task.worker), {});
    LiveHandle cheapest = NoHandle;
    std::int64_t cost = 0;
    for (const LiveHandle other : zone_.workers[task.worker].tasks) {
        const auto lost = rooms_.costOf(other);
        const LiveTask &neighbour = zone_.jobs.live(other);
        const bool frees = missing.memoryMib <= neighbour.reserved.memoryMib;
        if (other != live && lost && frees && (cheapest == NoHandle || *lost < cost)) {
            cheapest = other;
            cost = *lost;
        }
    }
    if (cheapest == NoHandle) {
        restartLarger(live, wanted);
        return;
    }
    waiting_.push_back({task.worker, task.task, wanted});
    zone_.requestStop(cheapest, StopReason::Overgrown, true);
}

void GrowthWatch::restartLarger(LiveHandle live, const Resources &wanted)
{
    const LiveTask &task = zone_.jobs.live(live);
    Job &job = zone_.jobs[task.job];
    zone_.outbox.emplace_back(ThrottleTask{task.worker, task.task, task.reserved});
    const bool disrupts = job.spec.kind == JobKind::Service && job.disrupted() >= job.spec.maxDisruption;
    if (!job.spec.repeatable || disrupts || !zone_.fitsAnyWorker(wanted) || wanted == task.reserved) {
        return;
    }
    job.floor = elementwiseMax(job.floor, wanted);
    zone_.requestStop(live, StopReason::Overgrown, true);
}

void GrowthWatch::roomCameFree(WorkerId worker)
{
    std::erase_if(waiting_, [&](const Waiting &entry) {
        const auto live = zone_.jobs.findLive(entry.task);
        if (!live || zone_.jobs.live(*live).stopping || zone_.jobs.live(*live).worker != entry.worker) {
            return true;
        }
        return entry.worker == worker && grow(*live, elementwiseMax(entry.wanted, zone_.jobs.live(*live).reserved));
    });
}

} // namespace yuccawheel::placement
