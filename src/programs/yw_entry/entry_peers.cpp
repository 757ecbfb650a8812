#include "entry_peers.h"

#include "base/log.h"
#include "daemon/cost.h"
#include "protocol/messages.h"
#include "protocol/routing_messages.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace yuccawheel::entry
{

namespace
{

constexpr std::chrono::seconds ProbeInterval{2};
/// Age given to an update whose transport delay is unknown: old enough that it does not count as a sign of life of its
/// upstream.
constexpr std::chrono::minutes UnknownAge{1};

// Decodes a message and passes it to `handler`; closes the connection if the message is malformed.
template <typename Message, typename Handler>
void decodeOrClose(const protocol::ChannelPtr &channel, const protocol::Frame &frame, Handler handler)
{
    auto message = protocol::decode<Message>(frame.payload);
    if (message) {
        handler(*message);
    } else {
        channel->close("malformed message");
    }
}

/// Encodes a notice once for all its receivers.
template <typename Message>
protocol::Frame makeNotice(const Message &message)
{
    return protocol::Frame{Message::Type, protocol::FrameKind::Notice, 0, protocol::encode(message)};
}

} // namespace

// The proxy calls the peer sink on its own thread; connections are used on the network thread only.
EntryPeers::EntryPeers(daemon::Context &context,
                       http::ProxyServer &proxy,
                       routing::ZoneKeyStore &keys,
                       daemon::ZoneConfiguration &configuration)
    : context_(context)
    , proxy_(proxy)
    , keys_(keys)
    , configuration_(configuration)
    , probeTimer_(context.io)
    , alive_(std::make_shared<EntryPeers *>(this))
{
    protocol::Listener::Callbacks callbacks;
    callbacks.frame = [this](const protocol::ChannelPtr &channel, const protocol::Frame &frame) {
        onFrame(channel, frame);
    };
    callbacks.closed = [this](const protocol::ChannelPtr &channel) {
        transportDelays_.erase(channel.get());
    };
    listener_.emplace(
        context.io, daemon::toAsio(*context.settings.listen.inner), context.members, std::move(callbacks));
    for (const settings::Peer &peer : context.settings.entries) {
        if (peer.node != context.self.node) {
            protocol::Peer::Callbacks events;
            events.opened = [this](const protocol::ChannelPtr &channel) {
                channel->notify(makeProbe());
            };
            peers_[peer.node].peer = std::make_unique<protocol::Peer>(
                context.io, daemon::toAsio(peer.address), context.members, std::move(events));
        }
    }
    proxy.setPeerSink([this, alive = alive_](std::vector<routing::UpstreamUpdate> updates,
                                             std::vector<routing::ShareMessage> messages) {
        const base::TimePoint collectedAt = base::BootClock::now();
        boost::asio::post(context_.io,
                          [this, alive, collectedAt, updates = std::move(updates), messages = std::move(messages)] {
                              if (*alive != nullptr) {
                                  sendRoutingMessages(updates, messages, collectedAt);
                              }
                          });
    });
    sendProbes();
}

EntryPeers::~EntryPeers()
{
    *alive_ = nullptr;
}

void EntryPeers::sendRoutingMessages(std::vector<routing::UpstreamUpdate> updates,
                                     const std::vector<routing::ShareMessage> &messages,
                                     base::TimePoint collectedAt)
{
    const base::TimePoint now = base::BootClock::now();
    for (routing::UpstreamUpdate &update : updates) {
        update.age += now - collectedAt;
    }
    if (!updates.empty()) {
        const protocol::Frame frame = makeNotice(protocol::UpstreamUpdates{std::move(updates)});
        for (auto &[node, remote] : peers_) {
            sendUpdates(remote, frame, now);
        }
    }
    for (const routing::ShareMessage &message : messages) {
        if (message.to.empty()) {
            const protocol::Frame frame = makeNotice(protocol::ShareNotice{message});
            for (const auto &[node, remote] : peers_) {
                remote.peer->notifyFrame(frame);
            }
        } else if (const auto remote = peers_.find(message.to); remote != peers_.end()) {
            remote->second.peer->notify(protocol::ShareNotice{message});
        }
    }
}

// The echo is sent directly before the updates whose ages it accompanies, so that the measured transport delay covers
// both.
void EntryPeers::sendUpdates(RemoteEntry &remote, const protocol::Frame &updates, base::TimePoint now)
{
    if (const auto echo = remote.probeResponder.makeEcho(now)) {
        remote.peer->notify(protocol::DelayEcho{*echo});
    }
    remote.peer->notifyFrame(updates);
}

void EntryPeers::receiveUpdates(const protocol::ChannelPtr &channel, protocol::UpstreamUpdates &message)
{
    const auto delay = delayOf(channel).upperBound(base::BootClock::now());
    for (routing::UpstreamUpdate &update : message.updates) {
        update.age = delay ? std::min<base::Duration>(update.age, UnknownAge) + *delay : UnknownAge;
        proxy_.receive(std::move(update));
    }
}

routing::TransportDelay &EntryPeers::delayOf(const protocol::ChannelPtr &channel)
{
    return transportDelays_.try_emplace(channel.get(), context_.self.incarnation).first->second;
}

protocol::DelayProbe EntryPeers::makeProbe() const
{
    return protocol::DelayProbe{routing::makeDelayProbe(context_.self.incarnation, base::BootClock::now())};
}

// Frequent probes keep the allowance for clock drift small.
void EntryPeers::sendProbes()
{
    const protocol::DelayProbe message = makeProbe();
    for (const auto &[node, remote] : peers_) {
        remote.peer->notify(message);
    }
    probeTimer_.expires_after(ProbeInterval);
    probeTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            sendProbes();
        }
    });
}

