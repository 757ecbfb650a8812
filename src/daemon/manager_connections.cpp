#include "daemon/manager_connections.h"

#include "base/log.h"

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>

namespace yuccawheel::daemon
{

std::optional<std::uint32_t> managerNumber(const std::string &ip)
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(ip, error);
    return error ? std::nullopt : std::optional<std::uint32_t>(address.to_uint());
}

std::string managerIp(std::uint32_t number)
{
    return boost::asio::ip::address_v4(number).to_string();
}

ManagerConnections::ManagerConnections(Context &context, std::uint32_t self, NoticeHandler onNotice)
    : context_(context)
    , self_(self)
    , onNotice_(std::move(onNotice))
{
    setSeeds(context.settings.seeds);
}

void ManagerConnections::setSeeds(const std::vector<settings::Endpoint> &seeds)
{
    seeds_.clear();
    for (const settings::Endpoint &seed : seeds) {
        if (const auto number = managerNumber(seed.ip)) {
            seeds_.push_back(*number);
        }
    }
    for (const std::uint32_t seed : seeds_) {
        if (seed != self_) {
            peer(seed);
        }
    }
}

protocol::Peer &ManagerConnections::peer(std::uint32_t manager)
{
    auto &peer = peers_[manager];
    if (!peer) {
        const boost::asio::ip::tcp::endpoint address(boost::asio::ip::address_v4(manager),
                                                     context_.settings.listen.inner->port);
        protocol::Peer::Callbacks callbacks;
        callbacks.notice = [this, manager](const protocol::ChannelPtr &, protocol::Frame frame) {
            if (frame.type != protocol::MessageType::Topology) {
                onNotice_(manager, std::move(frame));
            } else if (const auto topology = protocol::decode<workflow::Topology>(frame.payload)) {
                updateTopology(*topology);
            }
        };
        peer = std::make_unique<protocol::Peer>(context_.io, address, context_.members, std::move(callbacks));
    }
    return *peer;
}

// A partitioned manager may still report an old leader, so topologies of lower terms are ignored.
void ManagerConnections::updateTopology(const workflow::Topology &topology)
{
    if (topology.term < topology_.term || (topology.term == topology_.term && topology.leader == 0)) {
        return;
    }
    const std::uint32_t before = topology_.leader;
    topology_ = topology;
    for (const std::uint32_t manager : topology_.managers) {
        if (manager != self_) {
            peer(manager);
        }
    }
    if (before != topology_.leader) {
        base::logInfo("leader_changed")
            .with("leader", topology_.leader == 0 ? "none" : managerIp(topology_.leader))
            .with("term", topology_.term);
        dropStalePeers();
    }
}

// Drops unreachable managers that are neither seeds nor members any more; their VMs are gone.
void ManagerConnections::dropStalePeers()
{
    std::erase_if(peers_, [this](const auto &item) {
        const auto names = [number = item.first](const std::vector<std::uint32_t> &list) {
            return std::find(list.begin(), list.end(), number) != list.end();
        };
        return !item.second->isConnected() && !names(seeds_) && !names(topology_.managers);
    });
}

protocol::Peer *ManagerConnections::leader()
{
    const auto found = peers_.find(topology_.leader);
    return found == peers_.end() || !found->second->isConnected() ? nullptr : found->second.get();
}

bool ManagerConnections::isConnected() const
{
    return std::any_of(peers_.begin(), peers_.end(), [](const auto &item) { return item.second->isConnected(); });
}

} // namespace yuccawheel::daemon
