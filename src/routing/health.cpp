#include "routing/health.h"

#include <algorithm>

namespace yuccawheel::routing
{

namespace
{
constexpr std::uint32_t MaxDoublings = 10;
}

void Health::succeeded(const HealthOptions &options)
{
    failures_ = 0;
    if (ejected_ && ++successes_ >= options.successesToRestore) {
        ejected_ = false;
        ejections_ = 0;
    }
}

// On probation one failure is enough: the upstream has just been given its second chance.
bool Health::failed(const HealthOptions &options)
{
    ++failures_;
    successes_ = 0;
    return ejected_ || failures_ >= options.failuresToEject;
}

void Health::eject(const HealthOptions &options, base::TimePoint now)
{
    ejected_ = true;
    successes_ = 0;
    const std::uint32_t doublings = std::min(ejections_, MaxDoublings);
    ejectedUntil_ = now + std::min(options.firstEjection * (1U << doublings), options.longestEjection);
    ++ejections_;
}

HealthState Health::state(base::TimePoint now) const
{
    if (!ejected_) {
        return HealthState::Healthy;
    }
    return now < ejectedUntil_ ? HealthState::Ejected : HealthState::Probation;
}

std::uint32_t Health::failuresInRow() const
{
    return failures_;
}

} // namespace yuccawheel::routing
