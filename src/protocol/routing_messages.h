#pragma once

#include "protocol/codec.h"
#include "protocol/frame.h"
#include "routing/loan_manager.h"
#include "routing/transport_delay.h"
#include "routing/types.h"
#include "routing/zone_keys.h"

#include <vector>

// Messages between entries. They wrap the message types of src/routing.

YW_MSGPACK_ENUM(yuccawheel::routing::UpstreamState, yuccawheel::routing::UpstreamState::Leaving)
YW_MSGPACK_ENUM(yuccawheel::routing::ShareMessageKind, yuccawheel::routing::ShareMessageKind::ShutdownNotice)

YW_MSGPACK_ENUM(yuccawheel::routing::KeyMessageKind, yuccawheel::routing::KeyMessageKind::Copy)
YW_MSGPACK_ENUM(yuccawheel::routing::KeyStatus, yuccawheel::routing::KeyStatus::Refused)

YW_MSGPACK_STRUCT(yuccawheel::routing::StoredAnswer,
                  3,
                  (put(value.status), put(value.contentType), put(value.body)),
                  (take(value.status), take(value.contentType), take(value.body)))
YW_MSGPACK_STRUCT(yuccawheel::routing::KeyMessage,
                  10,
                  (put(value.kind),
                   put(value.to),
                   put(value.from),
                   put(value.number),
                   put(value.key),
                   put(value.digest),
                   put(value.timeout),
                   put(value.status),
                   put(value.verdict),
                   put(value.answer)),
                  (take(value.kind),
                   take(value.to),
                   take(value.from),
                   take(value.number),
                   take(value.key),
                   take(value.digest),
                   take(value.timeout),
                   take(value.status),
                   take(value.verdict),
                   take(value.answer)))
YW_MSGPACK_STRUCT(yuccawheel::routing::UpstreamAnnouncement,
                  8,
                  (put(value.executor),
                   put(value.incarnation),
                   put(value.address),
                   put(value.slots),
                   put(value.connections),
                   put(value.services),
                   put(value.state),
                   put(value.running)),
                  (take(value.executor),
                   take(value.incarnation),
                   take(value.address),
                   take(value.slots),
                   take(value.connections),
                   take(value.services),
                   take(value.state),
                   take(value.running)))
YW_MSGPACK_STRUCT(yuccawheel::routing::UpstreamUpdate,
                  4,
                  (put(value.announcement), put(value.zone), put(value.sequence), put(value.age)),
                  (take(value.announcement), take(value.zone), take(value.sequence), take(value.age)))
YW_MSGPACK_STRUCT(yuccawheel::routing::DelayProbe,
                  2,
                  (put(value.incarnation), put(value.sentAt)),
                  (take(value.incarnation), take(value.sentAt)))
YW_MSGPACK_STRUCT(yuccawheel::routing::DelayEcho,
                  2,
                  (put(value.probe), put(value.heldFor)),
                  (take(value.probe), take(value.heldFor)))
YW_MSGPACK_STRUCT(yuccawheel::routing::ShareMessage,
                  10,
                  (put(value.kind),
                   put(value.to),
                   put(value.from),
                   put(value.executor),
                   put(value.id),
                   put(value.slots),
                   put(value.term),
                   put(value.incarnation),
                   put(value.query),
                   put(value.graceful)),
                  (take(value.kind),
                   take(value.to),
                   take(value.from),
                   take(value.executor),
                   take(value.id),
                   take(value.slots),
                   take(value.term),
                   take(value.incarnation),
                   take(value.query),
                   take(value.graceful)))

namespace yuccawheel::protocol
{

/// Upstream states that an entry has learned, for the other entries.
struct UpstreamUpdates {
    static constexpr MessageType Type = MessageType::UpstreamUpdates;
    std::vector<routing::UpstreamUpdate> updates;

    MSGPACK_DEFINE(updates)
};

/// Probe for the transport delay of upstream updates; answered by a DelayEcho before the next updates.
struct DelayProbe {
    static constexpr MessageType Type = MessageType::DelayProbe;
    routing::DelayProbe probe;

    MSGPACK_DEFINE(probe)
};

/// Reply to a DelayProbe, sent directly before upstream updates on the same connection.
struct DelayEcho {
    static constexpr MessageType Type = MessageType::DelayEcho;
    routing::DelayEcho echo;

    MSGPACK_DEFINE(echo)
};

/// Message between two entries about the shares and loans of upstream slots.
struct ShareNotice {
    static constexpr MessageType Type = MessageType::ShareMessage;
    routing::ShareMessage message;

    MSGPACK_DEFINE(message)
};

/// Message between two entries about the idempotency keys that one of them has issued.
struct KeyNotice {
    static constexpr MessageType Type = MessageType::KeyNotice;
    routing::KeyMessage message;

    MSGPACK_DEFINE(message)
};

} // namespace yuccawheel::protocol
