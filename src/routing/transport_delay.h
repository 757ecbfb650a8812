#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>

namespace yuccawheel::routing
{

/// Sent by the receiver of updates to their sender, to measure the transport delay of updates.
struct DelayProbe {
    std::uint64_t incarnation = 0; ///< Incarnation of the process that sent the probe.
    base::Duration sentAt{0}; ///< Boot clock of the sending VM; not comparable across VMs.
};

/// Sent directly before updates, on the same connection.
struct DelayEcho {
    DelayProbe probe; ///< Last probe received.
    base::Duration heldFor{0}; ///< Time between receiving the probe and sending the echo.
};

/// Sender of updates: answers the probes of one receiver.
class ProbeResponder
{
public:
    void handleProbe(const DelayProbe &probe, base::TimePoint now);
    /// Returns the echo to send before updates, or nothing before the first probe.
    std::optional<DelayEcho> makeEcho(base::TimePoint now) const;

private:
    std::optional<DelayProbe> probe_;
    base::TimePoint arrivedAt_;
};

/// Receiver of updates: computes an upper bound on the transport delay of the updates of one connection, including
/// queueing and pauses. Of the sender's clock, only the time for which it held the probe is used.
class TransportDelay
{
public:
    explicit TransportDelay(std::uint64_t incarnation);

    /// Processes the echo that precedes updates. Echoes of another incarnation or with impossible times are ignored.
    void handleEcho(const DelayEcho &echo, base::TimePoint now);
    /// Returns the maximum time since the last echo was sent, or nothing before the first echo.
    std::optional<base::Duration> upperBound(base::TimePoint now) const;

private:
    std::uint64_t incarnation_;
    std::optional<base::TimePoint> echoSentAfter_;
};

/// Returns a probe with the current time.
DelayProbe makeDelayProbe(std::uint64_t incarnation, base::TimePoint now);

} // namespace yuccawheel::routing
