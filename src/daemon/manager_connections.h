#pragma once

#include "daemon/daemon.h"
#include "protocol/peer.h"
#include "workflow/messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace yuccawheel::daemon
{

/// Returns a manager's node number in the replicated log, which is its IPv4 address as an integer. So a manager can be
/// reached by its number alone. Returns nothing if `ip` is no IPv4 address.
std::optional<std::uint32_t> managerNumber(const std::string &ip);
std::string managerIp(std::uint32_t number);

/// Keeps connections to the managers: to the seeds at first, and to those that a manager's Topology message lists.
class ManagerConnections
{
public:
    using NoticeHandler = std::function<void(std::uint32_t manager, protocol::Frame)>;
    /// `self` is the number of this manager, which is not connected to, or 0 in other processes. `onNotice` gets all
    /// notices except Topology.
    ManagerConnections(Context &context, std::uint32_t self, NoticeHandler onNotice);

    void setSeeds(const std::vector<settings::Endpoint> &seeds);
    const std::vector<std::uint32_t> &seeds() const
    {
        return seeds_;
    }
    /// Applies a topology from another manager or the local replica, unless it is outdated.
    void updateTopology(const workflow::Topology &topology);
    /// Returns the connection to a manager, creating it if needed; it may not be open yet.
    protocol::Peer &peer(std::uint32_t manager);
    /// Returns the open connection to the leader, or null.
    protocol::Peer *leader();
    /// Returns the leader's number, or 0 if no leader is known.
    std::uint32_t leaderNumber() const
    {
        return topology_.leader;
    }
    /// Returns whether a connection to any manager is open.
    bool isConnected() const;

private:
    void dropStalePeers();

    Context &context_;
    std::uint32_t self_;
    NoticeHandler onNotice_;
    std::vector<std::uint32_t> seeds_;
    workflow::Topology topology_;
    std::map<std::uint32_t, std::unique_ptr<protocol::Peer>> peers_;
};

} // namespace yuccawheel::daemon
