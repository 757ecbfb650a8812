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
    , updateTimer_(io)
    , leaveTimer_(io)
{
    updatePeriodically();
}

// An incarnation is the wall clock at the start of a process, and the clock may have been set back since. Therefore a
// lower incarnation is rejected only while the higher one is alive: otherwise the process has restarted with an earlier
// clock and must not be locked out.
std::optional<std::string> Members::rejectionReason(const Identity &peer) const
{
    if (leaving_) {
        return "leaving";
    }
    const auto found = nodeIds_.find(keyOf(peer));
    if (found == nodeIds_.end()) {
        return std::nullopt;
    }
    const bool older = peer.incarnation < membership_.incarnation(found->second).value_or(0);
    if (older && membership_.state(found->second) == coordination::PeerState::Alive) {
        return "an earlier incarnation";
    }
    return std::nullopt;
}

coordination::ProcessId Members::findOrAddProcess(const Identity &peer)
{
    const auto id = static_cast<std::uint32_t>(nodeIds_.size() + 1);
    const auto [place, added] = nodeIds_.try_emplace(keyOf(peer), id);
    if (added) {
        membership_.add({place->second, {}, peer.zone});
    }
    return {place->second, peer.incarnation};
}

void Members::addChannel(const ChannelPtr &channel)
{
    const Identity &peer = channel->peer();
    const coordination::ProcessId process = findOrAddProcess(peer);
    const std::uint64_t known = membership_.incarnation(process.node).value_or(0);
    if (process.incarnation < known) {
        membership_.add({process.node, {}, peer.zone});
    }
    channels_.insert(channel);
    recordActivity(peer);
    updateStates();
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

// A process without an open channel can't send heartbeats to this one, so their absence must not make it suspected. A
// process whose channel has timed out stays suspected.
void Members::removeChannel(const ChannelPtr &channel, bool timedOut)
{
    channels_.erase(channel);
    const auto found = nodeIds_.find(keyOf(channel->peer()));
    const bool others = std::any_of(channels_.begin(), channels_.end(), [&channel](const ChannelPtr &other) {
        return keyOf(other->peer()) == keyOf(channel->peer());
    });
    if (found != nodeIds_.end() && !others && !timedOut) {
        membership_.markDisconnected(found->second);
        updateStates();
    }
    if (leaving_ && channels_.empty()) {
        finishLeaving();
    }
}

void Members::recordActivity(const Identity &peer)
{
    membership_.receive({findOrAddProcess(peer), false}, base::BootClock::now());
}

coordination::PeerState Members::state(const Identity &peer) const
{
    const auto found = nodeIds_.find(keyOf(peer));
    return found == nodeIds_.end() ? coordination::PeerState::Unknown : membership_.state(found->second);
}

void Members::markLeft(const Identity &peer)
{
    membership_.receive({findOrAddProcess(peer), true}, base::BootClock::now());
    updateStates();
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
            closeChannels();
        }
    });
}

// Requests over these channels fail now rather than remain without an answer.
void Members::closeChannels()
{
    const std::vector<ChannelPtr> channels(channels_.begin(), channels_.end());
    for (const ChannelPtr &channel : channels) {
        channel->close("this process leaves");
    }
    finishLeaving();
}

void Members::finishLeaving()
{
    leaveTimer_.cancel();
    if (const auto done = std::exchange(onLeft_, nullptr)) {
        done();
    }
}

void Members::updateStates()
{
    for (const coordination::PeerChange &change : membership_.update(base::BootClock::now())) {
        for (const auto &[key, id] : nodeIds_) {
            if (id == change.node) {
                base::logInfo("member_changed")
                    .with("node", key.second)
                    .with("state", toString(change.after))
                    .with("incarnation", membership_.incarnation(id).value_or(0));
            }
        }
    }
}

void Members::updatePeriodically()
{
    updateStates();
    updateTimer_.expires_after(settings_.expectedInterval);
    updateTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            updatePeriodically();
        }
    });
}

} // namespace yuccawheel::protocol
