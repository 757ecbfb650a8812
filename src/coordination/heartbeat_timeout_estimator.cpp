#include "coordination/heartbeat_timeout_estimator.h"

#include <algorithm>

namespace yuccawheel::coordination
{

namespace
{

// A new interval counts for 1/8 of the mean and 1/4 of the deviation, as in TCP's round-trip estimator (RFC 6298).
constexpr int MeanDivisor = 8;
constexpr int DeviationDivisor = 4;

} // namespace

HeartbeatTimeoutEstimator::HeartbeatTimeoutEstimator(const DetectorSettings &settings)
    : settings_(settings)
    , mean_(settings.expectedInterval)
    , deviation_(mean_ / 4)
{
}

// An interval counts as at most the maximum timeout: a single long pause must not lengthen the timeout for long
// afterwards.
void HeartbeatTimeoutEstimator::observe(base::Duration gap)
{
    const base::Duration counted = std::min<base::Duration>(gap, settings_.maxTimeout);
    const base::Duration error = counted > mean_ ? counted - mean_ : mean_ - counted;
    deviation_ += (error - deviation_) / DeviationDivisor;
    mean_ += (counted - mean_) / MeanDivisor;
}

base::Duration HeartbeatTimeoutEstimator::timeout() const
{
    return std::clamp<base::Duration>(
        mean_ + settings_.deviations * deviation_, settings_.minTimeout, settings_.maxTimeout);
}

} // namespace yuccawheel::coordination
