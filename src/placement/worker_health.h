#pragma once

#include "base/clock.h"
#include "base/usual_failures.h"
#include "placement/work_queue.h"

#include <chrono>
#include <cstdint>

namespace yuccawheel::placement
{

/// Health of one worker, judged by how its tasks end: quarantine after several consecutive failures, then probation
/// with one trial at a time until some succeed or outlast the trial time. The more usual failures are on all workers,
/// the more of them it takes.
class WorkerHealth
{
public:
    enum class State : std::uint8_t { Healthy, Quarantined, Probation };

    State state() const
    {
        return state_;
    }
    base::TimePoint quarantinedUntil() const
    {
        return quarantinedUntil_;
    }
    /// Returns the number of consecutive failures that count against the worker.
    int consecutiveFailures() const
    {
        return consecutiveFailures_;
    }
    /// Records a failure that may be the worker's fault; `jobHasSucceeded` means that tasks of the job have succeeded.
    /// Returns true if the failure quarantines the worker.
    bool recordFailure(JobHandle job, bool jobHasSucceeded, base::UsualFailures &usual, base::TimePoint now);
    void recordSuccess(base::UsualFailures &usual);
    /// Changes an expired quarantine to probation. Returns true if it did.
    bool expire(base::TimePoint now);
    /// Returns whether a failure on this worker is probably not the task's fault.
    bool isSuspect() const
    {
        return state_ != State::Healthy || consecutiveFailures_ >= SuspectFailures;
    }
    /// Returns whether a task that was started at this time, on probation, is a trial.
    bool isTrial(base::TimePoint startedAt) const
    {
        return state_ == State::Probation && startedAt >= probationSince_;
    }
    /// Records how many trials have outlasted the trial time and go on. Returns whether there are more than before;
    /// they count as successes.
    bool recordLastingTrials(int count);
    static constexpr std::chrono::seconds TrialTime{60};

private:
    void endProbationIfDone();

    static constexpr double QuarantineWeight = 3; ///< Failures that quarantine a worker while failures are rare.
    static constexpr int SuspectFailures = 2;
    static constexpr int ProbationSuccesses = 2;
    static constexpr std::chrono::seconds InitialQuarantine{60};
    static constexpr std::chrono::seconds MaxQuarantine{3600};

    State state_ = State::Healthy;
    int consecutiveFailures_ = 0;
    double failureWeight_ = 0; ///< Of the consecutive failures, as evidence against the worker.
    int successes_ = 0; ///< During this probation.
    int lastingTrials_ = 0; ///< Trials of this probation that have outlasted the trial time.
    base::TimePoint probationSince_;
    JobHandle lastJob_ = 0xffffffff;
    base::TimePoint quarantinedUntil_;
    base::Duration nextQuarantine_ = InitialQuarantine;
};

} // namespace yuccawheel::placement
