#pragma once

#include "base/clock.h"
#include "workflow/job.h"

#include <chrono>
#include <cstdint>

namespace yuccawheel::workflow
{

/// Keeps tasks away from a worker that fails what it is given, whatever job it comes from. After a while one task at a
/// time is tried there; each further failure doubles the wait.
class WorkerHealth
{
public:
    /// A run ended as failed, or was refused because the worker is unhealthy.
    void failed(JobKey job, base::TimePoint now);
    void succeeded();
    bool accepts(base::TimePoint now, std::size_t tasksThere) const;
    bool onProbation() const
    {
        return strikes_ > 0;
    }

private:
    JobKey lastJob_ = 0;
    std::uint32_t failuresInRow_ = 0;
    std::uint32_t jobsInRow_ = 0; ///< Different jobs among them, as far as they alternate.
    std::uint32_t strikes_ = 0;
    base::TimePoint quarantinedUntil_{};
};

} // namespace yuccawheel::workflow
