#include "workflow/worker_lease.h"

#include "base/invariant.h"

#include <algorithm>

namespace yuccawheel::workflow
{

namespace
{

// Workers' clocks may be 2 % slow; another 1 % covers the local clock.
constexpr double MinClockRate = 0.97;
constexpr std::chrono::milliseconds ReorderingSlack{1'000}; ///< Exceeds the timeout of an order.

} // namespace

std::chrono::milliseconds maxLocalTime(std::chrono::milliseconds length)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(length.count()) / MinClockRate) + 1);
}

// Answers may arrive out of order, so lower readings are ignored.
void WorkerLease::observeClock(std::chrono::milliseconds clock, base::TimePoint now)
{
    if (!clock_ || clock > *clock_) {
        clock_ = clock;
        observedAt_ = now;
    }
}

// Allows for answers out of order and a fast clock. Readings outside this range come from another incarnation, because
// each one starts its clock from scratch.
bool WorkerLease::isPlausible(std::chrono::milliseconds clock, base::TimePoint now) const
{
    if (!clock_) {
        return true;
    }
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - observedAt_);
    return clock >= *clock_ - ReorderingSlack && clock <= *clock_ + maxLocalTime(elapsed) + ReorderingSlack;
}

std::optional<std::chrono::milliseconds> WorkerLease::readingAfter(std::chrono::milliseconds length,
                                                                   base::TimePoint now) const
{
    if (!clock_) {
        return std::nullopt;
    }
    return *clock_ + std::chrono::duration_cast<std::chrono::milliseconds>(now - observedAt_) + length;
}

void WorkerLease::recordGrant(std::chrono::milliseconds until)
{
    YW_INVARIANT(clock_.has_value(), "a lease is granted only after a clock reading");
    const auto left = std::max(until - *clock_, std::chrono::milliseconds::zero());
    expiresBy_ = std::max(expiresBy_, observedAt_ + maxLocalTime(left));
}

void WorkerLease::assumeHeldUntil(base::TimePoint time)
{
    expiresBy_ = std::max(expiresBy_, time);
}

} // namespace yuccawheel::workflow
