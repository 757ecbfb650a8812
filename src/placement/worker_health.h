#pragma once

#include "base/clock.h"
#include "placement/work_queue.h"

#include <chrono>
#include <cstdint>

namespace yuccawheel::placement
{

/// Judges one worker by how the tasks on it end: quarantine after a few failures in a row, then probation with one
/// task at a time.
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
        return until_;
    }
    /// Counts the failures in a row that speak against the worker.
    int blame() const
    {
        return blame_;
    }
    /// Takes a failure that may be the worker's fault; `proven` says that the job has succeeded elsewhere.
    /// Returns true if the worker is quarantined by it.
    bool failed(JobHandle job, bool proven, base::TimePoint now);
    void succeeded();
    /// Lets a quarantine end in probation when its time is over. Returns true if it did.
    bool expire(base::TimePoint now);
    /// Says whether a failure here says little about the task.
    bool suspect() const
    {
        return state_ != State::Healthy || blame_ >= SuspectBlame;
    }
    bool allowsMoreThan(std::size_t tasks) const
    {
        return state_ == State::Healthy ? true : state_ == State::Probation && tasks == 0;
    }

private:
    static constexpr int QuarantineBlame = 3;
    static constexpr int SuspectBlame = 2;
    static constexpr int ProbationSuccesses = 2;
    static constexpr std::chrono::seconds FirstQuarantine{60};
    static constexpr std::chrono::seconds LongestQuarantine{3600};

    State state_ = State::Healthy;
    int blame_ = 0;
    int successes_ = 0; ///< In this probation.
    JobHandle lastJob_ = 0xffffffff;
    base::TimePoint until_;
    base::Duration period_ = FirstQuarantine;
};

} // namespace yuccawheel::placement
