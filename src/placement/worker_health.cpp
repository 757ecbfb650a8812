#include "placement/worker_health.h"

#include <algorithm>

namespace yuccawheel::placement
{

// Consecutive failures of one job that has never succeeded may be the job's own fault, so they count once. Runs on
// workers that have been quarantined tell little about the others, so they don't count as usual.
bool WorkerHealth::recordFailure(JobHandle job, bool jobHasSucceeded, base::UsualFailures &usual, base::TimePoint now)
{
    if (state_ == State::Quarantined) {
        return false;
    }
    if (!jobHasSucceeded && job == lastJob_) {
        return false;
    }
    ++consecutiveFailures_;
    lastJob_ = job;
    failureWeight_ += usual.weightOfFailure();
    if (state_ == State::Healthy) {
        usual.recordFailure();
    }
    if (failureWeight_ < QuarantineWeight) {
        return false;
    }
    state_ = State::Quarantined;
    failureWeight_ = QuarantineWeight - 1; // One failure on probation is enough while failures are rare.
    quarantinedUntil_ = now + nextQuarantine_;
    nextQuarantine_ = std::min<base::Duration>(nextQuarantine_ * 2, MaxQuarantine);
    successes_ = 0;
    return true;
}

void WorkerHealth::recordSuccess(base::UsualFailures &usual)
{
    if (state_ == State::Healthy) {
        usual.recordSuccess();
    }
    consecutiveFailures_ = 0;
    lastJob_ = 0xffffffff;
    failureWeight_ = 0;
    if (state_ == State::Probation) {
        ++successes_;
        endProbationIfDone();
    }
}

bool WorkerHealth::recordLastingTrials(int count)
{
    if (state_ != State::Probation || count <= lastingTrials_) {
        return false;
    }
    lastingTrials_ = count;
    endProbationIfDone();
    return true;
}

void WorkerHealth::endProbationIfDone()
{
    if (successes_ + lastingTrials_ >= ProbationSuccesses) {
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
    lastingTrials_ = 0;
    probationSince_ = now;
    return true;
}

} // namespace yuccawheel::placement
