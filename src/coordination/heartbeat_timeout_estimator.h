#pragma once

#include "base/clock.h"

#include <chrono>

namespace yuccawheel::coordination
{

struct DetectorSettings {
    std::chrono::milliseconds expectedInterval{500}; ///< Between heartbeats; the initial estimate.
    std::chrono::milliseconds minTimeout{1'000};
    std::chrono::milliseconds maxTimeout{5'000};
    int deviations = 6; ///< The timeout is the mean interval plus this many mean deviations.
};

/// Estimates a timeout for the heartbeats of one process from the mean and the deviation of the intervals between them.
class HeartbeatTimeoutEstimator
{
public:
    explicit HeartbeatTimeoutEstimator(const DetectorSettings &settings);

    /// Records the interval between two heartbeats.
    void observe(base::Duration gap);
    /// Returns the time without a heartbeat after which the process is suspected.
    base::Duration timeout() const;

private:
    DetectorSettings settings_;
    base::Duration mean_;
    base::Duration deviation_;
};

} // namespace yuccawheel::coordination
