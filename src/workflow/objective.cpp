#include "workflow/objective.h"

#include <algorithm>
#include <vector>

namespace yuccawheel::workflow
{

namespace
{

constexpr int LateFactor = 3; ///< A job completed within three times its objective is of some use.

// Steps name earlier ones only, so one pass in their order is enough.
template <typename Length>
std::chrono::milliseconds longestChain(const std::vector<StepSpec> &steps, Length length)
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
    return longest;
}

} // namespace

std::chrono::milliseconds wholeChain(const JobSpec &spec)
{
    return longestChain(spec.steps, [&spec](std::size_t step) { return spec.steps[step].estimatedRunTime; });
}

std::chrono::milliseconds remainingChain(const JobRecord &job)
{
    return longestChain(job.spec.steps, [&job](std::size_t step) {
        return job.steps[step].finished() ? std::chrono::milliseconds{0} : job.spec.steps[step].estimatedRunTime;
    });
}

std::chrono::milliseconds objectiveOf(const JobRecord &job)
{
    const auto chain = static_cast<double>(wholeChain(job.spec).count());
    return std::chrono::milliseconds(static_cast<std::int64_t>(chain * job.policy.stretch)) + job.policy.target;
}

double workOf(const JobSpec &spec)
{
    double work = 0;
    for (const StepSpec &step : spec.steps) {
        const double seconds = std::chrono::duration<double>(step.estimatedRunTime).count();
        work += step.count * seconds * static_cast<double>(step.perTask.milliCpu) / 1'000;
    }
    return work;
}

// A slow worker takes about a third longer. Where the objective leaves less than the chain's own length, that is most
// of what is left after the way there and back.
Hurry hurryOf(const JobRecord &job)
{
    const auto chain = wholeChain(job.spec);
    const auto spare = objectiveOf(job) - chain;
    return spare < chain ? Hurry::Much : spare > 2 * chain ? Hurry::None : Hurry::Some;
}

Rank rankOf(JobKey key, const JobRecord &job, std::size_t position, base::TimePoint arrivedAt, base::TimePoint now)
{
    const auto objective = objectiveOf(job);
    const auto remaining = remainingChain(job);
    Rank rank;
    rank.priority = job.policy.priority;
    rank.startBy = arrivedAt + objective - remaining;
    rank.job = key;
    rank.position = position;
    if (now > rank.startBy) {
        rank.hope = now > arrivedAt + LateFactor * objective - remaining ? Rank::Hope::Hopeless : Rank::Hope::Late;
    }
    return rank;
}

} // namespace yuccawheel::workflow
