#pragma once

#include "daemon/daemon.h"
#include "protocol/peer.h"
#include "store/configuration_memory.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace yuccawheel::daemon
{

/// Drives the ConfigurationMemory of an entry or scheduler: exchanges its messages with the other entries and
/// schedulers of the zone and applies configurations that are safe to apply. All calls and callbacks are on the network
/// thread.
class ZoneConfiguration
{
public:
    using OnApply = std::function<void(const protocol::Configuration &)>;

    /// `onApply` applies a configuration; it is called with increasing versions.
    ZoneConfiguration(Context &context, OnApply onApply);
    ~ZoneConfiguration();
    ZoneConfiguration(const ZoneConfiguration &) = delete;
    ZoneConfiguration &operator=(const ZoneConfiguration &) = delete;

    void onStoreUpdate(const protocol::StateUpdate &update);
    /// Handles a configuration request of another process. Returns false if the frame is not one.
    bool handle(const protocol::ChannelPtr &channel, const protocol::Frame &frame);

    std::optional<std::string> notReadyReason() const
    {
        return memory_.notReadyReason();
    }

private:
    /// Another entry or scheduler of the zone.
    struct Link {
        settings::Peer peer;
        std::uint64_t versionAtDial = 0; ///< Latest local version when the current connection attempt began.
        bool requestPending = false;
        bool needsContent = false; ///< Replied that it holds a lower version, so the next request carries the content.
        std::unique_ptr<protocol::Peer> connection;
    };

    /// A HoldConfiguration request for a version that has not arrived here yet.
    struct WaitingRequest {
        protocol::ChannelPtr channel;
        std::uint64_t correlation = 0;
        std::uint64_t version = 0;
    };

    void handleHold(const protocol::ChannelPtr &channel, const protocol::Frame &frame);
    /// Replies to waiting requests whose version has arrived, or to all of them.
    void answerWaitingRequests(bool all);
    void applyIfPossible();
    void dial(Link &link);
    void dialAll();
    void sendRequest(Link &link);
    void sendHold(Link &link);
    void sendRecall(Link &link);
    void closeSpareConnections();
    void logNotReadyReason();
    void onTick();

    Context &context_;
    OnApply onApply_;
    store::ConfigurationMemory memory_;
    std::vector<Link> links_; ///< Links to other VMs first. Never resized: callbacks refer to elements.
    std::vector<WaitingRequest> waiting_;
    std::optional<std::string> loggedReason_; ///< Not-ready reason at the last check.
    boost::asio::steady_timer timer_;
    std::shared_ptr<ZoneConfiguration *> alive_;
};

} // namespace yuccawheel::daemon
