#include "placement/consolidator.h"

#include <fmt/core.h>

#include <algorithm>
#include <optional>

namespace yuccawheel::placement
{

namespace
{

constexpr std::chrono::seconds Interval{5};
constexpr std::chrono::seconds LittleFor{20}; ///< How long a VM must have been of little use.
constexpr std::chrono::seconds RestFor{5}; ///< How long an emptied VM is the last to be chosen.
constexpr std::chrono::seconds EndsSoon{30}; ///< Tasks that end within this are waited for.
constexpr std::int64_t LittleShare = 90; ///< Percent of the tightest resource.
constexpr std::size_t MaxTried = 8; ///< Candidates looked at in one run, so that its cost is bounded.

std::int64_t share(const Resources &reserved, const Resources &capacity)
{
    const std::int64_t cpu = capacity.milliCpu > 0 ? reserved.milliCpu * 100 / capacity.milliCpu : 0;
    const std::int64_t memory = capacity.memoryMib > 0 ? reserved.memoryMib * 100 / capacity.memoryMib : 0;
    return std::max(cpu, memory);
}

} // namespace

bool Consolidator::little(WorkerId worker) const
{
    return share(zone_.ledger.reserved(worker), zone_.ledger.capacity(worker)) < LittleShare;
}

bool Consolidator::movable(LiveHandle live) const
{
    const LiveTask &task = zone_.jobs.live(live);
    if (task.job == NoHandle || task.stopping || !zone_.jobs[task.job].spec.repeatable) {
        return false;
    }
    // Replicas stay where they were spread: moving them would disrupt the service and undo the spread.
    const Job &job = zone_.jobs[task.job];
    const bool endsSoon = task.startedAt + job.runTime <= zone_.now + EndsSoon;
    // A task moves at most once for the sake of packing, and not at all after a preemption.
    const bool moved = job.slots[task.task.index - job.firstIndex].checkpointed;
    return job.spec.kind == JobKind::Batch && !job.spec.urgent && !endsSoon && !moved;
}

// Each task must fit on another busy VM, and all of them into half of the room there.
bool Consolidator::fitsElsewhere(WorkerId worker) const
{
    Resources room;
    for (WorkerId other = 0; other < zone_.workers.size(); ++other) {
        if (other != worker && zone_.workers[other].busy && zone_.open.contains(other)) {
            room += zone_.ledger.free(other);
        }
    }
    if (!(zone_.ledger.reserved(worker) * 2).fitsIn(room)) {
        return false;
    }
    const std::vector<LiveHandle> &tasks = zone_.workers[worker].tasks;
    const WorkerId avoid[] = {worker};
    return std::all_of(tasks.begin(), tasks.end(), [&](LiveHandle live) {
        const auto found = zone_.open.find(zone_.jobs.live(live).reserved, avoid);
        return movable(live) && found && zone_.workers[*found].busy;
    });
}

void Consolidator::run()
{
    if (zone_.options.objective != Objective::Packing || zone_.now < next_) {
        return;
    }
    next_ = zone_.now + Interval;
    if (resting_ != NoHandle && (zone_.now >= restingUntil_ || zone_.workers[resting_].tasks.empty())) {
        zone_.workers[resting_].resting = false;
        zone_.refresh(resting_);
        resting_ = NoHandle;
    }
    std::vector<WorkerId> candidates = littleUsed();
    if (resting_ != NoHandle || zone_.queue.size() != 0) {
        return;
    }
    // One that can't be emptied, because of a replica for instance, must not keep the others from it.
    const auto least = [this](WorkerId left, WorkerId right) {
        const Ledger &ledger = zone_.ledger;
        return std::pair(ledger.reserved(left).milliCpu, left) < std::pair(ledger.reserved(right).milliCpu, right);
    };
    std::sort(candidates.begin(), candidates.end(), least);
    candidates.resize(std::min(candidates.size(), MaxTried));
    const auto found =
        std::find_if(candidates.begin(), candidates.end(), [this](WorkerId worker) { return fitsElsewhere(worker); });
    if (found != candidates.end()) {
        empty(*found);
    }
}

std::vector<WorkerId> Consolidator::littleUsed()
{
    std::vector<WorkerId> found;
    for (WorkerId worker = 0; worker < zone_.workers.size(); ++worker) {
        Worker &entry = zone_.workers[worker];
        if (!entry.busy || !little(worker)) {
            entry.littleSince.reset();
            continue;
        }
        entry.littleSince = entry.littleSince.value_or(zone_.now);
        if (zone_.now - *entry.littleSince >= LittleFor && zone_.open.contains(worker)) {
            found.push_back(worker);
        }
    }
    return found;
}

void Consolidator::empty(WorkerId worker)
{
    resting_ = worker;
    restingUntil_ = zone_.now + RestFor;
    zone_.workers[worker].resting = true;
    zone_.workers[worker].littleSince.reset();
    for (const LiveHandle live : zone_.workers[worker].tasks) {
        if (movable(live)) {
            zone_.requestStop(live, StopReason::Consolidated, true);
        }
    }
    zone_.refresh(worker);
    zone_.note(0, fmt::format("{} is emptied onto other busy VMs", zone_.workers[worker].name));
}

} // namespace yuccawheel::placement
