#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace yuccawheel::routing
{

/// Numbers a caller's request inside one entry; never reused while the process lives.
using RequestId = std::uint64_t;
/// Numbers one attempt of a request at one upstream; never reused while the process lives.
using AttemptId = std::uint64_t;
/// Position of an upstream in the table of one router; stays valid while the process lives.
using UpstreamIndex = std::uint32_t;

/// How soon a caller needs its answer.
enum class Urgency : std::uint8_t { Urgent, Normal, Bulk };
constexpr std::size_t UrgencyCount = 3;

enum class UpstreamState : std::uint8_t { Serving, Leaving };

/// What an upstream says about itself in each heartbeat.
struct UpstreamAnnouncement {
    std::string executor;
    std::uint64_t incarnation = 0; ///< Grows each time the upstream starts.
    std::string address; ///< `IP:PORT` on which it takes requests.
    std::uint32_t slots = 0; ///< Requests that it handles at once.
    std::uint32_t connections = 0; ///< Connections that it accepts at once.
    std::vector<std::string> services;
    UpstreamState state = UpstreamState::Serving;
    std::optional<std::uint32_t> running; ///< Requests that it was handling when it sent this, if it says so.

    bool operator==(const UpstreamAnnouncement &) const = default;
};

/// An announcement as one entry passes it to others. Of two, the one with the higher (incarnation, sequence) is
/// fresher.
struct UpstreamUpdate {
    UpstreamAnnouncement announcement;
    std::string zone; ///< Availability zone of the upstream.
    std::uint64_t sequence = 0; ///< Counts the heartbeats of one incarnation.
    base::Duration age{0}; ///< Time since the heartbeat was heard.
};

/// One entry VM of the cell, as the settings list them.
struct EntryInfo {
    std::string entry;
    std::string zone;
};

} // namespace yuccawheel::routing
