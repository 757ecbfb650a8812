#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace yuccawheel::coordination
{

using Term = std::uint64_t; ///< Election term; 0 before the first one.
using Index = std::uint64_t; ///< Position in the log; the first entry has index 1.
using ClusterId = std::uint64_t; ///< Random, chosen when the cluster is formed; 0 on a replica that has not joined one.

/// Identifies a replica: the node number from its settings and the generation of its disk.
/// A disk that was lost and is empty gets a new generation and is a new replica, which does not vote until it is added.
struct ReplicaId {
    std::uint32_t node = 0; ///< 0 means no replica.
    std::uint32_t generation = 0; ///< Chosen at random on an empty disk; 0 as a destination matches any generation.

    bool operator==(const ReplicaId &) const = default;
    bool operator<(const ReplicaId &other) const
    {
        return std::tie(node, generation) < std::tie(other.node, other.generation);
    }
};

/// Kind of a log entry.
enum class EntryKind : std::uint8_t {
    Application, ///< Data of the embedding program.
    ReplicaSet, ///< A new replica set, which takes effect as soon as it is appended to the log.
    TermStart, ///< Empty entry with which a new leader commits the entries of earlier terms.
};

struct Entry {
    Index index = 0;
    Term term = 0;
    EntryKind kind = EntryKind::Application;
    std::string data;

    bool operator==(const Entry &) const = default;
};

/// A member of the replica set. Learners, which are not voters, receive the log but count in no majority.
struct Member {
    ReplicaId id;
    bool voter = false;

    bool operator==(const Member &) const = default;
};

struct ReplicaSet {
    std::vector<Member> members;

    bool operator==(const ReplicaSet &) const = default;
};

/// Raft state that must be on disk before any message that depends on it is sent.
struct HardState {
    ClusterId cluster = 0;
    ReplicaId self;
    Term term = 0;
    ReplicaId votedFor;

    bool operator==(const HardState &) const = default;
};

/// Describes a snapshot, which covers all entries up to and including `index`.
struct SnapshotMeta {
    Index index = 0;
    Term term = 0;
    ReplicaSet replicas;
    std::uint64_t size = 0; ///< Bytes.
    std::uint64_t checksum = 0; ///< XXH64 of the bytes.

    bool operator==(const SnapshotMeta &) const = default;
};

struct Snapshot {
    SnapshotMeta meta;
    std::string bytes;
};

/// State read from disk at start. If `hardState.self.node` is 0, the disk was empty.
struct RecoveredState {
    HardState hardState;
    SnapshotMeta snapshot;
    std::vector<Entry> entries; ///< Contiguous, starting after the snapshot.
};

} // namespace yuccawheel::coordination
