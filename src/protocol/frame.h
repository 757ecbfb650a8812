#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace yuccawheel::protocol
{

/// Version of the inner protocol. Processes with different versions reject each other's connections.
inline constexpr std::uint16_t ProtocolVersion = 2;

inline constexpr std::size_t MaxPayloadBytes = 4U << 20U;
inline constexpr std::size_t MaxHelloBytes = 1024;

/// Message types by their number on the wire. A number is never reused for another message.
enum class MessageType : std::uint16_t {
    Hello = 1,
    HelloReply = 2,
    Heartbeat = 3,
    Error = 4,
    Leave = 5,

    Submit = 20,
    SubmitReply = 21,
    CancelJob = 22,
    CancelJobReply = 23,
    AcquireZone = 24,
    AcquireZoneReply = 25,
    RenewZone = 26,
    RenewZoneReply = 27,
    Watch = 28,
    WatchReply = 29,
    StateUpdate = 30,
    WatchAck = 35,
    Query = 31,
    QueryReply = 32,
    ChangeReplica = 33,
    ChangeReplicaReply = 34,

    Replication = 50,

    UpstreamUpdates = 70,
    ShareMessage = 71,
    KeyNotice = 72,
    ReserveKey = 73,
    ReserveKeyReply = 74,
    FinishKey = 75,
    FinishKeyReply = 76,
    DelayProbe = 77,
    DelayEcho = 78,

    HoldConfiguration = 90,
    HoldConfigurationReply = 91,
    RecallConfiguration = 92,
    RecallConfigurationReply = 93,

    QueueRequest = 100,
    QueueReply = 101,
    ReportWorker = 102,
    ReportWorkerReply = 103,
    PutConfiguration = 104,
    PutConfigurationReply = 105,
    GetConfiguration = 106,
    GetConfigurationReply = 107,
    AskEligibility = 108,
    EligibilityAnswer = 109,
    Topology = 110,
};

enum class FrameKind : std::uint8_t { Request = 0, Response = 1, Notice = 2 };

/// A message between two processes. A response carries the correlation number of its request; notices have no response.
struct Frame {
    MessageType type = MessageType::Heartbeat;
    FrameKind kind = FrameKind::Notice;
    std::uint64_t correlation = 0;
    std::string payload;
};

/// Header on the wire, big endian: payload bytes (4), type (2), kind (1), correlation (8).
inline constexpr std::size_t FrameHeaderBytes = 15;
using FrameHeader = std::array<unsigned char, FrameHeaderBytes>;

FrameHeader encodeHeader(const Frame &frame);

struct DecodedHeader {
    std::uint32_t payloadBytes = 0;
    Frame frame; ///< Its payload is empty.
};
/// Returns nothing if the kind is unknown. The caller must check `payloadBytes` against its own limit.
std::optional<DecodedHeader> decodeHeader(const FrameHeader &header);

} // namespace yuccawheel::protocol
