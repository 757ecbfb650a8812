#pragma once

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

inline constexpr std::chrono::milliseconds HeartbeatInterval{500};
/// A connection on which nothing arrives for this long is closed, open or not.
inline constexpr std::chrono::milliseconds SilenceLimit{3000};
inline constexpr std::size_t MaxQueuedBytes = 8U << 20U;

class Channel;
using ChannelPtr = std::shared_ptr<Channel>;

/// One connection after its handshake: frames in both directions, heartbeats, a bounded send queue.
/// All calls and callbacks are on the io_context's thread.
class Channel : public std::enable_shared_from_this<Channel>
{
public:
    struct Callbacks {
        std::function<void(const ChannelPtr &, Frame)> frame;
        std::function<void(const ChannelPtr &, std::string_view reason)> closed;
    };

    Channel(boost::asio::ip::tcp::socket socket, Identity peer);

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
    bool isOpen() const
    {
        return open_;
    }

private:
    void readHeader();
    void readPayload(Frame frame, std::size_t bytes);
    void writeNext();
    void onTimer();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    Identity peer_;
    Callbacks callbacks_;
    FrameHeader readBuffer_{};
    std::deque<std::string> queue_;
    std::size_t queuedBytes_ = 0;
    std::chrono::steady_clock::time_point lastReceived_;
    std::chrono::steady_clock::time_point lastSent_;
    bool open_ = true;
    bool writing_ = false;
};

} // namespace yuccawheel::protocol
