#include "placement/reservation_trimmer.h"

#include <algorithm>

namespace yuccawheel::placement
{

namespace
{

// In percent. The margins leave use below the shares at which GrowthWatch lets a task grow.
constexpr std::int64_t CpuMargin = 102;
constexpr std::int64_t MemoryMargin = 103;
constexpr std::int64_t SaturatedAt = 99; ///< Use at this part of the limit may be more without it.
constexpr std::int64_t WorthwhilePart = 2; ///< Of the reservation; less isn't worth a command.
constexpr std::int64_t SteadyPerMille = 5; ///< Growth of the peak that still counts as steady.
constexpr std::uint8_t SteadyReports = 3; ///< Reports without growth of the peak before memory is lowered.
constexpr std::chrono::seconds ResendAfter{30}; ///< The command may have been lost on the way.

bool worthwhile(std::int64_t lowered, std::int64_t reserved, std::int64_t lowest)
{
    return lowered < lowest && (reserved - lowered) * 100 >= reserved * WorthwhilePart;
}

} // namespace

void ReservationTrimmer::reported(LiveHandle live, const TaskReport &report)
{
    LiveTask &task = zone_.jobs.live(live);
    if (task.job == NoHandle || task.stopping || !report.limit) {
        return;
    }
    if (task.lowering) {
        confirm(live, *report.limit);
    }
    if (report.usage.isZero()) {
        return;
    }
    countSteady(task, report.usage);
    if (task.lowering) {
        if (zone_.now - task.loweringSentAt >= ResendAfter) {
            lower(task, *task.lowering);
        }
        return;
    }
    const Resources wanted = target(task, report.usage);
    if (worthwhile(wanted.milliCpu, task.reserved.milliCpu, task.lowest.milliCpu)
        || worthwhile(wanted.memoryMib, task.reserved.memoryMib, task.lowest.memoryMib)) {
        lower(task, wanted);
    }
}

// Reports come late, twice and out of order. Each lower limit is below all earlier ones of the attempt in a resource,
// so a report with a limit that fits in it was made after it came into force.
void ReservationTrimmer::confirm(LiveHandle live, const Resources &limit)
{
    LiveTask &task = zone_.jobs.live(live);
    if (!limit.fitsIn(*task.lowering)) {
        return;
    }
    const Resources lowered = elementwiseMin(task.reserved, *task.lowering);
    task.lowering.reset();
    zone_.resize(live, lowered);
    zone_.markDirty(task.worker);
}

void ReservationTrimmer::countSteady(LiveTask &task, const Resources &usage)
{
    if (usage.memoryMib * 1'000 > task.steadyMemoryMib * (1'000 + SteadyPerMille)) {
        task.steadyMemoryMib = usage.memoryMib;
        task.steadyReports = 0;
    } else {
        task.steadyReports = static_cast<std::uint8_t>(std::min(task.steadyReports + 1, 100));
    }
}

// Processors are in use from the start, memory fills up.
Resources ReservationTrimmer::target(const LiveTask &task, const Resources &usage)
{
    Resources wanted = task.reserved;
    if (usage.milliCpu * 100 < task.reserved.milliCpu * SaturatedAt) {
        wanted.milliCpu = std::min(wanted.milliCpu, task.peak.milliCpu * CpuMargin / 100);
    }
    if (task.steadyReports >= SteadyReports) {
        wanted.memoryMib = std::min(wanted.memoryMib, task.peak.memoryMib * MemoryMargin / 100);
    }
    return wanted;
}

void ReservationTrimmer::lower(LiveTask &task, const Resources &limit)
{
    task.lowering = limit;
    task.lowest = elementwiseMin(task.lowest, limit);
    task.loweringSentAt = zone_.now;
    zone_.outbox.emplace_back(ThrottleTask{task.worker, task.task, limit});
}

} // namespace yuccawheel::placement
