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

/// One process of the cluster, from the settings or from its connection.
struct Peer {
    std::uint32_t node = 0;
    std::string address; ///< IP address and port.
    std::string zone; ///< Availability zone.
};

enum class PeerState : std::uint8_t {
    Unknown, ///< No heartbeat received yet, or none expected as no connection is open.
    Alive,
    Suspected, ///< No heartbeat for longer than its timeout.
    Left, ///< Has announced that it is leaving; a later incarnation is Alive again.
};

/// Content of a heartbeat.
struct Heartbeat {
    ProcessId sender;
    bool leaving = false;
};

struct PeerChange {
    std::uint32_t node = 0;
    PeerState before = PeerState::Unknown;
    PeerState after = PeerState::Unknown;
};

/// Tracks the state of the cluster's processes as seen by one of them. The set of processes comes from the settings and
/// from connections, their state from heartbeats.
class Membership
{
public:
    Membership(std::vector<Peer> peers, DetectorSettings settings);

    /// Adds a process, or resets the state of a known one.
    void add(Peer peer);
    /// Records a heartbeat. Heartbeats of unknown nodes and of earlier incarnations are ignored.
    void receive(const Heartbeat &heartbeat, base::TimePoint now);
    /// Marks a node whose last connection has been closed. No heartbeats are expected of it, so it is Unknown until the
    /// next one.
    void markDisconnected(std::uint32_t node);
    /// Updates the states of all processes and returns the changes since the last call.
    std::vector<PeerChange> update(base::TimePoint now);

    PeerState state(std::uint32_t node) const;
    /// Returns the highest incarnation seen, or nothing if the node never sent a heartbeat.
    std::optional<std::uint64_t> incarnation(std::uint32_t node) const;
    /// Returns the Alive peers of a zone, ordered by node number.
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
