#include "workflow/preemption_planner.h"

#include <algorithm>

namespace yuccawheel::workflow
{

namespace
{

constexpr std::uint32_t MaxRuns = 3; ///< From this run on, a task is no longer preempted, so that it makes progress.
// A worker needs up to 400 ms to stop a task; then its end and the new start must be committed.
constexpr std::chrono::milliseconds PreemptionTime{600};
// Capacity that is free when a gang has been claiming for longer is not put down to what the gang collects.
constexpr std::chrono::seconds CollectionTime{10};
constexpr std::chrono::seconds MaxYieldTime{60}; ///< Overdue tasks may delay a gang for this long.

} // namespace

void PreemptionPlanner::ClaimHistory::note(base::TimePoint start, bool isMostCapacityFree, base::TimePoint now)
{
    if (since == base::TimePoint{}) {
        since = now;
        wasMostCapacityFree = isMostCapacityFree;
    }
    if (firstExpectedStart == base::TimePoint{} && start != base::TimePoint::max()) {
        firstExpectedStart = start;
    }
}

bool PreemptionPlanner::ClaimHistory::isOnSchedule(base::TimePoint now) const
{
    return firstExpectedStart == base::TimePoint{} || now < firstExpectedStart;
}

// A gang that begins to claim under load makes capacity free by collecting it, which must not end its claim.
bool PreemptionPlanner::ClaimHistory::isRelaxed(bool isMostCapacityFree, base::TimePoint now) const
{
    return isMostCapacityFree && (wasMostCapacityFree || now - since >= CollectionTime);
}

bool PreemptionPlanner::ClaimHistory::yieldsToOverdue(bool isMostCapacityFree, base::TimePoint now) const
{
    return isRelaxed(isMostCapacityFree, now) && now - since < MaxYieldTime;
}

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

base::TimePoint PreemptionPlanner::expectedEnd(const LiveRun &run, base::TimePoint now)
{
    if (run.stage == LiveRun::Stage::Stopping || run.stage == LiveRun::Stage::ReleaseProposed
        || run.stage == LiveRun::Stage::EndProposed) {
        return now;
    }
    if (run.longRunning) {
        return base::TimePoint::max();
    }
    const base::TimePoint startedAt = run.runningSince == base::TimePoint{} ? now : run.runningSince;
    const base::TimePoint planned = startedAt + run.expectedRunTime;
    // A run that takes longer than expected is likely to take half of its elapsed time again.
    return planned > now ? planned : now + (now - startedAt) / 2;
}

const std::vector<PreemptionPlanner::ExpectedEnd> &PreemptionPlanner::endsOn(WorkerNumber number,
                                                                             base::TimePoint now) const
{
    const auto [found, added] = ends_.try_emplace(number);
    std::vector<ExpectedEnd> &ends = found->second;
    if (!added) {
        return ends;
    }
    placement::Resources uncommitted = ledger_.reserved(number);
    for (const auto &[task, run] : workers_.at(number).runs) {
        uncommitted -= run.reserved;
        ends.push_back({expectedEnd(run, now), run.reserved, &run});
    }
    std::sort(
        ends.begin(), ends.end(), [](const ExpectedEnd &left, const ExpectedEnd &right) { return left.at < right.at; });
    if (!uncommitted.isZero()) {
        const auto afterAll = std::find_if(
            ends.begin(), ends.end(), [](const ExpectedEnd &end) { return end.at == base::TimePoint::max(); });
        ends.insert(afterAll, {afterAll == ends.begin() ? now : std::prev(afterAll)->at, uncommitted, nullptr});
    }
    return ends;
}

PreemptionPlanner::Collector PreemptionPlanner::makeCollector(const StepPlacer &placer,
                                                              const StepPlacer::Request &request,
                                                              const CapacityClaims &claims,
                                                              WorkerNumber number,
                                                              base::TimePoint now) const
{
    Collector collector;
    collector.worker = number;
    collector.available = placer.availableOn(request, number);
    const std::int32_t priority = request.job.policy.priority;
    placement::Resources room = ledger_.free(number) - claims.reservedCapacity(number);
    room += request.mayPreempt ? preemptibleCapacity(number, priority) : placement::Resources{};
    const auto addOpenings = [&](base::TimePoint at) {
        const std::uint32_t tasks = placer.fittingTasksIn(request, number, room);
        collector.openings.resize(std::max<std::size_t>(collector.openings.size(), tasks), at);
    };
    addOpenings(now);
    placement::Resources lasting;
    for (const ExpectedEnd &end : endsOn(number, now)) {
        if (end.at == base::TimePoint::max()) {
            lasting += end.amount;
        } else if (!request.mayPreempt || end.run == nullptr || !isPreemptible(*end.run, priority)) {
            room += end.amount;
            addOpenings(end.at);
        }
    }
    // What other gangs are to get first becomes free as well, at a time that nothing tells yet.
    room = ledger_.capacity(number) - lasting;
    addOpenings(base::TimePoint::max());
    return collector;
}

// Tasks that were started beside the claim don't count, since their ends must not make room for more of them: if run
// times can't be predicted, the gang would be overtaken for ever.
PreemptionPlanner::OlderRuns PreemptionPlanner::olderRuns(const StepPlacer::Request &request,
                                                          WorkerNumber number,
                                                          base::TimePoint since,
                                                          base::TimePoint endingBy,
                                                          base::TimePoint now) const
{
    OlderRuns older;
    for (const ExpectedEnd &end : endsOn(number, now)) {
        const bool isOlder = end.run != nullptr && end.run->orderedAt < since;
        if (!isOlder || end.at > endingBy || end.at == base::TimePoint::max()) {
            continue;
        }
        older.lastEnd = end.at;
        if (!request.mayPreempt || !isPreemptible(*end.run, request.job.policy.priority)) {
            older.amount += end.amount;
        }
    }
    return older;
}

bool PreemptionPlanner::claimCapacity(const StepPlacer &placer,
                                      const StepPlacer::Request &request,
                                      ClaimHistory &history,
                                      CapacityClaims &claims,
                                      base::TimePoint now)
{
    const std::string &service = request.job.policy.service;
    const placement::Resources amount = reservationOf(request.job.specOf(request.position));
    const auto needed = static_cast<std::uint32_t>(request.waiting.size());
    std::vector<Collector> collectors;
    std::size_t possible = 0;
    std::size_t possibleIfEmpty = 0;
    placer.forEachEligible(request, std::nullopt, [&](WorkerNumber number) {
        collectors.push_back(makeCollector(placer, request, claims, number, now));
        possible += collectors.back().openings.size();
        possibleIfEmpty += placer.fittingTasksIn(request, number, ledger_.capacity(number));
    });
    if (possible < needed) {
        return possibleIfEmpty < needed;
    }
    if (!claims.askAdmission(service, amount * needed)) {
        return true;
    }
    claims.admit(service, amount * needed);
    // The earliest openings, on workers that can give many.
    std::sort(collectors.begin(), collectors.end(), [now](const Collector &left, const Collector &right) {
        return std::tuple(right.tasksBy(now), right.available.milliCpu, left.worker)
            < std::tuple(left.tasksBy(now), left.available.milliCpu, right.worker);
    });
    std::vector<std::pair<base::TimePoint, std::size_t>> openings; // Time and index of the collector.
    for (std::size_t index = 0; index < collectors.size(); ++index) {
        for (const base::TimePoint at : collectors[index].openings) {
            openings.emplace_back(at, index);
        }
    }
    std::nth_element(openings.begin(), openings.begin() + (needed - 1), openings.end());
    openings.resize(needed);
    const base::TimePoint start = std::max_element(openings.begin(), openings.end())->first;
    const bool isMostCapacityFree = claims.isMostCapacityFree(service);
    history.note(start, isMostCapacityFree, now);
    struct Share {
        std::uint32_t tasks = 0;
        OlderRuns older;
    };
    std::map<std::size_t, Share> shares; // By index of the collector.
    for (const auto &[at, index] : openings) {
        ++shares[index].tasks;
    }
    base::TimePoint lastOlderEnd{};
    for (auto &[index, share] : shares) {
        share.older = olderRuns(request, collectors[index].worker, history.since, start, now);
        lastOlderEnd = std::max(lastOlderEnd, share.older.lastEnd);
    }
    const base::TimePoint backfillUntil = history.isOnSchedule(now) ? start
        : history.isRelaxed(isMostCapacityFree, now)                ? lastOlderEnd
                                                                    : base::TimePoint{};
    for (const auto &[index, share] : shares) {
        const Collector &collector = collectors[index];
        const placement::Resources wanted = amount * share.tasks;
        const placement::Resources free = placement::elementwiseMax(collector.available, {});
        placement::Resources &promised = promisedEnds_[collector.worker];
        const placement::Resources ending =
            placement::elementwiseMin(placement::elementwiseMax(share.older.amount - promised, {}), wanted);
        promised += ending;
        const placement::Resources claimed = placement::elementwiseMin(wanted - ending, free);
        CapacityClaims::Claim claim;
        claim.amount = claimed;
        claim.reserved = wanted;
        claim.priority = request.job.policy.priority;
        claim.backfillUntil = backfillUntil;
        claim.yieldsToOverdue = history.yieldsToOverdue(isMostCapacityFree, now);
        claims.claim(collector.worker, claim);
        claimedPreemptible_[collector.worker] += wanted - ending - claimed;
    }
    return true;
}

void PreemptionPlanner::forgetWorker(WorkerNumber number)
{
    for (auto &[priority, byWorker] : preemptible_) {
        byWorker.erase(number);
    }
    ends_.erase(number);
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
