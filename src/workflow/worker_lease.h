#pragma once

#include "base/clock.h"

#include <chrono>
#include <optional>

namespace yuccawheel::workflow
{

/// Relates a worker's clock to the local clock and tracks an upper bound for the expiry of the worker's lease.
/// Lease times are readings of the worker's clock in milliseconds.
class WorkerLease
{
public:
    /// Records that the worker's clock read `clock` at some time not later than `now`.
    void observeClock(std::chrono::milliseconds clock, base::TimePoint now);
    /// Returns whether a clock reading is known, without which no lease can be granted.
    bool isClockKnown() const
    {
        return clock_.has_value();
    }
    /// Returns whether `clock` is a possible reading of the observed incarnation at `now`.
    bool isPlausible(std::chrono::milliseconds clock, base::TimePoint now) const;
    /// Returns the expected clock reading `length` after `now`, or nothing before the first observation.
    std::optional<std::chrono::milliseconds> readingAfter(std::chrono::milliseconds length, base::TimePoint now) const;
    /// Records that an order is being sent which may extend the lease to `until`.
    void recordGrant(std::chrono::milliseconds until);
    /// Accounts for a previous leader, which may have extended the lease to a reading that passes before `time`.
    void assumeHeldUntil(base::TimePoint time);
    /// Returns the local time from which the lease has certainly expired.
    base::TimePoint expiresBy() const
    {
        return expiresBy_;
    }

private:
    std::optional<std::chrono::milliseconds> clock_;
    base::TimePoint observedAt_;
    base::TimePoint expiresBy_{};
};

/// Local time within which a worker's clock certainly advances by `length`.
std::chrono::milliseconds maxLocalTime(std::chrono::milliseconds length);

} // namespace yuccawheel::workflow
