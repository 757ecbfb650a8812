#include "workflow/step_placer.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <string_view>

namespace yuccawheel::workflow
{

namespace
{

// Time from the decision until the order reaches the worker: a log commit and a call between availability zones.
constexpr std::chrono::milliseconds TicketMargin{100};
constexpr double SlowThreshold = 1.08; ///< Midpoint between fast and slow workers if a third are slower by a third.
constexpr double VerySlowThreshold = 2; ///< Beyond normal hardware differences; indicates a fault.

} // namespace

placement::Resources reservationOf(const StepSpec &step)
{
    placement::Resources amount = step.perTask;
    if (step.bestEffort) {
        amount.milliCpu = 0;
    }
    return amount;
}

bool StepPlacer::mayFit(const Request &request) const
{
    const StepSpec &step = request.job.specOf(request.position);
    const std::int64_t needed = reservationOf(step).milliCpu;
    if (request.eligibility == nullptr || needed == 0) {
        return true;
    }
    const std::size_t wanted = step.gang ? request.waiting.size() : 1;
    std::size_t fitting = 0;
    for (const auto &[number, ticket] : request.eligibility->eligible()) {
        if (ticket.validUntil >= now_ + TicketMargin) {
            fitting += static_cast<std::size_t>(std::max<std::int64_t>(ledger_.free(number).milliCpu, 0) / needed);
            if (fitting >= wanted) {
                return true;
            }
        }
    }
    return false;
}

std::vector<Assignment> StepPlacer::place(const Request &request) const
{
    std::vector<Candidate> candidates = candidatesFor(request);
    if (!request.job.specOf(request.position).gang) {
        return placeBatch(request, std::move(candidates));
    }
    std::vector<Assignment> assignments = placeGang(request, candidates);
    if (assignments.empty() && mayTryOnProbation(candidates)) {
        // Otherwise, a gang that needs several places on such a worker would depend on other tasks to end its
        // probation.
        Request trial = request;
        trial.trialOfGang = true;
        assignments = placeGang(trial, candidatesFor(trial));
    }
    return assignments;
}

bool StepPlacer::mayTryOnProbation(const std::vector<Candidate> &candidates) const
{
    return std::any_of(candidates.begin(), candidates.end(), [this](const Candidate &candidate) {
        return workers_.at(candidate.worker).health.onProbation();
    });
}

bool StepPlacer::canRun(const Request &request, WorkerNumber number, const WorkerView &worker) const
{
    const StepSpec &step = request.job.specOf(request.position);
    ++cost_.workersExamined;
    return worker.isUsable(now_) && worker.identity.service == request.job.policy.service
        && (step.requiredLabel.empty() || worker.identity.hasLabel(step.requiredLabel))
        && reservationOf(step).fitsIn(ledger_.capacity(number));
}

placement::Resources StepPlacer::availableOn(const Request &request, WorkerNumber number) const
{
    const StepSpec &step = request.job.specOf(request.position);
    const ClaimedCapacityUser user{request.job.policy.priority,
                                   step.isResumable(),
                                   step.longRunning,
                                   request.overdue,
                                   now_ + request.expectedRunTime};
    return ledger_.free(number) - claims_.withheldCapacity(number, user);
}

// A worker that holds less than is reserved takes nothing more, not even a task that asks for none of what it lacks.
std::uint32_t StepPlacer::fittingTasks(const Request &request, WorkerNumber number) const
{
    return ledger_.isExceeded(number) ? 0 : fittingTasksIn(request, number, availableOn(request, number));
}

std::uint32_t
StepPlacer::fittingTasksIn(const Request &request, WorkerNumber number, const placement::Resources &free) const
{
    if (!isolation_.admits(number, request.unit, request.suspicion)) {
        return 0;
    }
    const StepSpec &step = request.job.specOf(request.position);
    const std::int64_t times = reservationOf(step).countFittingIn(free);
    auto tasks = static_cast<std::uint32_t>(std::clamp<std::int64_t>(times, 0, step.count));
    if (step.maxPerWorker > 0) {
        const auto found = request.tasksByWorker.find(number);
        const std::uint32_t placed = found == request.tasksByWorker.end() ? 0 : found->second;
        tasks = std::min(tasks, step.maxPerWorker - std::min(step.maxPerWorker, placed));
    }
    // A worker on probation takes one task at a time, or one gang.
    return workers_.at(number).health.onProbation() && !request.trialOfGang ? std::min(tasks, 1U) : tasks;
}

std::vector<StepPlacer::Candidate> StepPlacer::candidatesFor(const Request &request) const
{
    std::vector<Candidate> candidates;
    const auto addIfFitting = [&](WorkerNumber number) {
        const std::uint32_t tasks = fittingTasks(request, number);
        if (tasks > 0) {
            candidates.push_back({number, tasks, availableOn(request, number).milliCpu});
        }
    };
    if (request.eligibility == nullptr) {
        const std::int64_t needed = reservationOf(request.job.specOf(request.position)).milliCpu;
        index_.visitWithFree(needed, [&](WorkerNumber number) {
            const auto worker = workers_.find(number); // It may be gone since the index was made.
            if (worker != workers_.end() && canRun(request, number, worker->second)) {
                addIfFitting(number);
            }
            return true;
        });
        return candidates;
    }
    forEachEligible(request, TicketMargin, addIfFitting);
    return candidates;
}

std::vector<Assignment> StepPlacer::assignInOrder(std::vector<Candidate> candidates,
                                                  const std::vector<std::uint32_t> &waiting)
{
    std::vector<Assignment> assignments;
    auto candidate = candidates.begin();
    for (const std::uint32_t index : waiting) {
        while (candidate != candidates.end() && candidate->tasks == 0) {
            ++candidate;
        }
        if (candidate == candidates.end()) {
            break;
        }
        assignments.push_back({index, candidate->worker});
        --candidate->tasks;
    }
    return assignments;
}

// Lower ranks go first. Jobs with ample slack leave fast workers to jobs with tight slack, and very slow ones come
// last.
int StepPlacer::speedRank(const Request &request, WorkerNumber number) const
{
    const double slowdown = speeds_.slowdown(number);
    if (slowdown > VerySlowThreshold) {
        return 2;
    }
    const bool slow = slowdown > SlowThreshold;
    return request.slack == Slack::Tight ? (slow ? 1 : 0) : request.slack == Slack::Ample ? (slow ? 0 : 1) : 0;
}

// Prefers the data's rack, then workers of suitable speed, then those with the least free CPU, which leaves emptier
// workers for gangs. A failed task is retried on another worker if possible, and a suspect on the emptiest, where a
// crash costs least.
std::vector<Assignment> StepPlacer::placeBatch(const Request &request, std::vector<Candidate> candidates) const
{
    const StepSpec &step = request.job.specOf(request.position);
    std::sort(candidates.begin(), candidates.end(), [&](const Candidate &left, const Candidate &right) {
        const auto isOffDataRack = [&](const Candidate &candidate) {
            return !step.dataRack.empty() && !workers_.at(candidate.worker).identity.hasLabel(step.dataRack);
        };
        if (request.suspicion != Suspicion::None) {
            return std::tuple(isolation_.hasSuspects(left.worker), right.freeMilliCpu, left.worker)
                < std::tuple(isolation_.hasSuspects(right.worker), left.freeMilliCpu, right.worker);
        }
        return std::tuple(isOffDataRack(left), speedRank(request, left.worker), left.freeMilliCpu, left.worker)
            < std::tuple(isOffDataRack(right), speedRank(request, right.worker), right.freeMilliCpu, right.worker);
    });
    std::vector<Assignment> assignments;
    for (const std::uint32_t index : request.waiting) {
        const TaskRecord &task = request.job.steps[request.position].tasks[index];
        auto candidate = std::find_if(candidates.begin(), candidates.end(), [&task](const Candidate &each) {
            return each.tasks > 0 && (task.failures == 0 || each.worker != task.worker);
        });
        if (candidate == candidates.end()) {
            candidate = std::find_if(
                candidates.begin(), candidates.end(), [](const Candidate &each) { return each.tasks > 0; });
        }
        if (candidate == candidates.end()) {
            break;
        }
        --candidate->tasks;
        assignments.push_back({index, candidate->worker});
    }
    return assignments;
}

// Uses the fewest workers, within a single rack if the gang requests it and fits.
std::vector<Assignment> StepPlacer::placeGang(const Request &request, const std::vector<Candidate> &candidates) const
{
    const auto byFittingTasks = [](const Candidate &left, const Candidate &right) {
        return std::tuple(right.tasks, left.freeMilliCpu, left.worker)
            < std::tuple(left.tasks, right.freeMilliCpu, right.worker);
    };
    const auto totalTasks = [](const std::vector<Candidate> &rackCandidates) {
        return std::accumulate(rackCandidates.begin(),
                               rackCandidates.end(),
                               std::size_t{0},
                               [](std::size_t sum, const Candidate &candidate) { return sum + candidate.tasks; });
    };
    std::vector<Candidate> chosen = candidates;
    if (request.job.specOf(request.position).sameRack) {
        std::map<std::string_view, std::vector<Candidate>> racks;
        for (const Candidate &candidate : candidates) {
            racks[workers_.at(candidate.worker).identity.rack()].push_back(candidate);
        }
        for (const auto &[name, rackCandidates] : racks) {
            if (totalTasks(rackCandidates) >= request.waiting.size()) {
                chosen = rackCandidates;
                break;
            }
        }
    }
    if (totalTasks(chosen) < request.waiting.size()) {
        return {};
    }
    std::sort(chosen.begin(), chosen.end(), byFittingTasks);
    return assignInOrder(std::move(chosen), request.waiting);
}

} // namespace yuccawheel::workflow
