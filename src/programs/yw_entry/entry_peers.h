#pragma once

#include "daemon/daemon.h"
#include "daemon/zone_configuration.h"
#include "http/proxy_server.h"
#include "protocol/listener.h"
#include "protocol/peer.h"
#include "protocol/routing_messages.h"
#include "routing/transport_delay.h"
#include "routing/zone_key_store.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace yuccawheel::entry
{

/// Exchanges the routing core's messages with the other entries. Serves the configuration to the zone's processes.
class EntryPeers
{
public:
    EntryPeers(daemon::Context &context,
               http::ProxyServer &proxy,
               routing::ZoneKeyStore &keys,
               daemon::ZoneConfiguration &configuration);
    ~EntryPeers();
    EntryPeers(const EntryPeers &) = delete;
    EntryPeers &operator=(const EntryPeers &) = delete;

    /// Sends messages of the key store. Must be called on the network thread.
    void sendKeyMessages(const std::vector<routing::KeyMessage> &messages);

private:
    /// Connection to another entry.
    struct RemoteEntry {
        std::unique_ptr<protocol::Peer> peer;
        routing::ProbeResponder probeResponder;
    };

    void sendRoutingMessages(std::vector<routing::UpstreamUpdate> updates,
                             const std::vector<routing::ShareMessage> &messages,
                             base::TimePoint collectedAt);
    void sendUpdates(RemoteEntry &remote, const protocol::Frame &updates, base::TimePoint now);
    void receiveUpdates(const protocol::ChannelPtr &channel, protocol::UpstreamUpdates &message);
    void onFrame(const protocol::ChannelPtr &channel, const protocol::Frame &frame);
    routing::TransportDelay &delayOf(const protocol::ChannelPtr &channel);
    protocol::DelayProbe makeProbe() const;
    void sendProbes();

    daemon::Context &context_;
    http::ProxyServer &proxy_;
    routing::ZoneKeyStore &keys_;
    daemon::ZoneConfiguration &configuration_;
    std::map<std::string, RemoteEntry> peers_; ///< By node name.
    std::map<const protocol::Channel *, routing::TransportDelay> transportDelays_; ///< By open inbound connection.
    boost::asio::steady_timer probeTimer_;
    std::optional<protocol::Listener> listener_;
    std::shared_ptr<EntryPeers *> alive_; ///< Holds null after destruction; checked by posted callbacks.
};

} // namespace yuccawheel::entry
