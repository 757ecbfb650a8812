#include "workflow/worker_health.h"

#include <algorithm>

namespace yuccawheel::workflow
{

namespace
{

// Requires failures of two jobs, because a job that fails everywhere must not quarantine every worker it runs on.
constexpr std::uint32_t FailuresToQuarantine = 2;
constexpr std::uint32_t JobsToQuarantine = 2;
constexpr std::chrono::milliseconds FirstQuarantine{2'000};
constexpr std::uint32_t MaxDoublings = 3;

} // namespace

void WorkerHealth::recordFailure(JobKey job, base::TimePoint now)
{
    ++failuresInRow_;
    if (jobsInRow_ == 0 || job != lastJob_) {
        ++jobsInRow_;
        lastJob_ = job;
    }
    if (onProbation() || (failuresInRow_ >= FailuresToQuarantine && jobsInRow_ >= JobsToQuarantine)) {
        quarantinedUntil_ = now + FirstQuarantine * (1U << std::min(quarantines_, MaxDoublings));
        ++quarantines_;
    }
}

void WorkerHealth::recordSuccess()
{
    failuresInRow_ = 0;
    jobsInRow_ = 0;
    quarantines_ = 0;
    quarantinedUntil_ = {};
}

bool WorkerHealth::canAccept(base::TimePoint now, std::size_t runningTasks) const
{
    return now >= quarantinedUntil_ && (!onProbation() || runningTasks == 0);
}

} // namespace yuccawheel::workflow
