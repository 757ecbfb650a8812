#include "placement/room_maker.h"

#include <fmt/core.h>

#include <algorithm>
#include <numeric>

namespace yuccawheel::placement
{

namespace
{

constexpr std::chrono::seconds GiveBackDelay{10}; ///< How long a job within its quota waits before others must yield.
constexpr std::chrono::seconds HoldTime{15};
constexpr std::size_t SearchedWorkers = 512; ///< In one search, so that its cost is bounded.
constexpr std::uint32_t MaxPlans = 32;
constexpr std::int64_t ServiceCost = 3'600; ///< Stopping a replica counts as this many seconds of its work.

} // namespace

bool RoomMaker::mayPreempt(JobHandle handle) const
{
    const Job &job = zone_.jobs[handle];
    return job.spec.urgent
        || (zone_.now - job.assignedAt >= GiveBackDelay && zone_.teams.hasQuota(job.team)
            && zone_.teams.withinQuota(job.team, job.size));
}

bool RoomMaker::mayStop(const Job &waiting, LiveHandle live) const
{
    const LiveTask &task = zone_.jobs.live(live);
    if (task.job == NoHandle || task.stopping || !zone_.jobs[task.job].spec.repeatable) {
        return false;
    }
    const Job &job = zone_.jobs[task.job];
    if (job.spec.urgent || (job.spec.kind == JobKind::Service && job.disrupted() >= job.spec.maxDisruption)) {
        return false;
    }
    return waiting.spec.urgent || (job.team != waiting.team && !zone_.teams.withinQuota(job.team));
}

// Work since the start counts as lost: a checkpoint may fail in the time that it is given.
std::optional<std::int64_t> RoomMaker::costOf(LiveHandle live) const
{
    const LiveTask &task = zone_.jobs.live(live);
    if (task.job == NoHandle || task.stopping || !zone_.jobs[task.job].spec.repeatable) {
        return std::nullopt;
    }
    const Job &job = zone_.jobs[task.job];
    std::int64_t seconds = 1 + std::chrono::duration_cast<std::chrono::seconds>(zone_.now - task.startedAt).count();
    seconds = job.spec.kind == JobKind::Service ? ServiceCost : seconds;
    // The end of one member ends the whole gang.
    seconds *= job.spec.kind == JobKind::Gang ? job.liveCount : 1;
    const std::int64_t claim = 101 + job.spec.priority + (zone_.teams.withinQuota(job.team) ? 100 : 0);
    return seconds * claim * (100 + (task.reserved.milliCpu / 10));
}

// Counts the tasks for which holds of this job will have room once the stops are through.
std::uint32_t RoomMaker::onTheWay(const Job &job) const
{
    std::int64_t tasks = 0;
    for (const WorkerId worker : job.hold.workers) {
        if (!zone_.acceptsTasks(worker)) {
            continue;
        }
        Resources room = zone_.ledger.free(worker);
        for (const LiveHandle live : zone_.workers[worker].tasks) {
            const LiveTask &task = zone_.jobs.live(live);
            room += task.stopping ? task.reserved : Resources{};
        }
        tasks += job.size.countFittingIn(room);
    }
    return static_cast<std::uint32_t>(std::min<std::int64_t>(tasks, job.slots.size()));
}

void RoomMaker::makeRoom(JobHandle handle)
{
    const Job &job = zone_.jobs[handle];
    if (zone_.reservation.job == handle) {
        zone_.releaseHold(handle);
    }
    const std::uint32_t startable = job.startable();
    const std::uint32_t coming = onTheWay(job);
    if (coming >= startable) {
        return;
    }
    const std::uint32_t needed = startable - coming;
    const std::vector<Plan> found = plans(handle, needed);
    std::uint32_t tasks = 0;
    std::size_t used = 0;
    while (used < found.size() && tasks < needed) {
        tasks += found[used].tasks;
        ++used;
    }
    if (tasks == 0 || (job.spec.kind == JobKind::Gang && tasks < needed)) {
        return;
    }
    for (std::size_t plan = 0; plan < used; ++plan) {
        carryOut(handle, found[plan]);
    }
    zone_.jobs[handle].hold.expires = zone_.now + HoldTime;
    if (std::find(zone_.holders.begin(), zone_.holders.end(), job.spec.id) == zone_.holders.end()) {
        zone_.holders.push_back(job.spec.id);
    }
}

std::vector<RoomMaker::Plan> RoomMaker::plans(JobHandle handle, std::uint32_t needed)
{
    std::vector<Plan> found;
    const std::size_t count = zone_.workers.size();
    for (std::size_t step = 0; step < std::min(count, SearchedWorkers); ++step) {
        cursor_ = static_cast<WorkerId>((cursor_ + 1) % count);
        if (auto plan = planFor(handle, cursor_, needed)) {
            found.push_back(std::move(*plan));
        }
    }
    // Cheapest for each task first; a gang takes the workers with the most room first, to use few of them.
    const bool gang = zone_.jobs[handle].spec.kind == JobKind::Gang;
    std::stable_sort(found.begin(), found.end(), [gang](const Plan &left, const Plan &right) {
        return gang && left.tasks != right.tasks ? left.tasks > right.tasks
                                                 : left.cost * right.tasks < right.cost * left.tasks;
    });
    if (!gang && found.size() > MaxPlans) {
        found.resize(MaxPlans);
    }
    return found;
}

std::optional<RoomMaker::Plan> RoomMaker::planFor(JobHandle handle, WorkerId worker, std::uint32_t needed) const
{
    const Job &job = zone_.jobs[handle];
    const Worker &entry = zone_.workers[worker];
    if (!zone_.acceptsTasks(worker) || entry.holder != NoHandle
        || entry.health.state() != WorkerHealth::State::Healthy) {
        return std::nullopt;
    }
    std::vector<Candidate> candidates;
    for (const LiveHandle live : entry.tasks) {
        if (mayStop(job, live)) {
            candidates.push_back({costOf(live).value_or(0), live});
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        return std::tie(left.cost, left.live) < std::tie(right.cost, right.live);
    });
    Plan plan{worker, 0, 0, {}};
    Resources room = zone_.ledger.free(worker);
    for (const Candidate &candidate : candidates) {
        if (job.size.countFittingIn(room) >= needed) {
            break;
        }
        room += zone_.jobs.live(candidate.live).reserved;
        plan.cost += candidate.cost;
        plan.victims.push_back(candidate.live);
        // One task a worker is enough for single tasks: the next search takes the next cheapest worker.
        if (job.spec.kind != JobKind::Gang && job.size.fitsIn(room)) {
            break;
        }
    }
    plan.tasks = static_cast<std::uint32_t>(std::min<std::int64_t>(job.size.countFittingIn(room), needed));
    return plan.tasks > 0 ? std::optional(plan) : std::nullopt;
}

void RoomMaker::carryOut(JobHandle handle, const Plan &plan)
{
    Resources room = zone_.ledger.free(plan.worker);
    const Job &job = zone_.jobs[handle];
    const Resources wanted = job.size * plan.tasks;
    zone_.hold(handle, plan.worker);
    // The dearest first are spared if the others free enough.
    std::vector<LiveHandle> victims = plan.victims;
    Resources all = room;
    for (const LiveHandle live : victims) {
        all += zone_.jobs.live(live).reserved;
    }
    for (auto victim = victims.rbegin(); victim != victims.rend(); ++victim) {
        const Resources without = all - zone_.jobs.live(*victim).reserved;
        if (wanted.fitsIn(without)) {
            all = without;
            continue;
        }
        zone_.requestStop(*victim, StopReason::Preempted, true);
    }
    zone_.note(job.spec.id, fmt::format("{} is cleared for it", zone_.workers[plan.worker].name));
}

void RoomMaker::expireHolds()
{
    std::erase_if(zone_.holders, [this](JobId id) {
        const auto handle = zone_.jobs.find(id);
        if (!handle || zone_.jobs[*handle].hold.workers.empty() || zone_.reservation.job == *handle) {
            return true;
        }
        if (zone_.jobs[*handle].hold.expires > zone_.now) {
            return false;
        }
        zone_.releaseHold(*handle);
        return true;
    });
}

} // namespace yuccawheel::placement
