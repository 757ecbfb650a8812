#pragma once

#include "base/clock.h"
#include "base/usual_failures.h"
#include "workflow/job.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

namespace yuccawheel::workflow
{

/// Quarantines a worker on which tasks of different jobs fail. After the quarantine the worker is on probation: it gets
/// one trial, a task or a gang, at a time, until one succeeds or has been at work for longer than those that failed.
/// Each further failure doubles the next quarantine, up to a limit. The more usual failures are on all workers, and
/// those of a job elsewhere, the more of them it takes.
class WorkerHealth
{
public:
    /// Returns the weight of a job's failures as evidence against this worker, from 0 to 1, by how the job does on
    /// others.
    using WeightOfJob = std::function<double(JobKey)>;

    /// Compares with `usual`, which all workers share and which must outlive this; without it failures count as rare.
    explicit WorkerHealth(base::UsualFailures *usual = nullptr) : usual_(usual)
    {
    }

    /// Records a run that failed after `ran`, or a start refused because the worker is unhealthy. Returns whether the
    /// worker is quarantined for it.
    bool recordFailure(JobKey job, std::chrono::milliseconds ran, const WeightOfJob &weightOfJob, base::TimePoint now);
    void recordSuccess();
    /// Records that a run which was ordered at `orderedAt` has been at work for `atWork` and goes on. Returns whether
    /// that is as good as a success.
    bool recordAtWork(base::TimePoint orderedAt, std::chrono::milliseconds atWork);
    /// Returns whether there is anything against the worker.
    bool isSuspect() const
    {
        return lastFailure_ != base::TimePoint{};
    }
    bool isQuarantined(base::TimePoint now) const
    {
        return now < quarantinedUntil_;
    }
    bool onProbation() const
    {
        return quarantines_ > 0;
    }
    bool canAccept(base::TimePoint now) const
    {
        return !isQuarantined(now) && trials_ == 0;
    }

    using TrialRound = std::uint32_t; ///< 0 if the task is no trial.
    /// Notes that a task was placed. Returns the round of trials that it belongs to.
    TrialRound addTask();
    /// Notes that a trial has ended, or has been at work for long enough for the next one. Rounds that are over are
    /// ignored.
    void endTrial(TrialRound round);
    /// From this time at work on, a trial doesn't keep the next one from being started. A worker whose tasks fail
    /// later than that still gets few before the first of them does.
    static constexpr std::chrono::milliseconds TrialTime{1'000};

private:
    void startRound();

    struct Failure {
        JobKey job = 0;
        double weight = 0; ///< By how usual failures were on all workers.
    };

    base::UsualFailures *usual_;
    std::vector<Failure> failures_; ///< Since the last success or quarantine.
    std::chrono::milliseconds longestFailedRun_{0}; ///< Since the last success.
    base::TimePoint lastFailure_{};
    std::uint32_t quarantines_ = 0;
    base::TimePoint quarantinedUntil_{};
    TrialRound round_ = 0; ///< Rises with each quarantine and each success.
    std::uint32_t trials_ = 0; ///< Of this round.
};

} // namespace yuccawheel::workflow
