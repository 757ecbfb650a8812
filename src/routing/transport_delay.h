#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>

namespace yuccawheel::routing
{

/// Sent by the receiver of updates to their sender, so that it can tell how long they were on the way.
struct DelayProbe {
    std::uint64_t incarnation = 0; ///< Of the process that sent the probe.
    base::Duration sentAt{0}; ///< By the boot clock of its VM; means nothing to others.
};

/// Sent by the sender of updates directly before them, on the same connection.
struct DelayEcho {
    DelayProbe probe; ///< The last one that came from the receiver.
    base::Duration heldFor{0}; ///< From the probe's arrival to the sending of the echo.
};

/// The sender's side: answers the probes of one receiver.
class ProbeResponder
{
public:
    void handleProbe(const DelayProbe &probe, base::TimePoint now);
    /// The echo to send before updates; nothing before the first probe.
    std::optional<DelayEcho> makeEcho(base::TimePoint now) const;

private:
    std::optional<DelayProbe> probe_;
    base::TimePoint arrivedAt_;
};

/// The receiver's side, for the updates of one connection: an upper bound on how long they were on the way, whatever
/// held them up. Uses no clock of the sender but for the time that it held the probe.
class TransportDelay
{
public:
    explicit TransportDelay(std::uint64_t incarnation);

    /// Takes the echo sent before the updates that follow.
    void handleEcho(const DelayEcho &echo, base::TimePoint now);
    /// How long ago at most the last echo was sent; nothing before the first one.
    std::optional<base::Duration> upperBound(base::TimePoint now) const;

private:
    std::uint64_t incarnation_;
    std::optional<base::TimePoint> echoSentAfter_;
};

/// The probe that a process sends now.
DelayProbe makeDelayProbe(std::uint64_t incarnation, base::TimePoint now);

} // namespace yuccawheel::routing
