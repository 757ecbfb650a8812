#include "daemon/zone_configuration.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace yuccawheel::daemon
{

namespace
{

constexpr std::chrono::milliseconds AskTimeout{1'000};
constexpr std::chrono::milliseconds AskInterval{200};

std::vector<settings::Peer> othersOf(const Context &context)
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

std::set<std::string> nodesOf(const std::vector<settings::Peer> &peers)
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
    , memory_(nodesOf(othersOf(context)))
    , timer_(context.io)
    , alive_(std::make_shared<ZoneConfiguration *>(this))
{
    for (settings::Peer &peer : othersOf(context)) {
        links_.push_back(Link{std::move(peer), 0, false, false, nullptr});
    }
    redial();
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
        advance();
        return;
    }
    const bool connected = std::any_of(links_.begin(), links_.end(), [](const Link &link) {
        return link.connection && link.connection->isConnected();
    });
    if (!connected) {
        redial();
    }
    for (Link &link : links_) {
        ask(link);
    }
    advance();
}

// Only an attempt that began after the version arrived shows that the address refuses now.
void ZoneConfiguration::redial()
{
    for (Link &link : links_) {
        dial(link);
    }
}

void ZoneConfiguration::dial(Link &link)
{
    link.dialledFor = memory_.latest().version;
    link.asking = false;
    link.lacksContent = false;
    protocol::Peer::Callbacks callbacks;
    callbacks.opened = [this, &link](const protocol::ChannelPtr &) {
        link.lacksContent = false;
        ask(link);
    };
    callbacks.closed = [&link] {
        link.asking = false;
    };
    callbacks.refused = [this, &link] {
        memory_.onConnectionRefused(link.peer.node, link.dialledFor);
        advance();
    };
    link.connection = std::make_unique<protocol::Peer>(
        context_.io, toAsio(link.peer.address), context_.members, std::move(callbacks));
}

void ZoneConfiguration::ask(Link &link)
{
    if (link.asking || memory_.isSettled() || !link.connection || !link.connection->isConnected()
        || link.connection->identity().node != link.peer.node) {
        return;
    }
    link.asking = true;
    if (memory_.isRecovered()) {
        askHold(link);
    } else {
        askRecall(link);
    }
}

void ZoneConfiguration::askHold(Link &link)
{
    protocol::HoldConfiguration request;
    request.version = memory_.latest().version;
    if (link.lacksContent) {
        request.content = memory_.latest();
    }
    link.connection->request(
        request, AskTimeout, [this, alive = alive_, &link, askedFor = request.version](auto answer) {
            if (*alive == nullptr) {
                return;
            }
            link.asking = false;
            if (answer) {
                link.lacksContent = answer->version < askedFor;
                memory_.onHoldReply(link.peer.node, askedFor, answer->version);
                advance();
            }
            if (askedFor != memory_.latest().version) {
                ask(link); // The answer says nothing of the version that arrived in the meantime.
            }
        });
}

void ZoneConfiguration::askRecall(Link &link)
{
    link.connection->request(protocol::RecallConfiguration{}, AskTimeout, [this, alive = alive_, &link](auto answer) {
        if (*alive == nullptr) {
            return;
        }
        link.asking = false;
        if (answer) {
            memory_.onRecallReply(link.peer.node, *answer);
            advance();
        }
    });
}

// Puts in force what may be, and tells why something may not.
void ZoneConfiguration::advance()
{
    if (const protocol::Configuration *const configuration = memory_.takeApplicable()) {
        base::logInfo("configuration_applied").with("version", configuration->version);
        onApply_(*configuration);
    }
    answerWaiting(false);
}

void ZoneConfiguration::logWaiting()
{
    const auto reason = memory_.notReadyReason();
    if (reason && reason != loggedReason_) {
        base::logWarning("configuration_waits").with("reason", *reason);
    }
    loggedReason_ = reason;
}

// One connection is enough while nothing is to be asked; heartbeats on all would cost more than the questions.
void ZoneConfiguration::hangUp()
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
        hangUp();
    } else {
        for (Link &link : links_) {
            if (!link.connection || (link.dialledFor != memory_.latest().version && !link.connection->isConnected())) {
                dial(link);
            }
            ask(link);
        }
    }
    answerWaiting(true);
    logWaiting();
    timer_.expires_after(AskInterval);
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
        answerHold(channel, frame);
        return true;
    case protocol::MessageType::RecallConfiguration:
        channel->reply(frame.correlation, memory_.onRecall());
        return true;
    default:
        return false;
    }
}

void ZoneConfiguration::answerHold(const protocol::ChannelPtr &channel, const protocol::Frame &frame)
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
    advance();
}

// The leader tells all at about the same time, so the version mostly arrives here within the next moment.
void ZoneConfiguration::answerWaiting(bool all)
{
    const std::uint64_t kept = memory_.latest().version;
    std::erase_if(waiting_, [all, kept](const Waiting &waiting) {
        const bool answered = all || waiting.version <= kept;
        if (answered) {
            waiting.channel->reply(waiting.correlation, protocol::HoldConfigurationReply{kept});
        }
        return answered;
    });
}

} // namespace yuccawheel::daemon
