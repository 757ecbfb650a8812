#include "routing/transport_delay.h"

#include <algorithm>

namespace yuccawheel::routing
{

namespace
{

/// Clocks of two VMs may differ in rate by one part in so many.
constexpr std::int64_t ClockDriftDivisor = 50;

} // namespace

void ProbeResponder::handleProbe(const DelayProbe &probe, base::TimePoint now)
{
    probe_ = probe;
    arrivedAt_ = now;
}

std::optional<DelayEcho> ProbeResponder::makeEcho(base::TimePoint now) const
{
    if (!probe_) {
        return std::nullopt;
    }
    return DelayEcho{*probe_, now - arrivedAt_};
}

TransportDelay::TransportDelay(std::uint64_t incarnation) : incarnation_(incarnation)
{
}

// The echo left no earlier than the probe did, plus the time for which the sender held it. What the probe itself took
// counts as delay too. A probe of a former process tells nothing: its VM may have restarted, and its clock with it.
void TransportDelay::handleEcho(const DelayEcho &echo, base::TimePoint now)
{
    const base::Duration sinceStart = now.time_since_epoch();
    const base::Duration held = echo.heldFor - echo.heldFor / ClockDriftDivisor;
    const bool ours = echo.probe.incarnation == incarnation_;
    const bool plausible = echo.probe.sentAt >= base::Duration{0} && echo.probe.sentAt <= sinceStart
        && held >= base::Duration{0} && held <= sinceStart - echo.probe.sentAt;
    if (ours && plausible) {
        echoSentAfter_ = base::TimePoint{echo.probe.sentAt + held};
    }
}

std::optional<base::Duration> TransportDelay::upperBound(base::TimePoint now) const
{
    if (!echoSentAfter_) {
        return std::nullopt;
    }
    return now - *echoSentAfter_;
}

DelayProbe makeDelayProbe(std::uint64_t incarnation, base::TimePoint now)
{
    return DelayProbe{incarnation, now.time_since_epoch()};
}

} // namespace yuccawheel::routing
