#include "workflow/worker_lease.h"

#include "base/invariant.h"

#include <algorithm>

namespace yuccawheel::workflow
{

namespace
{

// Workers' clocks may be 2 % slow; the further per cent covers this machine's own.
constexpr double SlowestClock = 0.97;
constexpr std::chrono::milliseconds OvertakingSlack{1'000}; ///< Above the timeout of an order.

} // namespace

std::chrono::milliseconds surelyElapsed(std::chrono::milliseconds length)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(length.count()) / SlowestClock) + 1);
}

// A later answer may have been sent before an earlier one, so only a higher reading is news.
void WorkerLease::observe(std::chrono::milliseconds clock, base::TimePoint now)
{
    if (!clock_ || clock > *clock_) {
        clock_ = clock;
        observedAt_ = now;
    }
}

// Answers may overtake each other, and a clock may run a little fast. Each life begins its clock anew.
bool WorkerLease::isPlausible(std::chrono::milliseconds clock, base::TimePoint now) const
{
    if (!clock_) {
        return true;
    }
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - observedAt_);
    return clock >= *clock_ - OvertakingSlack && clock <= *clock_ + surelyElapsed(elapsed) + OvertakingSlack;
}

std::optional<std::chrono::milliseconds> WorkerLease::extension(std::chrono::milliseconds length,
                                                                base::TimePoint now) const
{
    if (!clock_) {
        return std::nullopt;
    }
    return *clock_ + std::chrono::duration_cast<std::chrono::milliseconds>(now - observedAt_) + length;
}

void WorkerLease::granted(std::chrono::milliseconds until)
{
    YW_INVARIANT(clock_.has_value(), "a lease is extended on a known clock only");
    const auto left = std::max(until - *clock_, std::chrono::milliseconds::zero());
    surelyOverAt_ = std::max(surelyOverAt_, observedAt_ + surelyElapsed(left));
}

void WorkerLease::mayLastUntil(base::TimePoint time)
{
    surelyOverAt_ = std::max(surelyOverAt_, time);
}

} // namespace yuccawheel::workflow
