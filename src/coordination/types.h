#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace yuccawheel::coordination
{

using Term = std::uint64_t; ///< Election term; 0 before the first one.
using Index = std::uint64_t; ///< Position in the log; the first entry has index 1.
using ClusterId = std::uint64_t; ///< Drawn once when a cluster is formed; 0 on a replica that has not joined one.

/// Identity of a replica: the node number of its settings and the generation of its disk.
/// A disk that comes back empty gets a new generation, so it is a new replica with no right to vote.
struct ReplicaId {
    std::uint32_t node = 0; ///< 0 stands for no replica.
    std::uint32_t generation = 0; ///< Drawn at random on an empty disk; 0 addresses any generation.

    bool operator==(const ReplicaId &) const = default;
    bool operator<(const ReplicaId &other) const
    {
        return std::tie(node, generation) < std::tie(other.node, other.generation);
    }
};

/// What an entry of the log is for.
enum class EntryKind : std::uint8_t {
    Application, ///< Data of the embedding program.
    ReplicaSet, ///< A new set of replicas, in force as soon as it is in the log.
    TermStart, ///< Empty entry by which a new leader commits what earlier terms left behind.
};

struct Entry {
    Index index = 0;
    Term term = 0;
    EntryKind kind = EntryKind::Application;
    std::string data;

    bool operator==(const Entry &) const = default;
};

/// A replica's place in the set: learners receive the log but do not count in any majority.
struct Member {
    ReplicaId id;
    bool voter = false;

    bool operator==(const Member &) const = default;
};

struct ReplicaSet {
    std::vector<Member> members;

    bool operator==(const ReplicaSet &) const = default;
};

/// State that must be on disk before any message that depends on it is sent.
struct HardState {
    ClusterId cluster = 0;
    ReplicaId self;
    Term term = 0;
    ReplicaId votedFor;

    bool operator==(const HardState &) const = default;
};

/// Describes a snapshot: it stands for every entry up to and with `index`.
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

/// What a replica finds on its disk at start. A `hardState` without a node means an empty disk.
struct RecoveredState {
    HardState hardState;
    SnapshotMeta snapshot;
    std::vector<Entry> entries; ///< Contiguous, starting after the snapshot.
};

} // namespace yuccawheel::coordination
