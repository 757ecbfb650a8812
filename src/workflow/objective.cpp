#include "workflow/objective.h"

#include <algorithm>
#include <vector>

namespace yuccawheel::workflow
{

namespace
{

constexpr int MaxUsefulLateness = 3; ///< Multiple of the objective within which a late result is still useful.
/// Keeps points in time that follow from a job's estimates within the range of the clock.
constexpr std::chrono::milliseconds MaxLength = std::chrono::hours(24 * 365 * 10);

// Steps depend on earlier steps only, so a single pass in order suffices.
template <typename Length>
std::chrono::milliseconds longestPath(const std::vector<StepSpec> &steps, Length length)
{
    std::vector<std::chrono::milliseconds> ends(steps.size());
    std::chrono::milliseconds longest{0};
    for (std::size_t step = 0; step < steps.size(); ++step) {
        std::chrono::milliseconds begin{0};
        for (const std::uint32_t earlier : steps[step].after) {
            begin = std::max(begin, ends[earlier]);
        }
        ends[step] = begin + length(step);
        longest = std::max(longest, ends[step]);
    }
    return std::min(longest, MaxLength);
}

} // namespace

std::chrono::milliseconds criticalPath(const JobRecord &job, const RunTimeModel &runTimes)
{
    return longestPath(job.spec.steps, [&](std::size_t step) {
        return runTimes.expectedRunTime(job.policy.queue, job.spec.steps[step].estimatedRunTime);
    });
}

std::chrono::milliseconds remainingCriticalPath(const JobRecord &job, const RunTimeModel &runTimes)
{
    return longestPath(job.spec.steps, [&](std::size_t step) {
        return job.steps[step].isFinished()
            ? std::chrono::milliseconds{0}
            : runTimes.expectedRunTime(job.policy.queue, job.spec.steps[step].estimatedRunTime);
    });
}

std::chrono::milliseconds objectiveOf(const JobRecord &job, const RunTimeModel &runTimes)
{
    const auto pathLength = static_cast<double>(criticalPath(job, runTimes).count());
    const double stretched = std::min(pathLength * job.policy.stretch, static_cast<double>(MaxLength.count()));
    return std::min(std::chrono::milliseconds(static_cast<std::int64_t>(stretched)) + job.policy.target, MaxLength);
}

double estimatedCoreSeconds(const JobSpec &spec)
{
    double work = 0;
    for (const StepSpec &step : spec.steps) {
        const double seconds = std::chrono::duration<double>(step.estimatedRunTime).count();
        work += step.count * seconds * static_cast<double>(step.perTask.milliCpu) / 1'000;
    }
    return work;
}

// A slow worker takes about a third longer. If the objective leaves less than the critical path itself, that third uses
// up most of the time that remains after communication delays.
Slack slackOf(const JobRecord &job, const RunTimeModel &runTimes)
{
    const auto pathLength = criticalPath(job, runTimes);
    const auto spare = objectiveOf(job, runTimes) - pathLength;
    return spare < pathLength ? Slack::Tight : spare > 2 * pathLength ? Slack::Ample : Slack::Moderate;
}

Rank rankOf(JobKey key,
            const JobRecord &job,
            std::size_t position,
            const RunTimeModel &runTimes,
            base::TimePoint arrivedAt,
            base::TimePoint now)
{
    const auto objective = objectiveOf(job, runTimes);
    const auto remaining = remainingCriticalPath(job, runTimes);
    Rank rank;
    rank.priority = job.policy.priority;
    const base::TimePoint startBy = arrivedAt + objective - remaining;
    // A gang collects capacity over time, a large one the longest. Gangs with less slack that overtake it would take
    // what it has collected.
    rank.turn = job.specOf(position).gang ? arrivedAt : startBy;
    rank.job = key;
    rank.position = position;
    if (now > startBy) {
        rank.lateness = now > arrivedAt + MaxUsefulLateness * objective - remaining ? Rank::Lateness::TooLateForUse
                                                                                    : Rank::Lateness::Late;
    }
    return rank;
}

} // namespace yuccawheel::workflow
