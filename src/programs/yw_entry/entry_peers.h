#pragma once

#include "daemon/daemon.h"
#include "http/proxy_server.h"
#include "protocol/listener.h"
#include "protocol/peer.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace yuccawheel::entry
{

/// Carries what the routing core has to tell to the other entries, and what they tell to it.
class EntryPeers
{
public:
    EntryPeers(daemon::Context &context, http::ProxyServer &proxy);
    ~EntryPeers();
    EntryPeers(const EntryPeers &) = delete;
    EntryPeers &operator=(const EntryPeers &) = delete;

private:
    void send(const std::vector<routing::UpstreamUpdate> &updates, const std::vector<routing::ShareMessage> &messages);
    void onFrame(const protocol::ChannelPtr &channel, const protocol::Frame &frame);

    daemon::Context &context_;
    http::ProxyServer &proxy_;
    std::map<std::string, std::unique_ptr<protocol::Peer>> peers_; ///< By node.
    std::optional<protocol::Listener> listener_;
    std::shared_ptr<EntryPeers *> alive_;
};

} // namespace yuccawheel::entry
