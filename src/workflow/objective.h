#pragma once

#include "base/clock.h"
#include "workflow/pace.h"
#include "workflow/state.h"

#include <chrono>
#include <compare>
#include <cstdint>

namespace yuccawheel::workflow
{

/// Estimated time of the longest chain of a job's steps that are not finished.
std::chrono::milliseconds remainingChain(const JobRecord &job);
/// The same over all steps of one occurrence.
std::chrono::milliseconds wholeChain(const JobSpec &spec);

/// Time within which a job should complete, counted from its arrival.
std::chrono::milliseconds objectiveOf(const JobRecord &job);

/// Processor time of a job's tasks by the caller's estimate, in core-seconds.
double workOf(const JobSpec &spec);

/// Returns how much of a job's objective its work leaves.
Hurry hurryOf(const JobRecord &job);

/// Order in which waiting steps are given room; lower goes first.
struct Rank {
    /// What a job can still reach.
    enum class Hope : std::uint8_t {
        OnTime,
        Late, ///< It can still be of some use.
        Hopeless, ///< It has been accepted, so it is finished, but after all others.
    };
    Hope hope = Hope::OnTime;
    std::int32_t priority = 0;
    base::TimePoint startBy{}; ///< When its remaining chain has to start for the objective to hold.
    JobKey job = 0;
    std::size_t position = 0;

    auto operator<=>(const Rank &) const = default; // NOLINT(modernize-use-nullptr): false alarm
};

Rank rankOf(JobKey key, const JobRecord &job, std::size_t position, base::TimePoint arrivedAt, base::TimePoint now);

} // namespace yuccawheel::workflow
