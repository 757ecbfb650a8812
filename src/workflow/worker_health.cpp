#include "workflow/worker_health.h"

#include <algorithm>

namespace yuccawheel::workflow
{

namespace
{

constexpr double WeightToQuarantine = 2; ///< Failures that it takes while they are rare.
// Requires failures of two jobs, because a job that fails everywhere must not quarantine every worker it runs on.
constexpr std::uint32_t JobsToQuarantine = 2;
constexpr std::chrono::milliseconds FirstQuarantine{2'000};
constexpr std::uint32_t MaxDoublings = 3;

} // namespace

// Runs on workers that have been quarantined tell little about the others, so they don't count as usual.
bool WorkerHealth::recordFailure(JobKey job, base::TimePoint now)
{
    failureWeight_ += usual_ == nullptr ? 1 : usual_->weightOfFailure();
    if (usual_ != nullptr && !onProbation()) {
        usual_->recordFailure();
    }
    if (jobsInRow_ == 0 || job != lastJob_) {
        ++jobsInRow_;
        lastJob_ = job;
    }
    if (failureWeight_ < WeightToQuarantine || jobsInRow_ < JobsToQuarantine) {
        return false;
    }
    failureWeight_ = WeightToQuarantine - 1; // One failure on probation is enough while failures are rare.
    quarantinedUntil_ = now + FirstQuarantine * (1U << std::min(quarantines_, MaxDoublings));
    ++quarantines_;
    return true;
}

void WorkerHealth::recordSuccess()
{
    if (usual_ != nullptr && !onProbation()) {
        usual_->recordSuccess();
    }
    failureWeight_ = 0;
    jobsInRow_ = 0;
    quarantines_ = 0;
    quarantinedUntil_ = {};
}

bool WorkerHealth::canAccept(base::TimePoint now, std::size_t runningTasks) const
{
    return now >= quarantinedUntil_ && (!onProbation() || runningTasks == 0);
}

} // namespace yuccawheel::workflow
