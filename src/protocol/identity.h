#pragma once

#include "protocol/codec.h"
#include "protocol/frame.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace yuccawheel::protocol
{

enum class Role : std::uint8_t { Entry, Scheduler, Store, Manager, Gateway };

constexpr std::string_view toString(Role role)
{
    switch (role) {
    case Role::Entry:
        return "entry";
    case Role::Scheduler:
        return "scheduler";
    case Role::Store:
        return "store";
    case Role::Manager:
        return "manager";
    case Role::Gateway:
        return "gateway";
    }
    return "unknown";
}

} // namespace yuccawheel::protocol

YW_MSGPACK_ENUM(yuccawheel::protocol::Role, yuccawheel::protocol::Role::Gateway)

namespace yuccawheel::protocol
{

/// Identity of a process. `incarnation` is the wall clock at its start, so it grows with each restart unless the clock
/// is set back.
struct Identity {
    std::string cluster;
    Role role = Role::Entry;
    std::string node;
    std::string zone;
    std::uint64_t incarnation = 0;

    MSGPACK_DEFINE(cluster, role, node, zone, incarnation)
};

/// First frame on every connection. The version and the cluster are checked before any other frame is read.
struct Hello {
    static constexpr MessageType Type = MessageType::Hello;
    std::uint16_t version = ProtocolVersion;
    Identity identity;

    MSGPACK_DEFINE(version, identity)
};

/// Reply to Hello. If it is not accepted, `reason` says why.
struct HelloReply {
    static constexpr MessageType Type = MessageType::HelloReply;
    bool accepted = false;
    std::string reason;
    Identity identity;

    MSGPACK_DEFINE(accepted, reason, identity)
};

} // namespace yuccawheel::protocol
