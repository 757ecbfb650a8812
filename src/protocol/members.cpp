#include "protocol/members.h"

#include "base/log.h"

#include <algorithm>
#include <string_view>
#include <vector>

namespace yuccawheel::protocol
{

namespace
{

std::string_view toString(coordination::PeerState state)
{
    switch (state) {
    case coordination::PeerState::Unknown:
        return "disconnected";
    case coordination::PeerState::Alive:
        return "alive";
    case coordination::PeerState::Suspected:
        return "suspected";
    case coordination::PeerState::Left:
        return "left";
    }
    return "disconnected";
}

} // namespace

Members::Members(boost::asio::io_context &io, Identity self, const coordination::DetectorSettings &settings)
    : self_(std::move(self))
    , settings_(settings)
    , membership_({}, settings)
    , reviewTimer_(io)
    , leaveTimer_(io)
{
    review();
}

// An incarnation is the wall clock at the start of a process, which may have been set back. So an earlier incarnation
// is refused only while the later one lives: otherwise the later one is gone and the clock explains the lower number.
std::optional<std::string> Members::refusal(const Identity &peer) const
{
    if (leaving_) {
        return "leaving";
    }
    const auto found = numbers_.find(keyOf(peer));
    if (found == numbers_.end()) {
        return std::nullopt;
    }
    const bool older = peer.incarnation < membership_.incarnation(found->second).value_or(0);
    if (older && membership_.state(found->second) == coordination::PeerState::Alive) {
        return "an earlier incarnation";
    }
    return std::nullopt;
}

coordination::ProcessId Members::processOf(const Identity &peer)
{
    const auto number = static_cast<std::uint32_t>(numbers_.size() + 1);
    const auto [place, added] = numbers_.try_emplace(keyOf(peer), number);
    if (added) {
        membership_.add({place->second, {}, peer.zone});
    }
    return {place->second, peer.incarnation};
}

void Members::opened(const ChannelPtr &channel)
{
    const Identity &peer = channel->peer();
    const coordination::ProcessId process = processOf(peer);
    const std::uint64_t known = membership_.incarnation(process.node).value_or(0);
    if (process.incarnation < known) {
        membership_.add({process.node, {}, peer.zone});
    }
    channels_.insert(channel);
    heard(peer);
    noteChanges();
    std::vector<ChannelPtr> outdated;
    for (const ChannelPtr &other : channels_) {
        if (keyOf(other->peer()) == keyOf(peer) && other->peer().incarnation != peer.incarnation) {
            outdated.push_back(other);
        }
    }
    for (const ChannelPtr &other : outdated) {
        other->close("another incarnation has connected");
    }
}

// A process to which no channel is open sends no heartbeats here, so their lack says nothing about it. One that fell
// silent on its channel stays suspected.
void Members::closed(const ChannelPtr &channel, bool silent)
{
    channels_.erase(channel);
    const auto found = numbers_.find(keyOf(channel->peer()));
    const bool others = std::any_of(channels_.begin(), channels_.end(), [&channel](const ChannelPtr &other) {
        return keyOf(other->peer()) == keyOf(channel->peer());
    });
    if (found != numbers_.end() && !others && !silent) {
        membership_.markDisconnected(found->second);
        noteChanges();
    }
    if (leaving_ && channels_.empty()) {
        finishLeaving();
    }
}

void Members::heard(const Identity &peer)
{
    membership_.receive({processOf(peer), false}, base::BootClock::now());
}

coordination::PeerState Members::state(const Identity &peer) const
{
    const auto found = numbers_.find(keyOf(peer));
    return found == numbers_.end() ? coordination::PeerState::Unknown : membership_.state(found->second);
}

void Members::left(const Identity &peer)
{
    membership_.receive({processOf(peer), true}, base::BootClock::now());
    noteChanges();
}

void Members::leave(std::function<void()> done)
{
    leaving_ = true;
    onLeft_ = std::move(done);
    for (const ChannelPtr &channel : channels_) {
        channel->send(Frame{MessageType::Leave, FrameKind::Notice, 0, {}});
    }
    leaveTimer_.expires_after(channels_.empty() ? std::chrono::milliseconds::zero() : LeaveTimeout);
    leaveTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            finishLeaving();
        }
    });
}

void Members::finishLeaving()
{
    leaveTimer_.cancel();
    if (const auto done = std::exchange(onLeft_, nullptr)) {
        done();
    }
}

void Members::noteChanges()
{
    for (const coordination::PeerChange &change : membership_.update(base::BootClock::now())) {
        for (const auto &[key, number] : numbers_) {
            if (number == change.node) {
                base::logInfo("member_changed")
                    .with("node", key.second)
                    .with("state", toString(change.after))
                    .with("incarnation", membership_.incarnation(number).value_or(0));
            }
        }
    }
}

void Members::review()
{
    noteChanges();
    reviewTimer_.expires_after(settings_.expectedInterval);
    reviewTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            review();
        }
    });
}

} // namespace yuccawheel::protocol
