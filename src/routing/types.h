#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace yuccawheel::routing
{

/// Identifies a caller's request within one entry; not reused during the lifetime of the process.
using RequestId = std::uint64_t;
/// Identifies one attempt of a request at one upstream; not reused during the lifetime of the process.
using AttemptId = std::uint64_t;
/// Index of an upstream in the table of one router; stays valid during the lifetime of the process.
using UpstreamIndex = std::uint32_t;

/// Urgency class of a request, for scheduling.
enum class Urgency : std::uint8_t { Urgent, Normal, Bulk };
constexpr std::size_t UrgencyCount = 3;

enum class UpstreamState : std::uint8_t { Serving, Leaving };

/// Content of an upstream's heartbeat.
struct UpstreamAnnouncement {
    std::string executor;
    std::uint64_t incarnation = 0; ///< Increases with each start of the upstream.
    std::string address; ///< `IP:PORT` on which the upstream accepts requests.
    std::uint32_t slots = 0; ///< Maximum number of concurrent requests.
    std::uint32_t connections = 0; ///< Maximum number of open connections.
    std::vector<std::string> services;
    UpstreamState state = UpstreamState::Serving;
    std::optional<std::uint32_t> running; ///< Requests in progress when the heartbeat was sent, if reported.

    bool operator==(const UpstreamAnnouncement &) const = default;
};

/// An announcement relayed from one entry to others. The update with the higher (incarnation, sequence) is newer.
struct UpstreamUpdate {
    UpstreamAnnouncement announcement;
    std::string zone; ///< Availability zone of the upstream.
    std::uint64_t sequence = 0; ///< Number of the heartbeat within the incarnation.
    base::Duration age{0}; ///< Time since the relaying entry received the heartbeat.
};

/// An entry VM of the cell, as listed in the settings.
struct EntryInfo {
    std::string entry;
    std::string zone;
};

} // namespace yuccawheel::routing
