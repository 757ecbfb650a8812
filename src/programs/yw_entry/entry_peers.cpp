#include "entry_peers.h"

#include "base/log.h"
#include "daemon/cost.h"
#include "protocol/messages.h"
#include "protocol/routing_messages.h"

#include <boost/asio/post.hpp>

namespace yuccawheel::entry
{

namespace
{

// Hands a message on, or ends a connection that sends what can't be read.
template <typename Message, typename Taker>
void take(const protocol::ChannelPtr &channel, const protocol::Frame &frame, Taker taker)
{
    auto message = protocol::decode<Message>(frame.payload);
    if (message) {
        taker(*message);
    } else {
        channel->close("malformed message");
    }
}

} // namespace

// The proxy calls back on its own thread; the connections belong to the network thread.
EntryPeers::EntryPeers(daemon::Context &context,
                       http::ProxyServer &proxy,
                       routing::ZoneKeyStore &keys,
                       daemon::ZoneConfiguration &configuration)
    : context_(context)
    , proxy_(proxy)
    , keys_(keys)
    , configuration_(configuration)
    , alive_(std::make_shared<EntryPeers *>(this))
{
    protocol::Listener::Callbacks callbacks;
    callbacks.frame = [this](const protocol::ChannelPtr &channel, const protocol::Frame &frame) {
        onFrame(channel, frame);
    };
    listener_.emplace(
        context.io, daemon::toAsio(*context.settings.listen.inner), context.members, std::move(callbacks));
    for (const settings::Peer &peer : context.settings.entries) {
        if (peer.node != context.self.node) {
            peers_[peer.node] = std::make_unique<protocol::Peer>(
                context.io, daemon::toAsio(peer.address), context.members, protocol::Peer::Callbacks{});
        }
    }
    proxy.setPeerSink([this, alive = alive_](std::vector<routing::UpstreamUpdate> updates,
                                             std::vector<routing::ShareMessage> messages) {
        boost::asio::post(context_.io, [this, alive, updates = std::move(updates), messages = std::move(messages)] {
            if (*alive != nullptr) {
                send(updates, messages);
            }
        });
    });
}

EntryPeers::~EntryPeers()
{
    *alive_ = nullptr;
}

void EntryPeers::send(const std::vector<routing::UpstreamUpdate> &updates,
                      const std::vector<routing::ShareMessage> &messages)
{
    if (!updates.empty()) {
        for (const auto &[node, peer] : peers_) {
            peer->notify(protocol::UpstreamUpdates{updates});
        }
    }
    for (const routing::ShareMessage &message : messages) {
        if (message.to.empty()) {
            for (const auto &[node, peer] : peers_) {
                peer->notify(protocol::ShareNotice{message});
            }
        } else if (const auto peer = peers_.find(message.to); peer != peers_.end()) {
            peer->second->notify(protocol::ShareNotice{message});
        }
    }
}

void EntryPeers::send(const std::vector<routing::KeyMessage> &messages)
{
    for (const routing::KeyMessage &message : messages) {
        if (const auto peer = peers_.find(message.to); peer != peers_.end()) {
            peer->second->notify(protocol::KeyNotice{message});
        }
    }
}

void EntryPeers::onFrame(const protocol::ChannelPtr &channel, const protocol::Frame &frame)
{
    if (configuration_.handle(channel, frame)) {
        return;
    }
    if (channel->peer().role != protocol::Role::Entry) {
        channel->close("not an entry");
        return;
    }
    switch (frame.type) {
    case protocol::MessageType::UpstreamUpdates:
        take<protocol::UpstreamUpdates>(channel, frame, [this](protocol::UpstreamUpdates &message) {
            for (routing::UpstreamUpdate &update : message.updates) {
                proxy_.receive(std::move(update));
            }
        });
        break;
    case protocol::MessageType::ShareMessage:
        take<protocol::ShareNotice>(
            channel, frame, [this](protocol::ShareNotice &notice) { proxy_.receive(std::move(notice.message)); });
        break;
    case protocol::MessageType::KeyNotice:
        take<protocol::KeyNotice>(
            channel, frame, [this](const protocol::KeyNotice &notice) { keys_.receive(notice.message); });
        break;
    case protocol::MessageType::Query:
        take<protocol::Query>(channel, frame, [&](const protocol::Query &query) {
            if (query.kind == protocol::QueryKind::Cost) {
                channel->reply(frame.correlation, protocol::QueryReply{daemon::costJson(context_.self)});
            }
        });
        break;
    default:
        break;
    }
}

} // namespace yuccawheel::entry
