#pragma once

#include "base/clock.h"
#include "coordination/heartbeat_timeout_estimator.h"
#include "protocol/error.h"
#include "protocol/frame.h"
#include "protocol/identity.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace yuccawheel::protocol
{

/// Limit of a channel's send queue.
inline constexpr std::size_t MaxQueuedBytes = 8U << 20U;

class Channel;
class Members;
using ChannelPtr = std::shared_ptr<Channel>;

/// A connection whose handshake has succeeded: exchanges frames, sends heartbeats and has a bounded send queue. It
/// closes itself when nothing arrives within a timeout that adapts to the peer's heartbeat intervals, and when the peer
/// announces that it leaves. All calls and callbacks run on the io_context's thread.
class Channel : public std::enable_shared_from_this<Channel>
{
public:
    struct Callbacks {
        std::function<void(const ChannelPtr &, Frame)> frame;
        std::function<void(const ChannelPtr &, std::string_view reason)> closed;
    };

    /// `members` must outlive the channel.
    Channel(boost::asio::ip::tcp::socket socket, Identity peer, Members &members);

    /// Starts reading frames and sending heartbeats.
    void start(Callbacks callbacks);

    /// Queues a frame. Returns false, without sending it, if the channel is closed, the queue is full or the payload
    /// exceeds MaxPayloadBytes.
    bool send(const Frame &frame);

    /// Sends a message that has no reply. Fails like `send`.
    template <typename Message>
    bool notify(const Message &message)
    {
        return send(Frame{Message::Type, FrameKind::Notice, 0, encode(message)});
    }

    /// Sends the reply to a request. Fails like `send`.
    template <typename Message>
    bool reply(std::uint64_t correlation, const Message &message)
    {
        return send(Frame{Message::Type, FrameKind::Response, correlation, encode(message)});
    }

    /// Closes the connection and calls `closed` with the reason. Does nothing if the channel is closed already.
    void close(std::string_view reason);

    const Identity &peer() const
    {
        return peer_;
    }

private:
    void read();
    void handleInput();
    void handleFrame(Frame frame);
    void writeNext();
    void onReceived();
    void onTimer();
    void compensateForPause(base::TimePoint now);
    void startTimer(base::TimePoint now);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    Identity peer_;
    Members &members_;
    Callbacks callbacks_;
    std::string input_; ///< Read buffer; its first `inputBytes_` bytes have not been handled yet.
    std::size_t inputBytes_ = 0;
    std::size_t missingBytes_ = 0; ///< Of the frame at the start of the input; 0 if unknown.
    std::deque<std::string> queue_;
    std::size_t queuedBytes_ = 0;
    coordination::HeartbeatTimeoutEstimator timeoutEstimator_;
    base::Duration
        longestGap_{}; ///< Longest time between two receptions since the timer last fired; zero if nothing has arrived.
    base::TimePoint lastReceived_;
    base::TimePoint lastSent_;
    base::TimePoint timerDue_;
    bool open_ = true;
    bool writing_ = false;
};

} // namespace yuccawheel::protocol
