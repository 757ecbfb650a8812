#pragma once

#include "protocol/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

// Requests between the entries and schedulers of one zone.

namespace yuccawheel::protocol
{

/// The operators' configuration at one version.
struct Configuration {
    std::uint64_t version = 0;
    std::map<std::string, placement::TeamQuota> teams; ///< By name.
    std::map<std::string, placement::JobId> services; ///< Id of the job that runs the service, by service name.

    MSGPACK_DEFINE(version, teams, services)
};

struct HoldConfigurationReply {
    static constexpr MessageType Type = MessageType::HoldConfigurationReply;
    std::uint64_t version = 0; ///< Version that the replying process holds in memory.

    MSGPACK_DEFINE(version)
};

/// Asks which version a process holds in memory; sent before the sender applies that version.
struct HoldConfiguration {
    static constexpr MessageType Type = MessageType::HoldConfiguration;
    using Reply = HoldConfigurationReply;
    std::uint64_t version = 0;
    std::optional<Configuration> content; ///< Set if the receiver has replied that it lacks the version.

    MSGPACK_DEFINE(version, content)
};

struct RecallConfigurationReply {
    static constexpr MessageType Type = MessageType::RecallConfigurationReply;
    bool known = false; ///< False if the replying process has not recovered its own configuration since its start.
    Configuration configuration;

    MSGPACK_DEFINE(known, configuration)
};

/// Asks for the configuration that a process holds in memory; sent after a restart.
struct RecallConfiguration {
    static constexpr MessageType Type = MessageType::RecallConfiguration;
    using Reply = RecallConfigurationReply;
    bool unused = false; ///< Placeholder: MSGPACK_DEFINE needs a field.

    MSGPACK_DEFINE(unused)
};

} // namespace yuccawheel::protocol
