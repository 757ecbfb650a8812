#include "routing/transport_delay.h"

#include <algorithm>

namespace yuccawheel::routing
{

namespace
{

/// The clock rates of two VMs differ by at most 1/50.
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

// The echo was sent no earlier than the probe plus the time for which the sender held it; the probe's own transport
// time counts as delay. A probe of a previous process is ignored: the boot clock may have restarted with the VM.
void TransportDelay::handleEcho(const DelayEcho &echo, base::TimePoint now)
{
    const base::Duration sinceStart = now.time_since_epoch();
    const base::Duration held = echo.heldFor - echo.heldFor / ClockDriftDivisor;
    const bool sentByThisProcess = echo.probe.incarnation == incarnation_;
    const bool plausible = echo.probe.sentAt >= base::Duration{0} && echo.probe.sentAt <= sinceStart
        && held >= base::Duration{0} && held <= sinceStart - echo.probe.sentAt;
    if (sentByThisProcess && plausible) {
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
