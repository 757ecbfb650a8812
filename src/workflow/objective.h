#pragma once

#include "base/clock.h"
#include "workflow/run_time_model.h"
#include "workflow/state.h"
#include "workflow/worker_speed.h"

#include <chrono>
#include <compare>
#include <cstdint>

namespace yuccawheel::workflow
{

/// Expected run time of the longest chain of unfinished steps.
std::chrono::milliseconds remainingCriticalPath(const JobRecord &job, const RunTimeModel &runTimes);
/// Expected run time of the longest chain of steps in one occurrence.
std::chrono::milliseconds criticalPath(const JobRecord &job, const RunTimeModel &runTimes);

/// Time from arrival within which a job should complete.
std::chrono::milliseconds objectiveOf(const JobRecord &job, const RunTimeModel &runTimes);

/// CPU time of one occurrence by the caller's estimate, in core-seconds.
double estimatedCoreSeconds(const JobSpec &spec);

/// Returns how much time a job's objective leaves beyond its critical path.
Slack slackOf(const JobRecord &job, const RunTimeModel &runTimes);

/// Order in which ready steps are placed; lower ranks go first.
struct Rank {
    /// Whether a job can still meet its objective.
    enum class Lateness : std::uint8_t {
        OnTime,
        Late, ///< The objective can't be met, but the result is still useful.
        TooLateForUse, ///< Too late to be useful. Accepted jobs are completed nevertheless, after all others.
    };
    Lateness lateness = Lateness::OnTime;
    std::int32_t priority = 0;
    /// Latest start of the remaining critical path that meets the objective; for a gang, the arrival of its job.
    base::TimePoint turn{};
    JobKey job = 0;
    std::size_t position = 0;

    auto operator<=>(const Rank &) const = default; // NOLINT(modernize-use-nullptr): false alarm
};

Rank rankOf(JobKey key,
            const JobRecord &job,
            std::size_t position,
            const RunTimeModel &runTimes,
            base::TimePoint arrivedAt,
            base::TimePoint now);

} // namespace yuccawheel::workflow
