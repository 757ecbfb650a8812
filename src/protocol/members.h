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

/// How long a leaving process waits for the other processes to close their channels.
inline constexpr std::chrono::milliseconds LeaveTimeout{500};

/// Tracks the incarnation and the liveness (alive, suspected, left) of the other processes of the cluster from the
/// channels to them. Must outlive the channels.
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
    /// Returns why a channel to a process must not be opened, or nothing if it may be opened.
    std::optional<std::string> rejectionReason(const Identity &peer) const;
    /// Registers a new channel and closes the channels to other incarnations of the same process.
    void addChannel(const ChannelPtr &channel);
    /// Removes a closed channel. `timedOut` says that it was closed because the peer sent nothing in time.
    void removeChannel(const ChannelPtr &channel, bool timedOut);
    /// Records that data from a process has arrived.
    void recordActivity(const Identity &peer);
    /// Returns the state of the last known incarnation.
    coordination::PeerState state(const Identity &peer) const;
    /// Records that a process has announced that it leaves.
    void markLeft(const Identity &peer);
    /// Announces on every channel that this process leaves, and rejects new channels from now on. Calls `done` once the
    /// other processes have closed their channels; those still open after LeaveTimeout are closed.
    void leave(std::function<void()> done);

private:
    using Key = std::pair<Role, std::string>;

    static Key keyOf(const Identity &peer)
    {
        return {peer.role, peer.node};
    }
    /// Returns the id of a process; adds the process to the membership if it is new.
    coordination::ProcessId findOrAddProcess(const Identity &peer);
    /// Updates the membership's states and logs each change.
    void updateStates();
    void updatePeriodically();
    void closeChannels();
    void finishLeaving();

    Identity self_;
    coordination::DetectorSettings settings_;
    coordination::Membership membership_;
    std::map<Key, std::uint32_t> nodeIds_; ///< Node ids in `membership_`, starting at 1.
    std::unordered_set<ChannelPtr> channels_;
    boost::asio::steady_timer updateTimer_;
    boost::asio::steady_timer leaveTimer_;
    std::function<void()> onLeft_; ///< Set while this process leaves.
    bool leaving_ = false;
};

} // namespace yuccawheel::protocol
