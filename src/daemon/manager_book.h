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

/// A manager's number in the agreed log: its IPv4 address. No list of managers is needed to reach one by its number.
std::optional<std::uint32_t> managerNumber(const std::string &ip);
std::string managerIp(std::uint32_t number);

/// Connections to the managers: the seeds at first, then those that managers name.
class ManagerBook
{
public:
    using NoticeHandler = std::function<void(std::uint32_t manager, protocol::Frame)>;
    /// `self` is left out; 0 for a process that is no manager. `onNotice` takes all notices but Topology.
    ManagerBook(Context &context, std::uint32_t self, NoticeHandler onNotice);

    void setSeeds(const std::vector<settings::Endpoint> &seeds);
    const std::vector<std::uint32_t> &seeds() const
    {
        return seeds_;
    }
    /// Takes what a manager, or the own replica, says about the managers.
    void learn(const workflow::Topology &topology);
    /// Returns the connection to a manager, which may not be open yet.
    protocol::Peer &peer(std::uint32_t manager);
    /// Returns the open connection to the leader, or null.
    protocol::Peer *leader();
    std::uint32_t leaderNumber() const
    {
        return topology_.leader;
    }
    /// Returns whether any manager can be reached.
    bool connected() const;

private:
    void dropOthers();

    Context &context_;
    std::uint32_t self_;
    NoticeHandler onNotice_;
    std::vector<std::uint32_t> seeds_;
    workflow::Topology topology_;
    std::map<std::uint32_t, std::unique_ptr<protocol::Peer>> peers_;
};

} // namespace yuccawheel::daemon
