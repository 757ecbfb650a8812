#pragma once

#include "coordination/types.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace yuccawheel::coordination
{

/// Requests a vote. A pre-vote only asks whether a vote would be granted and changes nothing at the receiver.
struct VoteRequest {
    bool preVote = false;
    Index lastIndex = 0;
    Term lastTerm = 0;
    bool handover =
        false; ///< The election was requested by the leader, so a receiver in contact with it votes all the same.
};

struct VoteResponse {
    bool preVote = false;
    bool granted = false;
};

/// Appends entries after the entry at `previousIndex`. Without entries it serves as a heartbeat.
struct AppendRequest {
    Index previousIndex = 0;
    Term previousTerm = 0;
    Index committed = 0; ///< Commit index of the leader.
    std::uint64_t round = 0; ///< Heartbeat round of the leader; echoed in the response.
    std::vector<Entry> entries;
};

struct AppendResponse {
    bool accepted = false;
    Index matched =
        0; ///< If accepted, the last index up to which the logs are known to agree; else the last that may agree.
    Index previousIndex = 0; ///< `previousIndex` of the request.
    std::uint64_t round = 0;
};

/// Part of a snapshot, sent to a replica that needs entries which the leader has already compacted.
struct SnapshotChunk {
    SnapshotMeta meta;
    std::uint64_t offset = 0; ///< Bytes.
    std::uint64_t round = 0;
    std::string bytes;
};

struct SnapshotChunkResponse {
    Index snapshotIndex = 0;
    std::uint64_t received = 0; ///< Contiguous bytes received; the leader continues from there.
    bool installed = false;
    std::uint64_t round = 0;
};

/// Asks to be added to the replica set. Sent to all nodes of the settings, as the sender may not know the leader.
struct JoinRequest {
};

/// Tells the designated next leader to start an election at once.
struct HandoverRequest {
};

using MessageBody = std::variant<VoteRequest,
                                 VoteResponse,
                                 AppendRequest,
                                 AppendResponse,
                                 SnapshotChunk,
                                 SnapshotChunkResponse,
                                 JoinRequest,
                                 HandoverRequest>;

/// A message between replicas; `to.node` is its destination.
struct Message {
    ClusterId cluster = 0;
    ReplicaId from;
    ReplicaId to;
    Term term = 0;
    MessageBody body;
};

} // namespace yuccawheel::coordination
