#include "placement/reservation_trimmer.h"

#include <algorithm>

namespace yuccawheel::placement
{

namespace
{

// Target reservation in percent of the peak. Usage then stays below the shares at which ReservationGrower acts.
constexpr std::int64_t CpuTargetPercent = 102;
constexpr std::int64_t MemoryTargetPercent = 103;
constexpr std::int64_t SaturatedPercent = 99; ///< At this share of the reservation, the limit may hold usage down.
constexpr std::int64_t MinReductionPercent = 2; ///< Smaller reductions are not worth a command.
constexpr std::int64_t SteadyGrowthPerMille = 5; ///< Largest growth of the memory peak that counts as steady.
constexpr std::uint8_t SteadyReports = 3; ///< Steady reports required before memory is lowered.
constexpr std::chrono::seconds ResendAfter{30}; ///< The command may have been lost.

bool isWorthLowering(std::int64_t lowered, std::int64_t reserved, std::int64_t lowestLimit)
{
    return lowered < lowestLimit && (reserved - lowered) * 100 >= reserved * MinReductionPercent;
}

} // namespace

void ReservationTrimmer::handleReport(LiveHandle live, const TaskReport &report)
{
    LiveTask &task = zone_.jobs.live(live);
    if (task.job == NoHandle || task.stopping || !report.limit) {
        return;
    }
    if (task.pendingLimit) {
        applyConfirmedLimit(live, *report.limit);
    }
    if (report.usage.isZero()) {
        return;
    }
    updateSteadyCount(task, report.usage);
    if (task.pendingLimit) {
        if (zone_.now - task.pendingLimitSentAt >= ResendAfter) {
            sendLowerLimit(task, *task.pendingLimit);
        }
        return;
    }
    const Resources wanted = targetReservation(task, report.usage);
    if (isWorthLowering(wanted.milliCpu, task.reserved.milliCpu, task.lowestLimit.milliCpu)
        || isWorthLowering(wanted.memoryMib, task.reserved.memoryMib, task.lowestLimit.memoryMib)) {
        sendLowerLimit(task, wanted);
    }
}

// Reports may be late, duplicated or out of order. Each lowered limit is below all earlier limits of the attempt in at
// least one resource, so a report whose limit fits in it was made after it came into force.
void ReservationTrimmer::applyConfirmedLimit(LiveHandle live, const Resources &limit)
{
    LiveTask &task = zone_.jobs.live(live);
    if (!limit.fitsIn(*task.pendingLimit)) {
        return;
    }
    const Resources lowered = elementwiseMin(task.reserved, *task.pendingLimit);
    task.pendingLimit.reset();
    zone_.resizeReservation(live, lowered);
    zone_.markDirty(task.worker);
}

void ReservationTrimmer::updateSteadyCount(LiveTask &task, const Resources &usage)
{
    if (usage.memoryMib * 1'000 > task.steadyMemoryMib * (1'000 + SteadyGrowthPerMille)) {
        task.steadyMemoryMib = usage.memoryMib;
        task.steadyReports = 0;
    } else {
        task.steadyReports = static_cast<std::uint8_t>(std::min(task.steadyReports + 1, 100));
    }
}

// CPU usage is representative from the start, but memory fills up over time and must be steady before it is lowered.
Resources ReservationTrimmer::targetReservation(const LiveTask &task, const Resources &usage)
{
    Resources wanted = task.reserved;
    if (usage.milliCpu * 100 < task.reserved.milliCpu * SaturatedPercent) {
        wanted.milliCpu = std::min(wanted.milliCpu, task.peak.milliCpu * CpuTargetPercent / 100);
    }
    if (task.steadyReports >= SteadyReports) {
        wanted.memoryMib = std::min(wanted.memoryMib, task.peak.memoryMib * MemoryTargetPercent / 100);
    }
    return wanted;
}

void ReservationTrimmer::sendLowerLimit(LiveTask &task, const Resources &limit)
{
    task.pendingLimit = limit;
    task.lowestLimit = elementwiseMin(task.lowestLimit, limit);
    task.pendingLimitSentAt = zone_.now;
    zone_.outbox.emplace_back(ThrottleTask{task.worker, task.task, limit});
}

} // namespace yuccawheel::placement
