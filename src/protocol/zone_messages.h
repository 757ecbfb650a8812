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
    std::map<std::string, placement::JobId> services; ///< Name and the job that runs it.

    MSGPACK_DEFINE(version, teams, services)
};

struct HoldConfigurationReply {
    static constexpr MessageType Type = MessageType::HoldConfigurationReply;
    std::uint64_t version = 0; ///< What the answering process keeps in memory.

    MSGPACK_DEFINE(version)
};

/// Asks which version a process keeps, before the sender puts that version in force.
struct HoldConfiguration {
    static constexpr MessageType Type = MessageType::HoldConfiguration;
    using Reply = HoldConfigurationReply;
    std::uint64_t version = 0;
    std::optional<Configuration> content; ///< Sent once the receiver has said that it lacks the version.

    MSGPACK_DEFINE(version, content)
};

struct RecallConfigurationReply {
    static constexpr MessageType Type = MessageType::RecallConfigurationReply;
    bool known = false; ///< False if the answering process has itself not recovered since its start.
    Configuration configuration;

    MSGPACK_DEFINE(known, configuration)
};

/// Asks for the configuration that a process keeps, after the sender's restart.
struct RecallConfiguration {
    static constexpr MessageType Type = MessageType::RecallConfiguration;
    using Reply = RecallConfigurationReply;
    bool unused = false; ///< An empty message has no fields to pack.

    MSGPACK_DEFINE(unused)
};

} // namespace yuccawheel::protocol
