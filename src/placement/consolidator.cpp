#include "placement/consolidator.h"

#include <fmt/core.h>

#include <algorithm>
#include <optional>

namespace yuccawheel::placement
{

namespace
{

constexpr std::chrono::seconds Interval{5};
constexpr std::chrono::seconds MinUnderutilizedTime{20}; ///< How long a VM is underutilized before it is evacuated.
constexpr std::chrono::seconds MaxEvacuationTime{5}; ///< How long placement avoids the evacuated VM.
constexpr std::chrono::seconds MinRemainingTime{30}; ///< Tasks that should end sooner are not moved.
constexpr std::int64_t UnderutilizedPercent = 90; ///< A VM with less of its CPU and memory reserved is underutilized.
constexpr std::size_t MaxCandidates = 8; ///< VMs examined in one run; bounds its cost.

std::int64_t usedPercent(const Resources &reserved, const Resources &capacity)
{
    const std::int64_t cpu = capacity.milliCpu > 0 ? reserved.milliCpu * 100 / capacity.milliCpu : 0;
    const std::int64_t memory = capacity.memoryMib > 0 ? reserved.memoryMib * 100 / capacity.memoryMib : 0;
    return std::max(cpu, memory);
}

} // namespace

bool Consolidator::isUnderutilized(WorkerId worker) const
{
    return usedPercent(zone_.ledger.reserved(worker), zone_.ledger.capacity(worker)) < UnderutilizedPercent;
}

bool Consolidator::isMovable(LiveHandle live) const
{
    const LiveTask &task = zone_.jobs.live(live);
    if (task.job == NoHandle || task.stopping || !zone_.jobs[task.job].spec.repeatable) {
        return false;
    }
    // Service replicas are not moved: that would disrupt the service and undo the spreading.
    const Job &job = zone_.jobs[task.job];
    const bool endsSoon = task.startedAt + job.runTime <= zone_.now + MinRemainingTime;
    // A task that was checkpointed before, for consolidation or preemption, is not moved again.
    const bool wasCheckpointed = job.slots[task.task.index - job.firstIndex].checkpointed;
    return job.spec.kind == JobKind::Batch && !job.spec.urgent && !endsSoon && !wasCheckpointed;
}

// Each task must fit on another busy VM, and all tasks together in half of the free capacity of the other busy VMs.
bool Consolidator::canMoveElsewhere(WorkerId worker) const
{
    Resources room;
    for (WorkerId other = 0; other < zone_.workers.size(); ++other) {
        if (other != worker && zone_.workers[other].busy && zone_.openWorkers.contains(other)) {
            room += zone_.ledger.free(other);
        }
    }
    if (!(zone_.ledger.reserved(worker) * 2).fitsIn(room)) {
        return false;
    }
    const std::vector<LiveHandle> &tasks = zone_.workers[worker].tasks;
    const WorkerId avoid[] = {worker};
    return std::all_of(tasks.begin(), tasks.end(), [&](LiveHandle live) {
        const auto found = zone_.openWorkers.find(zone_.jobs.live(live).reserved, avoid);
        return isMovable(live) && found && zone_.workers[*found].busy;
    });
}

void Consolidator::run()
{
    if (zone_.options.objective != Objective::Packing || zone_.now < next_) {
        return;
    }
    next_ = zone_.now + Interval;
    if (evacuating_ != NoHandle && (zone_.now >= evacuatingUntil_ || zone_.workers[evacuating_].tasks.empty())) {
        zone_.workers[evacuating_].evacuating = false;
        zone_.updateIndexes(evacuating_);
        evacuating_ = NoHandle;
    }
    std::vector<WorkerId> candidates = findUnderutilized();
    if (evacuating_ != NoHandle || zone_.queue.size() != 0) {
        return;
    }
    // Tries several candidates: one that can't be evacuated, such as a VM with a replica, must not block the others.
    const auto lessReserved = [this](WorkerId left, WorkerId right) {
        const Ledger &ledger = zone_.ledger;
        return std::pair(ledger.reserved(left).milliCpu, left) < std::pair(ledger.reserved(right).milliCpu, right);
    };
    std::sort(candidates.begin(), candidates.end(), lessReserved);
    candidates.resize(std::min(candidates.size(), MaxCandidates));
    const auto found = std::find_if(
        candidates.begin(), candidates.end(), [this](WorkerId worker) { return canMoveElsewhere(worker); });
    if (found != candidates.end()) {
        evacuate(*found);
    }
}

std::vector<WorkerId> Consolidator::findUnderutilized()
{
    std::vector<WorkerId> found;
    for (WorkerId worker = 0; worker < zone_.workers.size(); ++worker) {
        Worker &entry = zone_.workers[worker];
        if (!entry.busy || !isUnderutilized(worker)) {
            entry.underutilizedSince.reset();
            continue;
        }
        entry.underutilizedSince = entry.underutilizedSince.value_or(zone_.now);
        if (zone_.now - *entry.underutilizedSince >= MinUnderutilizedTime && zone_.openWorkers.contains(worker)) {
            found.push_back(worker);
        }
    }
    return found;
}

void Consolidator::evacuate(WorkerId worker)
{
    evacuating_ = worker;
    evacuatingUntil_ = zone_.now + MaxEvacuationTime;
    zone_.workers[worker].evacuating = true;
    zone_.workers[worker].underutilizedSince.reset();
    for (const LiveHandle live : zone_.workers[worker].tasks) {
        if (isMovable(live)) {
            zone_.requestStop(live, StopReason::Consolidated, true);
        }
    }
    zone_.updateIndexes(worker);
    zone_.addDecisionNote(0, fmt::format("evacuating {} onto other busy VMs", zone_.workers[worker].name));
}

} // namespace yuccawheel::placement
