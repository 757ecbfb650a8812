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

/// Keeps the configuration of an entry or scheduler together with the other processes of its zone.
/// All calls and callbacks are on the network thread.
class ZoneConfiguration
{
public:
    using OnApply = std::function<void(const protocol::Configuration &)>;

    /// `onApply` puts a configuration in force; versions only rise.
    ZoneConfiguration(Context &context, OnApply onApply);
    ~ZoneConfiguration();
    ZoneConfiguration(const ZoneConfiguration &) = delete;
    ZoneConfiguration &operator=(const ZoneConfiguration &) = delete;

    void onStoreUpdate(const protocol::StateUpdate &update);
    /// Answers a frame of another process. Returns false if the frame concerns something else.
    bool handle(const protocol::ChannelPtr &channel, const protocol::Frame &frame);

    std::optional<std::string> notReadyReason() const
    {
        return memory_.notReadyReason();
    }

private:
    struct Link {
        settings::Peer peer;
        std::uint64_t dialledFor = 0; ///< Version kept here when dialling began.
        bool asking = false;
        bool lacksContent = false; ///< Has said that it keeps a lower version.
        std::unique_ptr<protocol::Peer> connection;
    };

    /// A question that waits until the version has arrived here too.
    struct Waiting {
        protocol::ChannelPtr channel;
        std::uint64_t correlation = 0;
        std::uint64_t version = 0;
    };

    void answerHold(const protocol::ChannelPtr &channel, const protocol::Frame &frame);
    void answerWaiting(bool all);
    void advance();
    void dial(Link &link);
    void redial();
    void ask(Link &link);
    void askHold(Link &link);
    void askRecall(Link &link);
    void hangUp();
    void logWaiting();
    void onTick();

    Context &context_;
    OnApply onApply_;
    store::ConfigurationMemory memory_;
    std::vector<Link> links_; ///< Those on other VMs first. The number doesn't change.
    std::vector<Waiting> waiting_;
    std::optional<std::string> loggedReason_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<ZoneConfiguration *> alive_;
};

} // namespace yuccawheel::daemon
