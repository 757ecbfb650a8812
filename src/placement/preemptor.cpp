#include "placement/preemptor.h"

#include <fmt/core.h>

#include <algorithm>
#include <numeric>

namespace yuccawheel::placement
{

namespace
{

constexpr std::chrono::seconds QuotaReclaimDelay{10}; ///< Wait of a job within its quota before it may preempt.
constexpr std::chrono::seconds HoldTimeout{15};
constexpr std::size_t MaxSearchedWorkers = 512; ///< Bounds the cost of one search.
constexpr std::uint32_t MaxPlans = 32;
constexpr std::int64_t ServiceCostSeconds = 3'600; ///< Work counted as lost when a service replica is stopped.

} // namespace

bool Preemptor::canPreempt(JobHandle handle) const
{
    const Job &job = zone_.jobs[handle];
    return job.spec.urgent
        || (zone_.now - job.assignedAt >= QuotaReclaimDelay && zone_.teams.hasQuota(job.team)
            && zone_.teams.withinQuota(job.team, job.size));
}

bool Preemptor::isPreemptible(const Job &waiting, LiveHandle live) const
{
    const LiveTask &task = zone_.jobs.live(live);
    if (task.job == NoHandle || task.stopping || !zone_.jobs[task.job].spec.repeatable) {
        return false;
    }
    const Job &job = zone_.jobs[task.job];
    if (job.spec.urgent || (job.spec.kind == JobKind::Service && job.disruptedCount() >= job.spec.maxDisruption)) {
        return false;
    }
    return waiting.spec.urgent || (job.team != waiting.team && !zone_.teams.withinQuota(job.team));
}

// All work since the start counts as lost, because the checkpoint may not complete before the stop deadline.
std::optional<std::int64_t> Preemptor::preemptionCost(LiveHandle live) const
{
    const LiveTask &task = zone_.jobs.live(live);
    if (task.job == NoHandle || task.stopping || !zone_.jobs[task.job].spec.repeatable) {
        return std::nullopt;
    }
    const Job &job = zone_.jobs[task.job];
    std::int64_t seconds = 1 + std::chrono::duration_cast<std::chrono::seconds>(zone_.now - task.startedAt).count();
    seconds = job.spec.kind == JobKind::Service ? ServiceCostSeconds : seconds;
    // Stopping one task of a gang stops the whole gang.
    seconds *= job.spec.kind == JobKind::Gang ? job.liveCount : 1;
    // Preempting tasks of a higher priority or within their team's quota costs more.
    const std::int64_t weight = 101 + job.spec.priority + (zone_.teams.withinQuota(job.team) ? 100 : 0);
    return seconds * weight * (100 + (task.reserved.milliCpu / 10));
}

// Returns how many tasks of the job will fit on the workers held for it once the pending stops are done.
std::uint32_t Preemptor::tasksAfterPendingStops(const Job &job) const
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

void Preemptor::preemptFor(JobHandle handle)
{
    const Job &job = zone_.jobs[handle];
    if (zone_.backfill.job == handle) {
        zone_.releaseHeldWorkers(handle);
    }
    const std::uint32_t startable = job.startableCount();
    const std::uint32_t expectedTasks = tasksAfterPendingStops(job);
    if (expectedTasks >= startable) {
        return;
    }
    const std::uint32_t needed = startable - expectedTasks;
    const std::vector<Plan> found = findPlans(handle, needed);
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
        executePlan(handle, found[plan]);
    }
    zone_.jobs[handle].hold.expires = zone_.now + HoldTimeout;
    if (std::find(zone_.preemptingJobs.begin(), zone_.preemptingJobs.end(), job.spec.id)
        == zone_.preemptingJobs.end()) {
        zone_.preemptingJobs.push_back(job.spec.id);
    }
}

std::vector<Preemptor::Plan> Preemptor::findPlans(JobHandle handle, std::uint32_t needed)
{
    std::vector<Plan> found;
    const std::size_t count = zone_.workers.size();
    for (std::size_t step = 0; step < std::min(count, MaxSearchedWorkers); ++step) {
        cursor_ = static_cast<WorkerId>((cursor_ + 1) % count);
        if (auto plan = planFor(handle, cursor_, needed)) {
            found.push_back(std::move(*plan));
        }
    }
    // Lowest cost per task first. A gang takes the workers with the most room first, to use few workers.
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

std::optional<Preemptor::Plan> Preemptor::planFor(JobHandle handle, WorkerId worker, std::uint32_t needed) const
{
    const Job &job = zone_.jobs[handle];
    const Worker &entry = zone_.workers[worker];
    if (!zone_.acceptsTasks(worker) || entry.heldFor != NoHandle
        || entry.health.state() != WorkerHealth::State::Healthy) {
        return std::nullopt;
    }
    std::vector<Candidate> candidates;
    for (const LiveHandle live : entry.tasks) {
        if (isPreemptible(job, live)) {
            candidates.push_back({preemptionCost(live).value_or(0), live});
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
        // For a job that is not a gang, one task per worker is enough: the next search finds the next cheapest worker.
        if (job.spec.kind != JobKind::Gang && job.size.fitsIn(room)) {
            break;
        }
    }
    plan.tasks = static_cast<std::uint32_t>(std::min<std::int64_t>(job.size.countFittingIn(room), needed));
    return plan.tasks > 0 ? std::optional(plan) : std::nullopt;
}

void Preemptor::executePlan(JobHandle handle, const Plan &plan)
{
    Resources room = zone_.ledger.free(plan.worker);
    const Job &job = zone_.jobs[handle];
    const Resources wanted = job.size * plan.tasks;
    zone_.holdWorker(handle, plan.worker);
    // Spares victims, the most expensive first, as long as the others free enough room.
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
    zone_.addDecisionNote(job.spec.id,
                          fmt::format("preempting tasks on {} for this job", zone_.workers[plan.worker].name));
}

void Preemptor::expireHolds()
{
    std::erase_if(zone_.preemptingJobs, [this](JobId id) {
        const auto handle = zone_.jobs.find(id);
        if (!handle || zone_.jobs[*handle].hold.workers.empty() || zone_.backfill.job == *handle) {
            return true;
        }
        if (zone_.jobs[*handle].hold.expires > zone_.now) {
            return false;
        }
        zone_.releaseHeldWorkers(*handle);
        return true;
    });
}

} // namespace yuccawheel::placement
