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
#include <string_view>

namespace yuccawheel::protocol
{

inline constexpr std::size_t MaxQueuedBytes = 8U << 20U;

class Channel;
class Members;
using ChannelPtr = std::shared_ptr<Channel>;

/// One connection after its handshake: frames in both directions, heartbeats, a bounded send queue. It is closed when
/// nothing arrives for longer than the far side's own rhythm explains, or when the far side says that it leaves.
/// All calls and callbacks are on the io_context's thread.
class Channel : public std::enable_shared_from_this<Channel>
{
public:
    struct Callbacks {
        std::function<void(const ChannelPtr &, Frame)> frame;
        std::function<void(const ChannelPtr &, std::string_view reason)> closed;
    };

    /// `members` must outlive the channel.
    Channel(boost::asio::ip::tcp::socket socket, Identity peer, Members &members);

    /// Starts reading and the heartbeats.
    void start(Callbacks callbacks);

    /// Queues a frame. Returns false if the channel is closed or its queue is full; the frame was then not sent.
    bool send(const Frame &frame);

    /// Sends a message that expects no answer.
    template <typename Message>
    bool notify(const Message &message)
    {
        return send(Frame{Message::Type, FrameKind::Notice, 0, encode(message)});
    }

    /// Sends the answer to a request.
    template <typename Message>
    bool reply(std::uint64_t correlation, const Message &message)
    {
        return send(Frame{Message::Type, FrameKind::Response, correlation, encode(message)});
    }

    void close(std::string_view reason);

    const Identity &peer() const
    {
        return peer_;
    }

private:
    void readHeader();
    void readPayload(Frame frame, std::size_t bytes);
    void writeNext();
    void onReceived();
    void onTimer();
    void forgivePause(base::TimePoint now);
    void startTimer(base::TimePoint now);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    Identity peer_;
    Members &members_;
    Callbacks callbacks_;
    FrameHeader readBuffer_{};
    std::deque<std::string> queue_;
    std::size_t queuedBytes_ = 0;
    coordination::HeartbeatTimeoutEstimator rhythm_;
    base::Duration longestGap_{}; ///< Between arrivals since the timer last ran; zero if nothing has arrived.
    base::TimePoint lastReceived_;
    base::TimePoint lastSent_;
    base::TimePoint timerDue_;
    bool open_ = true;
    bool writing_ = false;
};

} // namespace yuccawheel::protocol
