#pragma once

#include "base/clock.h"
#include "base/usual_failures.h"
#include "workflow/job.h"

#include <chrono>
#include <cstdint>

namespace yuccawheel::workflow
{

/// Quarantines a worker on which tasks of different jobs fail. After the quarantine the worker is on probation and gets
/// one task at a time; each further failure doubles the next quarantine, up to a limit. The more usual failures are on
/// all workers, the more of them it takes.
class WorkerHealth
{
public:
    /// Compares with `usual`, which all workers share and which must outlive this; without it failures count as rare.
    explicit WorkerHealth(base::UsualFailures *usual = nullptr) : usual_(usual)
    {
    }

    /// Records a failed run, or a start refused because the worker is unhealthy.
    /// Returns whether the worker is quarantined for it.
    bool recordFailure(JobKey job, base::TimePoint now);
    void recordSuccess();
    bool canAccept(base::TimePoint now, std::size_t runningTasks) const;
    bool onProbation() const
    {
        return quarantines_ > 0;
    }

private:
    base::UsualFailures *usual_;
    JobKey lastJob_ = 0;
    double failureWeight_ = 0; ///< Of the failures since the last success, as evidence against the worker.
    std::uint32_t jobsInRow_ = 0; ///< Changes of job among these failures, plus one.
    std::uint32_t quarantines_ = 0;
    base::TimePoint quarantinedUntil_{};
};

} // namespace yuccawheel::workflow
