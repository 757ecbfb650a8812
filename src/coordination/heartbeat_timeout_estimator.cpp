#include "coordination/heartbeat_timeout_estimator.h"

#include <algorithm>

namespace yuccawheel::coordination
{

namespace
{

// Weights of a new interval in the running mean and deviation, as in TCP's estimate of the round trip.
constexpr int MeanWeight = 8;
constexpr int DeviationWeight = 4;

} // namespace

HeartbeatTimeoutEstimator::HeartbeatTimeoutEstimator(const DetectorSettings &settings)
    : settings_(settings)
    , mean_(settings.expectedInterval)
    , deviation_(mean_ / 4)
{
}

// One long gap, after which the process speaks again, counts as no more than the longest timeout: a pause must not make
// the detector patient for long after it.
void HeartbeatTimeoutEstimator::observe(base::Duration gap)
{
    const base::Duration counted = std::min<base::Duration>(gap, settings_.maxTimeout);
    const base::Duration error = counted > mean_ ? counted - mean_ : mean_ - counted;
    deviation_ += (error - deviation_) / DeviationWeight;
    mean_ += (counted - mean_) / MeanWeight;
}

base::Duration HeartbeatTimeoutEstimator::timeout() const
{
    return std::clamp<base::Duration>(
        mean_ + settings_.deviations * deviation_, settings_.minTimeout, settings_.maxTimeout);
}

} // namespace yuccawheel::coordination
