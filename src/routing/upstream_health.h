#pragma once

#include "base/clock.h"

#include <cstdint>

namespace yuccawheel::routing
{

struct HealthOptions {
    std::uint32_t failuresToEject = 5; ///< Failures in a row.
    std::uint32_t successesToRestore = 3; ///< Successes in a row on probation.
    base::Duration baseEjectionTime = std::chrono::seconds(5); ///< Doubles with each ejection in a row.
    base::Duration maxEjectionTime = std::chrono::seconds(60);
};

enum class HealthState : std::uint8_t {
    Healthy,
    Ejected, ///< Gets no request.
    Probation, ///< Gets one request at a time.
};

/// Judges one upstream by the outcomes of its attempts.
class UpstreamHealth
{
public:
    void recordSuccess(const HealthOptions &options);
    /// Counts a failure. Returns true if the upstream is now due for ejection; the caller decides whether it may be.
    bool recordFailure(const HealthOptions &options);
    void eject(const HealthOptions &options, base::TimePoint now);
    /// Ends ejections that have run out.
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
