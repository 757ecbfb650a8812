#pragma once

#include "base/clock.h"
#include "coordination/membership.h"
#include "protocol/channel.h"
#include "protocol/identity.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>

namespace yuccawheel::protocol
{

/// How long a process that leaves waits until the others have taken note.
inline constexpr std::chrono::milliseconds LeaveTimeout{500};

/// What this process knows of the other processes of the cluster, from the channels to them: their incarnation, and
/// whether they live, are silent or have left. Must outlive the channels.
class Members
{
public:
    Members(boost::asio::io_context &io, Identity self, const coordination::DetectorSettings &settings);
    Members(const Members &) = delete;
    Members &operator=(const Members &) = delete;

    const Identity &self() const
    {
        return self_;
    }
    const coordination::DetectorSettings &settings() const
    {
        return settings_;
    }
    /// Says why no channel to a process may be opened, or nothing if one may be.
    std::optional<std::string> refusal(const Identity &peer) const;
    /// Takes note of a new channel. Closes those to earlier incarnations of its process.
    void opened(const ChannelPtr &channel);
    /// Takes note that a channel has ended; `silent` says that its far side fell silent.
    void closed(const ChannelPtr &channel, bool silent);
    /// Takes note that a process has sent something of late.
    void heard(const Identity &peer);
    /// Returns what is known of the last incarnation heard of.
    coordination::PeerState state(const Identity &peer) const;
    /// Takes note that a process has said that it leaves.
    void left(const Identity &peer);
    /// Says on every channel that this process leaves. Calls `done` once the others have closed the channels, or after
    /// LeaveTimeout. From then on no channel may be opened.
    void leave(std::function<void()> done);

private:
    using Key = std::pair<Role, std::string>;

    static Key keyOf(const Identity &peer)
    {
        return {peer.role, peer.node};
    }
    coordination::ProcessId processOf(const Identity &peer);
    void noteChanges();
    void review();
    void finishLeaving();

    Identity self_;
    coordination::DetectorSettings settings_;
    coordination::Membership membership_;
    std::map<Key, std::uint32_t> numbers_; ///< Node numbers of the membership; counted from 1.
    std::unordered_set<ChannelPtr> channels_;
    boost::asio::steady_timer reviewTimer_;
    boost::asio::steady_timer leaveTimer_;
    std::function<void()> onLeft_; ///< Set while this process leaves.
    bool leaving_ = false;
};

} // namespace yuccawheel::protocol
