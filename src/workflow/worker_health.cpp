#include "workflow/worker_health.h"

#include <algorithm>

namespace yuccawheel::workflow
{

namespace
{

// A job that fails everywhere must not condemn the workers that it visits, so failures of two jobs are needed.
constexpr std::uint32_t FailuresToQuarantine = 2;
constexpr std::uint32_t JobsToQuarantine = 2;
constexpr std::chrono::milliseconds FirstQuarantine{2'000};
constexpr std::uint32_t MostDoublings = 3;

} // namespace

void WorkerHealth::failed(JobKey job, base::TimePoint now)
{
    ++failuresInRow_;
    if (jobsInRow_ == 0 || job != lastJob_) {
        ++jobsInRow_;
        lastJob_ = job;
    }
    if (onProbation() || (failuresInRow_ >= FailuresToQuarantine && jobsInRow_ >= JobsToQuarantine)) {
        quarantinedUntil_ = now + FirstQuarantine * (1U << std::min(strikes_, MostDoublings));
        ++strikes_;
    }
}

void WorkerHealth::succeeded()
{
    failuresInRow_ = 0;
    jobsInRow_ = 0;
    strikes_ = 0;
    quarantinedUntil_ = {};
}

bool WorkerHealth::accepts(base::TimePoint now, std::size_t tasksThere) const
{
    return now >= quarantinedUntil_ && (!onProbation() || tasksThere == 0);
}

} // namespace yuccawheel::workflow