void EntryPeers::sendKeyMessages(const std::vector<routing::KeyMessage> &messages)
{
    for (const routing::KeyMessage &message : messages) {
        if (const auto peer = peers_.find(message.to); peer != peers_.end()) {
            peer->second.peer->notify(protocol::KeyNotice{message});
        }
    }
}

void EntryPeers::onFrame(const protocol::ChannelPtr &channel, const protocol::Frame &frame)
{
    if (configuration_.handle(channel, frame)) {
        return;
    }
    if (channel->peer().role != protocol::Role::Entry) {
        channel->close("only entries may send this message");
        return;
    }
    switch (frame.type) {
    case protocol::MessageType::UpstreamUpdates:
        decodeOrClose<protocol::UpstreamUpdates>(
            channel, frame, [&](protocol::UpstreamUpdates &message) { receiveUpdates(channel, message); });
        break;
    case protocol::MessageType::DelayProbe:
        decodeOrClose<protocol::DelayProbe>(channel, frame, [&](const protocol::DelayProbe &message) {
            if (const auto remote = peers_.find(channel->peer().node); remote != peers_.end()) {
                remote->second.probeResponder.handleProbe(message.probe, base::BootClock::now());
            }
        });
        break;
    case protocol::MessageType::DelayEcho:
        decodeOrClose<protocol::DelayEcho>(channel, frame, [&](const protocol::DelayEcho &message) {
            delayOf(channel).handleEcho(message.echo, base::BootClock::now());
        });
        break;
    case protocol::MessageType::ShareMessage:
        decodeOrClose<protocol::ShareNotice>(
            channel, frame, [this](protocol::ShareNotice &notice) { proxy_.receive(std::move(notice.message)); });
        break;
    case protocol::MessageType::KeyNotice:
        decodeOrClose<protocol::KeyNotice>(
            channel, frame, [this](const protocol::KeyNotice &notice) { keys_.receive(notice.message); });
        break;
    case protocol::MessageType::Query:
        decodeOrClose<protocol::Query>(channel, frame, [&](const protocol::Query &query) {
            if (query.kind == protocol::QueryKind::ResourceUsage) {
                channel->reply(frame.correlation, protocol::QueryReply{daemon::costJson(context_.self)});
            }
        });
        break;
    default:
        break;
    }
}

} // namespace yuccawheel::entry
