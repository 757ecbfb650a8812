#include "workflow/preemption_planner.h"

#include <algorithm>

namespace yuccawheel::workflow
{

namespace
{

constexpr std::uint32_t MaxRuns = 3; ///< From this run on, a task is no longer preempted, so that it makes progress.
// A worker needs up to 400 ms to stop a task; then its end and the new start must be committed.
constexpr std::chrono::milliseconds PreemptionTime{600};

} // namespace

bool PreemptionPlanner::isPreemptible(const LiveRun &run, std::int32_t priority)
{
    return run.stage == LiveRun::Stage::Running && run.resumable && run.priority > priority && run.run < MaxRuns;
}

template <typename Visit>
void PreemptionPlanner::forEachPreemptible(WorkerNumber number, std::int32_t priority, Visit visit) const
{
    for (const auto &[task, run] : workers_.at(number).runs) {
        if (isPreemptible(run, priority)) {
            visit(task, run);
        }
    }
}

std::uint32_t PreemptionPlanner::maxFittingTasks(const StepPlacer &placer,
                                                 const StepPlacer::Request &request,
                                                 WorkerNumber number) const
{
    return placer.fittingTasksIn(request,
                                 number,
                                 placer.availableOn(request, number)
                                     + preemptibleCapacity(number, request.job.policy.priority));
}

placement::Resources PreemptionPlanner::preemptibleCapacity(WorkerNumber number, std::int32_t priority) const
{
    const auto [found, added] = preemptible_[priority].try_emplace(number);
    if (added) {
        forEachPreemptible(
            number, priority, [sum = &found->second](const TaskRef &, const LiveRun &run) { *sum += run.reserved; });
    }
    const auto claimed = claimedPreemptible_.find(number);
    if (claimed == claimedPreemptible_.end()) {
        return found->second;
    }
    return found->second - placement::elementwiseMin(found->second, claimed->second);
}

void PreemptionPlanner::claimCapacity(const StepPlacer &placer,
                                      const StepPlacer::Request &request,
                                      CapacityClaims &claims)
{
    struct Collector {
        WorkerNumber worker = 0;
        std::uint32_t tasks = 0; ///< Tasks of the gang that the whole worker could hold.
        std::uint32_t reachableTasks = 0; ///< Tasks that fit now, after preemption if the gang may preempt.
        std::int64_t freeMilliCpu = 0;
    };
    const placement::Resources amount = reservationOf(request.job.specOf(request.position));
    const auto needed = static_cast<std::uint32_t>(request.waiting.size());
    if (!claims.askAdmission(amount * needed)) {
        return;
    }
    std::vector<Collector> candidates;
    std::uint32_t possible = 0;
    placer.forEachEligible(request, std::nullopt, [&](WorkerNumber number) {
        const std::uint32_t tasks = placer.fittingTasksIn(request, number, ledger_.capacity(number));
        const std::uint32_t reachable =
            request.mayPreempt ? maxFittingTasks(placer, request, number) : placer.fittingTasks(request, number);
        candidates.push_back({number, tasks, reachable, placer.availableOn(request, number).milliCpu});
        possible += tasks;
    });
    if (possible < needed) {
        return;
    }
    claims.admit(amount * needed);
    std::sort(candidates.begin(), candidates.end(), [](const Collector &left, const Collector &right) {
        return std::tuple(right.reachableTasks, right.freeMilliCpu, left.worker)
            < std::tuple(left.reachableTasks, left.freeMilliCpu, right.worker);
    });
    // Capacity within reach goes first; what is missing is collected on the same workers as their tasks end.
    std::uint32_t remaining = needed;
    const auto claim = [&](const Collector &candidate, std::uint32_t tasks) {
        const placement::Resources wanted = amount * tasks;
        const placement::Resources claimed =
            placement::elementwiseMin(wanted, placer.availableOn(request, candidate.worker));
        if (claimed.isNonNegative()) {
            claims.claim(candidate.worker, claimed, request.job.policy.priority);
            claimedPreemptible_[candidate.worker] += wanted - claimed;
        }
        remaining -= tasks;
    };
    for (Collector &candidate : candidates) {
        const std::uint32_t tasks = std::min(candidate.reachableTasks, remaining);
        if (tasks > 0) {
            claim(candidate, tasks);
            candidate.tasks -= tasks;
        }
    }
    for (const Collector &candidate : candidates) {
        const std::uint32_t tasks = std::min(candidate.tasks, remaining);
        if (tasks > 0) {
            claim(candidate, tasks);
        }
    }
}

void PreemptionPlanner::forgetWorker(WorkerNumber number)
{
    for (auto &[priority, byWorker] : preemptible_) {
        byWorker.erase(number);
    }
}

PreemptionPlanner::Candidate PreemptionPlanner::makeCandidate(const StepPlacer &placer,
                                                              const StepPlacer::Request &request,
                                                              WorkerNumber number) const
{
    Candidate candidate;
    candidate.worker = number;
    candidate.free = placer.availableOn(request, number);
    candidate.fittingTasks = placer.fittingTasksIn(request, number, candidate.free);
    candidate.maxFittingTasks = maxFittingTasks(placer, request, number);
    forEachPreemptible(number, request.job.policy.priority, [&](const TaskRef &task, const LiveRun &run) {
        candidate.preemptible.push_back({number, task, run.reserved});
    });
    std::sort(candidate.preemptible.begin(),
              candidate.preemptible.end(),
              [](const Preemption &left, const Preemption &right) {
                  return std::tie(left.freed.milliCpu, left.task) < std::tie(right.freed.milliCpu, right.task);
              });
    return candidate;
}

bool PreemptionPlanner::mayFit(const StepPlacer::Request &request) const
{
    const std::int64_t needed = reservationOf(request.job.specOf(request.position)).milliCpu;
    if (request.eligibility == nullptr || needed == 0) {
        return true;
    }
    std::size_t fitting = 0;
    for (const auto &[number, ticket] : request.eligibility->eligible()) {
        if (workers_.contains(number)) {
            const std::int64_t reachable =
                ledger_.free(number).milliCpu + preemptibleCapacity(number, request.job.policy.priority).milliCpu;
            fitting += static_cast<std::size_t>(std::max<std::int64_t>(reachable, 0) / needed);
        }
    }
    return fitting >= request.waiting.size();
}

std::optional<PreemptionPlanner::Plan> PreemptionPlanner::plan(const StepPlacer &placer,
                                                               const StepPlacer::Request &request) const
{
    if (!mayFit(request)) {
        return std::nullopt;
    }
    std::vector<WorkerNumber> ready;
    std::size_t reachableTasks = 0;
    placer.forEachEligible(request, PreemptionTime, [&](WorkerNumber number) {
        ready.push_back(number);
        reachableTasks += maxFittingTasks(placer, request, number);
    });
    const std::size_t needed = request.waiting.size();
    if (reachableTasks < needed) {
        return std::nullopt;
    }
    std::vector<Candidate> candidates;
    std::size_t fittingTasks = 0;
    for (const WorkerNumber number : ready) {
        candidates.push_back(makeCandidate(placer, request, number));
        fittingTasks += candidates.back().fittingTasks;
    }
    // Workers with the most free capacity need the fewest preemptions.
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        return std::tuple(right.free.milliCpu, left.worker) < std::tuple(left.free.milliCpu, right.worker);
    });
    Plan plan;
    for (Candidate &candidate : candidates) {
        while (fittingTasks < needed && candidate.fittingTasks < candidate.maxFittingTasks) {
            while (candidate.fittingTasks < candidate.maxFittingTasks
                   && placer.fittingTasksIn(request, candidate.worker, candidate.free) <= candidate.fittingTasks) {
                plan.preemptions.push_back(candidate.preemptible.back());
                candidate.free += candidate.preemptible.back().freed;
                candidate.preemptible.pop_back();
            }
            const std::uint32_t fitting = placer.fittingTasksIn(request, candidate.worker, candidate.free);
            fittingTasks += fitting - candidate.fittingTasks;
            candidate.fittingTasks = fitting;
        }
    }
    std::size_t remaining = needed;
    std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate &first, const Candidate &second) {
        return first.fittingTasks > second.fittingTasks;
    });
    for (const Candidate &candidate : candidates) {
        const auto taken = static_cast<std::uint32_t>(std::min<std::size_t>(candidate.fittingTasks, remaining));
        if (taken > 0) {
            plan.tasksByWorker[candidate.worker] = taken;
            remaining -= taken;
        }
    }
    return plan;
}

} // namespace yuccawheel::workflow
