#include "routing/upstream_health.h"

#include <algorithm>

namespace yuccawheel::routing
{

namespace
{
constexpr std::uint32_t MaxDoublings = 10;
}

void UpstreamHealth::recordSuccess(const HealthOptions &options)
{
    failures_ = 0;
    if (ejected_ && ++successes_ >= options.successesToRestore) {
        ejected_ = false;
        ejections_ = 0;
    }
}

// A single failure on probation ejects the upstream again.
bool UpstreamHealth::recordFailure(const HealthOptions &options)
{
    ++failures_;
    successes_ = 0;
    return ejected_ || failures_ >= options.failuresToEject;
}

void UpstreamHealth::eject(const HealthOptions &options, base::TimePoint now)
{
    ejected_ = true;
    successes_ = 0;
    const std::uint32_t doublings = std::min(ejections_, MaxDoublings);
    ejectedUntil_ = now + std::min(options.baseEjectionTime * (1U << doublings), options.maxEjectionTime);
    ++ejections_;
}

HealthState UpstreamHealth::state(base::TimePoint now) const
{
    if (!ejected_) {
        return HealthState::Healthy;
    }
    return now < ejectedUntil_ ? HealthState::Ejected : HealthState::Probation;
}

std::uint32_t UpstreamHealth::consecutiveFailures() const
{
    return failures_;
}

} // namespace yuccawheel::routing
