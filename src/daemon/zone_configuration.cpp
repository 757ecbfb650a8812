#include "daemon/zone_configuration.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace yuccawheel::daemon
{

namespace
{

constexpr std::chrono::milliseconds RequestTimeout{1'000};
constexpr std::chrono::milliseconds TickInterval{200};

std::vector<settings::Peer> zonePeers(const Context &context)
{
    std::vector<settings::Peer> others;
    std::string own;
    for (const auto *const list : {&context.settings.entries, &context.settings.schedulers}) {
        for (const settings::Peer &peer : *list) {
            if (peer.node == context.self.node) {
                own = peer.address.ip;
            } else if (peer.zone == context.self.zone) {
                others.push_back(peer);
            }
        }
    }
    std::stable_partition(
        others.begin(), others.end(), [&own](const settings::Peer &peer) { return peer.address.ip != own; });
    return others;
}

std::set<std::string> nodeNames(const std::vector<settings::Peer> &peers)
{
    std::set<std::string> nodes;
    for (const settings::Peer &peer : peers) {
        nodes.insert(peer.node);
    }
    return nodes;
}

} // namespace

ZoneConfiguration::ZoneConfiguration(Context &context, OnApply onApply)
    : context_(context)
    , onApply_(std::move(onApply))
    , memory_(nodeNames(zonePeers(context)))
    , timer_(context.io)
    , alive_(std::make_shared<ZoneConfiguration *>(this))
{
    for (settings::Peer &peer : zonePeers(context)) {
        links_.push_back(Link{std::move(peer), 0, false, false, nullptr});
    }
    dialAll();
    onTick();
}

ZoneConfiguration::~ZoneConfiguration()
{
    *alive_ = nullptr;
    links_.clear();
}

void ZoneConfiguration::onStoreUpdate(const protocol::StateUpdate &update)
{
    const std::uint64_t before = memory_.latest().version;
    memory_.onStoreUpdate(update);
    if (memory_.latest().version == before) {
        applyIfPossible();
        return;
    }
    const bool connected = std::any_of(links_.begin(), links_.end(), [](const Link &link) {
        return link.connection && link.connection->isConnected();
    });
    if (!connected) {
        dialAll();
    }
    for (Link &link : links_) {
        sendRequest(link);
    }
    applyIfPossible();
}

// Reconnects to all peers: only a connection attempt that began after the version arrived proves that the address
// refuses connections now.
void ZoneConfiguration::dialAll()
{
    for (Link &link : links_) {
        dial(link);
    }
}

void ZoneConfiguration::dial(Link &link)
{
    link.versionAtDial = memory_.latest().version;
    link.requestPending = false;
    link.needsContent = false;
    protocol::Peer::Callbacks callbacks;
    callbacks.opened = [this, &link](const protocol::ChannelPtr &) {
        link.needsContent = false;
        sendRequest(link);
    };
    callbacks.closed = [&link] {
        link.requestPending = false;
    };
    callbacks.refused = [this, &link] {
        memory_.onConnectionRefused(link.peer.node, link.versionAtDial);
        applyIfPossible();
    };
    link.connection = std::make_unique<protocol::Peer>(
        context_.io, toAsio(link.peer.address), context_.members, std::move(callbacks));
}

void ZoneConfiguration::sendRequest(Link &link)
{
    if (link.requestPending || memory_.isSettled() || !link.connection || !link.connection->isConnected()
        || link.connection->identity().node != link.peer.node) {
        return;
    }
    link.requestPending = true;
    if (memory_.isRecovered()) {
        sendHold(link);
    } else {
        sendRecall(link);
    }
}

void ZoneConfiguration::sendHold(Link &link)
{
    protocol::HoldConfiguration request;
    request.version = memory_.latest().version;
    if (link.needsContent) {
        request.content = memory_.latest();
    }
    link.connection->request(
        request, RequestTimeout, [this, alive = alive_, &link, requestedVersion = request.version](auto answer) {
            if (*alive == nullptr) {
                return;
            }
            link.requestPending = false;
            if (answer) {
                link.needsContent = answer->version < requestedVersion;
                memory_.onHoldReply(link.peer.node, requestedVersion, answer->version);
                applyIfPossible();
            }
            if (requestedVersion != memory_.latest().version) {
                sendRequest(link); // A newer version arrived while the request was pending.
            }
        });
}

void ZoneConfiguration::sendRecall(Link &link)
{
    link.connection->request(
        protocol::RecallConfiguration{}, RequestTimeout, [this, alive = alive_, &link](auto answer) {
            if (*alive == nullptr) {
                return;
            }
            link.requestPending = false;
            if (answer) {
                memory_.onRecallReply(link.peer.node, *answer);
                applyIfPossible();
            }
        });
}

// Applies the latest configuration if that is allowed now, and answers requests that waited for it.
void ZoneConfiguration::applyIfPossible()
{
    if (const protocol::Configuration *const configuration = memory_.takeApplicable()) {
        base::logInfo("configuration_applied").with("version", configuration->version);
        onApply_(*configuration);
    }
    answerWaitingRequests(false);
}

void ZoneConfiguration::logNotReadyReason()
{
    const auto reason = memory_.notReadyReason();
    if (reason && reason != loggedReason_) {
        base::logWarning("configuration_waits").with("reason", *reason);
    }
    loggedReason_ = reason;
}

// One connection is enough while there is nothing to request: heartbeats on all connections would cost more traffic
// than the requests.
void ZoneConfiguration::closeSpareConnections()
{
    const auto first = std::find_if(links_.begin(), links_.end(), [](const Link &link) {
        return link.connection && link.connection->isConnected();
    });
    if (first == links_.end()) {
        return;
    }
    for (Link &link : links_) {
        if (&link != &*first) {
            link.connection.reset();
        }
    }
}

void ZoneConfiguration::onTick()
{
    if (memory_.isSettled()) {
        closeSpareConnections();
    } else {
        for (Link &link : links_) {
            if (!link.connection
                || (link.versionAtDial != memory_.latest().version && !link.connection->isConnected())) {
                dial(link);
            }
            sendRequest(link);
        }
    }
    answerWaitingRequests(true);
    logNotReadyReason();
    timer_.expires_after(TickInterval);
    timer_.async_wait([alive = alive_](const boost::system::error_code &error) {
        if (*alive != nullptr && !error) {
            (*alive)->onTick();
        }
    });
}

bool ZoneConfiguration::handle(const protocol::ChannelPtr &channel, const protocol::Frame &frame)
{
    switch (frame.type) {
    case protocol::MessageType::HoldConfiguration:
        handleHold(channel, frame);
        return true;
    case protocol::MessageType::RecallConfiguration:
        channel->reply(frame.correlation, memory_.onRecall());
        return true;
    default:
        return false;
    }
}

void ZoneConfiguration::handleHold(const protocol::ChannelPtr &channel, const protocol::Frame &frame)
{
    const auto request = protocol::decode<protocol::HoldConfiguration>(frame.payload);
    if (!request) {
        channel->close("malformed message");
        return;
    }
    const protocol::HoldConfigurationReply reply = memory_.onHold(*request);
    if (reply.version < request->version) {
        waiting_.push_back({channel, frame.correlation, request->version});
        return;
    }
    channel->reply(frame.correlation, reply);
    applyIfPossible();
}

// The store leader updates all processes at about the same time, so the version usually arrives here shortly after a
// request for it. The next tick answers the remaining requests.
void ZoneConfiguration::answerWaitingRequests(bool all)
{
    const std::uint64_t kept = memory_.latest().version;
    std::erase_if(waiting_, [all, kept](const WaitingRequest &waiting) {
        const bool answered = all || waiting.version <= kept;
        if (answered) {
            waiting.channel->reply(waiting.correlation, protocol::HoldConfigurationReply{kept});
        }
        return answered;
    });
}

} // namespace yuccawheel::daemon
