#pragma once

#include "base/clock.h"
#include "coordination/epoch.h"
#include "coordination/failure_detector.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccawheel::coordination
{

/// One process of the system, as the settings name it.
struct Peer {
    std::uint32_t node = 0;
    std::string address; ///< IP number and port.
    std::string zone; ///< Availability zone.
};

enum class PeerState : std::uint8_t {
    Unknown, ///< Not heard of yet, or no heartbeats are expected of it now.
    Alive,
    Suspected, ///< Silent for longer than its heartbeats explain.
    Left, ///< Said that it was leaving; a later incarnation brings it back.
};

/// What a process says of itself at each heartbeat.
struct Heartbeat {
    ProcessId sender;
    bool leaving = false;
};

struct PeerChange {
    std::uint32_t node = 0;
    PeerState before = PeerState::Unknown;
    PeerState after = PeerState::Unknown;
};

/// A process's view of the system's own processes. Who exists comes from the settings or from who has connected, who
/// lives from heartbeats.
class Membership
{
public:
    Membership(std::vector<Peer> peers, DetectorSettings settings);

    /// Adds a process that the settings do not name, or forgets what is known of one that they do.
    void add(Peer peer);
    /// Takes a heartbeat. Those of unknown nodes and of earlier incarnations are ignored.
    void receive(const Heartbeat &heartbeat, base::TimePoint now);
    /// Says that no heartbeats of a node are expected, as its last connection has ended: until the next one it is
    /// neither alive nor suspected.
    void markDisconnected(std::uint32_t node);
    /// Brings the states up to date, and returns what has changed since the last call.
    std::vector<PeerChange> update(base::TimePoint now);

    PeerState state(std::uint32_t node) const;
    /// Returns the highest incarnation heard of, or nothing.
    std::optional<std::uint64_t> incarnation(std::uint32_t node) const;
    /// Returns the peers of a zone that are alive, in the order of their nodes.
    std::vector<Peer> alivePeers(const std::string &zone) const;

private:
    struct Entry {
        Peer peer;
        PeerState state = PeerState::Unknown;
        bool leaving = false;
        bool connected = false;
    };

    FailureDetector detector_;
    std::map<std::uint32_t, Entry> entries_;
};

} // namespace yuccawheel::coordination
