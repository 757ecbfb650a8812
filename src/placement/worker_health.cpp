#include "placement/worker_health.h"

#include <algorithm>

namespace yuccawheel::placement
{

// Failures in a row of one job that has succeeded nowhere may be that job's own fault and count once.
bool WorkerHealth::failed(JobHandle job, bool proven, base::TimePoint now)
{
    if (state_ == State::Quarantined) {
        return false;
    }
    if (!proven && job == lastJob_) {
        return false;
    }
    ++blame_;
    lastJob_ = job;
    if (state_ == State::Healthy && blame_ < QuarantineBlame) {
        return false;
    }
    state_ = State::Quarantined;
    until_ = now + period_;
    period_ = std::min<base::Duration>(period_ * 2, LongestQuarantine);
    successes_ = 0;
    return true;
}

void WorkerHealth::succeeded()
{
    blame_ = 0;
    lastJob_ = 0xffffffff;
    if (state_ == State::Probation && ++successes_ >= ProbationSuccesses) {
        state_ = State::Healthy;
        period_ = FirstQuarantine;
    }
}

bool WorkerHealth::expire(base::TimePoint now)
{
    if (state_ != State::Quarantined || now < until_) {
        return false;
    }
    state_ = State::Probation;
    successes_ = 0;
    return true;
}

} // namespace yuccawheel::placement
