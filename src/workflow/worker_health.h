#pragma once

#include "base/clock.h"
#include "workflow/job.h"

#include <chrono>
#include <cstdint>

namespace yuccawheel::workflow
{

/// Quarantines a worker on which tasks of different jobs fail. After the quarantine the worker is on probation and gets
/// one task at a time; each further failure doubles the next quarantine, up to a limit.
class WorkerHealth
{
public:
    /// Records a failed run, or a start refused because the worker is unhealthy.
    void recordFailure(JobKey job, base::TimePoint now);
    void recordSuccess();
    bool canAccept(base::TimePoint now, std::size_t runningTasks) const;
    bool onProbation() const
    {
        return quarantines_ > 0;
    }

private:
    JobKey lastJob_ = 0;
    std::uint32_t failuresInRow_ = 0;
    std::uint32_t jobsInRow_ = 0; ///< Changes of job among these failures, plus one.
    std::uint32_t quarantines_ = 0;
    base::TimePoint quarantinedUntil_{};
};

} // namespace yuccawheel::workflow
