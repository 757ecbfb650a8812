#pragma once

#include "base/clock.h"

#include <chrono>
#include <optional>

namespace yuccawheel::workflow
{

/// Relates a worker's own clock to this process's, and knows until when its lease may run at most.
/// Lease times are readings of the worker's clock, in milliseconds.
class WorkerLease
{
public:
    /// The worker read `clock` at some time up to `now`.
    void observe(std::chrono::milliseconds clock, base::TimePoint now);
    /// Returns whether the life of the worker that was observed can read `clock` now.
    bool isPlausible(std::chrono::milliseconds clock, base::TimePoint now) const;
    /// Returns the reading to ask for so that the lease lasts `length` from now; nothing before the first observation.
    std::optional<std::chrono::milliseconds> extension(std::chrono::milliseconds length, base::TimePoint now) const;
    /// A call that may extend the lease to `until` is being sent.
    void granted(std::chrono::milliseconds until);
    /// Somebody else may have extended the lease to some reading that is over by `time`.
    void mayLastUntil(base::TimePoint time);
    /// Returns the time from which the lease has surely run out.
    base::TimePoint surelyOverAt() const
    {
        return surelyOverAt_;
    }

private:
    std::optional<std::chrono::milliseconds> clock_;
    base::TimePoint observedAt_;
    base::TimePoint surelyOverAt_{};
};

/// Time on this process's clock in which a worker's clock surely advances by `length`.
std::chrono::milliseconds surelyElapsed(std::chrono::milliseconds length);

} // namespace yuccawheel::workflow
