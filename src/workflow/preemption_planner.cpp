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

bool PreemptionPlanner::isPreemptible(const TaskRef &task, const LiveRun &run, std::int32_t priority) const
{
    const JobRecord *const job = state_.findJob(task.job);
    if (job == nullptr || run.stage != LiveRun::Stage::Running || job->policy.priority <= priority
        || !job->spec.steps[task.step].isResumable()) {
        return false;
    }
    return run.run < MaxRuns;
}

placement::Resources PreemptionPlanner::reservationFor(const TaskRef &task) const
{
    return reservationOf(state_.findJob(task.job)->spec.steps[task.step]);
}

template <typename Visit>
void PreemptionPlanner::forEachPreemptible(WorkerNumber number, std::int32_t priority, Visit visit) const
{
    for (const auto &[task, run] : workers_.at(number).runs) {
        if (isPreemptible(task, run, priority)) {
            visit(task);
        }
    }
}

std::uint32_t PreemptionPlanner::maxFittingTasks(const StepPlacer &placer,
                                                 const StepPlacer::Request &request,
                                                 WorkerNumber number) const
{
    placement::Resources available = placer.availableOn(request, number);
    forEachPreemptible(
        number, request.job.policy.priority, [&](const TaskRef &task) { available += reservationFor(task); });
    return placer.fittingTasksIn(request, number, available);
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
    forEachPreemptible(number, request.job.policy.priority, [&](const TaskRef &task) {
        candidate.preemptible.push_back({number, task});
    });
    std::sort(candidate.preemptible.begin(),
              candidate.preemptible.end(),
              [this](const Preemption &left, const Preemption &right) {
                  return std::tuple(reservationFor(left.task).milliCpu, left.task)
                      < std::tuple(reservationFor(right.task).milliCpu, right.task);
              });
    return candidate;
}

std::optional<PreemptionPlanner::Plan> PreemptionPlanner::plan(const StepPlacer &placer,
                                                               const StepPlacer::Request &request) const
{
    std::vector<Candidate> candidates;
    std::size_t fittingTasks = 0;
    std::size_t maxFittingTasks = 0;
    for (const auto &[number, worker] : workers_) {
        if (placer.canRun(request, number, worker)
            && (request.eligibility == nullptr
                || request.eligibility->findTicket(number, now_, PreemptionTime) != nullptr)) {
            candidates.push_back(makeCandidate(placer, request, number));
            fittingTasks += candidates.back().fittingTasks;
            maxFittingTasks += candidates.back().maxFittingTasks;
        }
    }
    const std::size_t needed = request.waiting.size();
    if (maxFittingTasks < needed) {
        return std::nullopt;
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
                candidate.free += reservationFor(candidate.preemptible.back().task);
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
