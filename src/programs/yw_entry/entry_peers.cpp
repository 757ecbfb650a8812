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
/// Age of an update that may have been on the way for any time: it doesn't show that its upstream lives.
constexpr std::chrono::minutes UnknownAge{1};

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

/// Encodes a message once for all its receivers.
template <typename Message>
protocol::Frame noticeOf(const Message &message)
{
    return protocol::Frame{Message::Type, protocol::FrameKind::Notice, 0, protocol::encode(message)};
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
    , probeTimer_(context.io)
    , alive_(std::make_shared<EntryPeers *>(this))
{
    protocol::Listener::Callbacks callbacks;
    callbacks.frame = [this](const protocol::ChannelPtr &channel, const protocol::Frame &frame) {
        onFrame(channel, frame);
    };
    callbacks.closed = [this](const protocol::ChannelPtr &channel) {
        delays_.erase(channel.get());
    };
    listener_.emplace(
        context.io, daemon::toAsio(*context.settings.listen.inner), context.members, std::move(callbacks));
    for (const settings::Peer &peer : context.settings.entries) {
        if (peer.node != context.self.node) {
            protocol::Peer::Callbacks events;
            events.opened = [this](const protocol::ChannelPtr &channel) {
                channel->notify(probe());
            };
            peers_[peer.node].peer = std::make_unique<protocol::Peer>(
                context.io, daemon::toAsio(peer.address), context.members, std::move(events));
        }
    }
    proxy.setPeerSink([this, alive = alive_](std::vector<routing::UpstreamUpdate> updates,
                                             std::vector<routing::ShareMessage> messages) {
        const base::TimePoint takenAt = base::BootClock::now();
        boost::asio::post(context_.io,
                          [this, alive, takenAt, updates = std::move(updates), messages = std::move(messages)] {
                              if (*alive != nullptr) {
                                  send(updates, messages, takenAt);
                              }
                          });
    });
    probeAll();
}

EntryPeers::~EntryPeers()
{
    *alive_ = nullptr;
}

void EntryPeers::send(std::vector<routing::UpstreamUpdate> updates,
                      const std::vector<routing::ShareMessage> &messages,
                      base::TimePoint takenAt)
{
    const base::TimePoint now = base::BootClock::now();
    for (routing::UpstreamUpdate &update : updates) {
        update.age += now - takenAt;
    }
    if (!updates.empty()) {
        const protocol::Frame frame = noticeOf(protocol::UpstreamUpdates{std::move(updates)});
        for (auto &[node, receiver] : peers_) {
            sendUpdates(receiver, frame, now);
        }
    }
    for (const routing::ShareMessage &message : messages) {
        if (message.to.empty()) {
            const protocol::Frame frame = noticeOf(protocol::ShareNotice{message});
            for (const auto &[node, receiver] : peers_) {
                receiver.peer->notifyFrame(frame);
            }
        } else if (const auto receiver = peers_.find(message.to); receiver != peers_.end()) {
            receiver->second.peer->notify(protocol::ShareNotice{message});
        }
    }
}

// The ages hold for the same moment as the echo, so what delays either counts for both.
void EntryPeers::sendUpdates(Receiver &receiver, const protocol::Frame &updates, base::TimePoint now)
{
    if (const auto echo = receiver.echoes.makeEcho(now)) {
        receiver.peer->notify(protocol::DelayEcho{*echo});
    }
    receiver.peer->notifyFrame(updates);
}

void EntryPeers::receive(const protocol::ChannelPtr &channel, protocol::UpstreamUpdates &message)
{
    const auto delay = delayOf(channel).upperBound(base::BootClock::now());
    for (routing::UpstreamUpdate &update : message.updates) {
        update.age = delay ? std::min<base::Duration>(update.age, UnknownAge) + *delay : UnknownAge;
        proxy_.receive(std::move(update));
    }
}

routing::TransportDelay &EntryPeers::delayOf(const protocol::ChannelPtr &channel)
{
    return delays_.try_emplace(channel.get(), context_.self.incarnation).first->second;
}

protocol::DelayProbe EntryPeers::probe() const
{
    return protocol::DelayProbe{routing::makeDelayProbe(context_.self.incarnation, base::BootClock::now())};
}

// A fresh probe keeps the allowance for the drift of clocks small.
void EntryPeers::probeAll()
{
    const protocol::DelayProbe message = probe();
    for (const auto &[node, receiver] : peers_) {
        receiver.peer->notify(message);
    }
    probeTimer_.expires_after(ProbeInterval);
    probeTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            probeAll();
        }
    });
}

void EntryPeers::send(const std::vector<routing::KeyMessage> &messages)
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
        channel->close("not an entry");
        return;
    }
    switch (frame.type) {
    case protocol::MessageType::UpstreamUpdates:
        take<protocol::UpstreamUpdates>(
            channel, frame, [&](protocol::UpstreamUpdates &message) { receive(channel, message); });
        break;
    case protocol::MessageType::DelayProbe:
        take<protocol::DelayProbe>(channel, frame, [&](const protocol::DelayProbe &message) {
            if (const auto receiver = peers_.find(channel->peer().node); receiver != peers_.end()) {
                receiver->second.echoes.handleProbe(message.probe, base::BootClock::now());
            }
        });
        break;
    case protocol::MessageType::DelayEcho:
        take<protocol::DelayEcho>(channel, frame, [&](const protocol::DelayEcho &message) {
            delayOf(channel).handleEcho(message.echo, base::BootClock::now());
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
