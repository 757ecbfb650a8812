#pragma once

#include "coordination/types.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace yuccawheel::coordination
{

/// Asks for a vote. With `preVote` it asks only whether a vote would be given, and changes nothing at the receiver.
struct VoteRequest {
    bool preVote = false;
    Index lastIndex = 0;
    Term lastTerm = 0;
    bool handover = false; ///< The leader itself asked for this election.
};

struct VoteResponse {
    bool preVote = false;
    bool granted = false;
};

/// Appends entries after a known one; without entries it is a heartbeat.
struct AppendRequest {
    Index previousIndex = 0;
    Term previousTerm = 0;
    Index committed = 0;
    std::uint64_t round = 0; ///< Heartbeat round of the leader, echoed by the response.
    std::vector<Entry> entries;
};

struct AppendResponse {
    bool accepted = false;
    Index matched = 0; ///< Accepted: last index known equal. Refused: last index that may be equal.
    Index previousIndex = 0; ///< The refused request's previousIndex.
    std::uint64_t round = 0;
};

/// A part of a snapshot for a replica whose next entry the leader no longer has.
struct SnapshotChunk {
    SnapshotMeta meta;
    std::uint64_t offset = 0; ///< Bytes.
    std::uint64_t round = 0;
    std::string bytes;
};

struct SnapshotChunkResponse {
    Index snapshotIndex = 0;
    std::uint64_t received = 0; ///< Contiguous bytes held; the leader goes on from there.
    bool installed = false;
    std::uint64_t round = 0;
};

/// Sent by a replica that is not in its own replica set, to every node of its settings.
struct JoinRequest {
};

/// Sent by a leader that hands over to the replica that shall lead next.
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

/// One message between replicas. It is routed by `to.node`.
struct Message {
    ClusterId cluster = 0;
    ReplicaId from;
    ReplicaId to;
    Term term = 0;
    MessageBody body;
};

} // namespace yuccawheel::coordination
