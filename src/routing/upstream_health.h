#pragma once

#include "base/clock.h"

#include <cstdint>

namespace yuccawheel::routing
{

struct HealthOptions {
    std::uint32_t failuresToEject = 5; ///< Consecutive failures.
    std::uint32_t successesToRestore = 3; ///< Consecutive successes on probation.
    base::Duration baseEjectionTime = std::chrono::seconds(5); ///< Doubles with each consecutive ejection.
    base::Duration maxEjectionTime = std::chrono::seconds(60);
};

enum class HealthState : std::uint8_t {
    Healthy,
    Ejected, ///< Receives no requests.
    Probation, ///< Receives one request at a time.
};

/// Outlier detection for one upstream, based on the outcomes of its attempts.
class UpstreamHealth
{
public:
    void recordSuccess(const HealthOptions &options);
    /// Counts a failure. Returns whether the upstream should be ejected; the caller decides and calls `eject`.
    bool recordFailure(const HealthOptions &options);
    void eject(const HealthOptions &options, base::TimePoint now);
    /// An ejected upstream is on probation once its ejection time has passed.
    HealthState state(base::TimePoint now) const;
    std::uint32_t consecutiveFailures() const;

private:
    bool ejected_ = false;
    base::TimePoint ejectedUntil_{};
    std::uint32_t failures_ = 0;
    std::uint32_t successes_ = 0;
    std::uint32_t ejections_ = 0;
};

} // namespace yuccawheel::routing
