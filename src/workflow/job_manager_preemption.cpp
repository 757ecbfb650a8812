#include "base/log.h"
#include "workflow/job_manager.h"

#include <algorithm>

namespace yuccawheel::workflow
{

namespace
{

// A task that was stopped needs that long to come back: the stop, the news of it, a new ticket, and what was not saved.
constexpr std::chrono::milliseconds CostOfStop{2'500};
constexpr std::chrono::milliseconds PreemptionInterval{1'500}; ///< Room that was made is free and in use by then.

} // namespace

// Tasks of less urgent jobs that are saved from time to time, and whose jobs will be on time all the same.
std::vector<Victim> JobManager::victimsOn(const WorkerView &worker, std::int32_t priority, base::TimePoint now) const
{
    std::vector<Victim> victims;
    for (const auto &[task, run] : worker.runs) {
        const JobRecord *const job = state_->findJob(task.job);
        if (job == nullptr || run.stage != LiveRun::Stage::Present || job->policy.priority <= priority) {
            continue;
        }
        const StepSpec &step = job->spec.steps[task.step];
        const std::size_t position = job->positionOf(task.occurrence, task.step);
        const Rank rank = rankOf(task.job, *job, position, arrivals_.at(task.job), now + CostOfStop);
        if (step.checkpointing && !step.gang && !step.lasting && rank.hope == Rank::Hope::OnTime) {
            victims.push_back({task, run.run, reservationOf(step)});
        }
    }
    return victims;
}

void JobManager::preemptFor(const StepPlacer &placer,
                            const StepPlacer::Request &request,
                            StepKey key,
                            StepRun &step,
                            base::TimePoint now)
{
    if (now < step.nextPreemption) {
        return;
    }
    const placement::Resources amount = reservationOf(request.job.specOf(request.position));
    std::vector<Crowded> crowded;
    for (const auto &[number, worker] : workers_) {
        const bool may = request.eligibility == nullptr || request.eligibility->isGood(number);
        if (!may || !placer.suits(request, number, worker) || !placer.freeOn(number).nonNegative()) {
            continue;
        }
        const auto most = std::clamp<std::int64_t>(
            amount.timesIn(ledger_.capacity(number)), 0, static_cast<std::int64_t>(request.waiting.size()));
        crowded.push_back({number,
                           placer.freeOn(number),
                           static_cast<std::uint32_t>(most),
                           victimsOn(worker, request.job.policy.priority, now)});
    }
    const RoomPlan plan = makeRoom(std::move(crowded), amount, request.waiting.size());
    if (plan.stops.empty()) {
        return;
    }
    step.nextPreemption = now + PreemptionInterval;
    for (const auto &[number, victim] : plan.stops) {
        base::logInfo("task_preempted")
            .with("task", toString(victim.task))
            .with("run", victim.run)
            .with("worker", workers_.at(number).identity.id)
            .with("for", toString(key.job));
        LiveRun &run = *findRun(number, victim.task, victim.run);
        stopRun(workers_.at(number), run, now);
        reviewRun(number, workers_.at(number), victim.task, run, now);
    }
    // Tickets are renewed while the tasks stop.
    if (request.eligibility != nullptr && !step.asking) {
        ask(request, key, step, plan.workers, now);
    }
}

} // namespace yuccawheel::workflow
