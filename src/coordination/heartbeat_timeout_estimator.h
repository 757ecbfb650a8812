#pragma once

#include "base/clock.h"

#include <chrono>

namespace yuccawheel::coordination
{

struct DetectorSettings {
    std::chrono::milliseconds expectedInterval{500}; ///< Between heartbeats, until some were seen.
    std::chrono::milliseconds minTimeout{1'000};
    std::chrono::milliseconds maxTimeout{5'000};
    int deviations = 6; ///< Mean deviations of the interval that the timeout allows for.
};

/// Learns how far apart the heartbeats of one process arrive, and from that how long a silence may last.
class HeartbeatTimeoutEstimator
{
public:
    explicit HeartbeatTimeoutEstimator(const DetectorSettings &settings);

    /// Counts the time between two heartbeats.
    void observe(base::Duration gap);
    /// Returns the silence after which the process is suspect.
    base::Duration timeout() const;

private:
    DetectorSettings settings_;
    base::Duration mean_;
    base::Duration deviation_;
};

} // namespace yuccawheel::coordination
