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

/// Carries what the routing core has to tell to the other entries, and what they tell to it. Answers the zone's
/// processes about the configuration.
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

    /// Sends what the key store has to tell; on the network thread.
    void send(const std::vector<routing::KeyMessage> &messages);

private:
    /// An entry as a receiver of our updates.
    struct Receiver {
        std::unique_ptr<protocol::Peer> peer;
        routing::ProbeResponder echoes;
    };

    void send(std::vector<routing::UpstreamUpdate> updates,
              const std::vector<routing::ShareMessage> &messages,
              base::TimePoint takenAt);
    void sendUpdates(Receiver &receiver, const protocol::Frame &updates, base::TimePoint now);
    void receive(const protocol::ChannelPtr &channel, protocol::UpstreamUpdates &message);
    void onFrame(const protocol::ChannelPtr &channel, const protocol::Frame &frame);
    routing::TransportDelay &delayOf(const protocol::ChannelPtr &channel);
    protocol::DelayProbe probe() const;
    void probeAll();

    daemon::Context &context_;
    http::ProxyServer &proxy_;
    routing::ZoneKeyStore &keys_;
    daemon::ZoneConfiguration &configuration_;
    std::map<std::string, Receiver> peers_; ///< By node.
    std::map<const protocol::Channel *, routing::TransportDelay> delays_; ///< Of each open connection to us.
    boost::asio::steady_timer probeTimer_;
    std::optional<protocol::Listener> listener_;
    std::shared_ptr<EntryPeers *> alive_;
};

} // namespace yuccawheel::entry
