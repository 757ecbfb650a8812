#include "placement/worker_health.h"

#include <algorithm>

namespace yuccawheel::placement
{

// Consecutive failures of one job that has never succeeded may be the job's own fault, so they count once.
bool WorkerHealth::recordFailure(JobHandle job, bool jobHasSucceeded, base::TimePoint now)
{
    if (state_ == State::Quarantined) {
        return false;
    }
    if (!jobHasSucceeded && job == lastJob_) {
        return false;
    }
    ++consecutiveFailures_;
    lastJob_ = job;
    if (state_ == State::Healthy && consecutiveFailures_ < QuarantineFailures) {
        return false;
    }
    state_ = State::Quarantined;
    quarantinedUntil_ = now + nextQuarantine_;
    nextQuarantine_ = std::min<base::Duration>(nextQuarantine_ * 2, MaxQuarantine);
    successes_ = 0;
    return true;
}

void WorkerHealth::recordSuccess()
{
    consecutiveFailures_ = 0;
    lastJob_ = 0xffffffff;
    if (state_ == State::Probation && ++successes_ >= ProbationSuccesses) {
        state_ = State::Healthy;
        nextQuarantine_ = InitialQuarantine;
    }
}

bool WorkerHealth::expire(base::TimePoint now)
{
    if (state_ != State::Quarantined || now < quarantinedUntil_) {
        return false;
    }
    state_ = State::Probation;
    successes_ = 0;
    return true;
}

} // namespace yuccawheel::placement
