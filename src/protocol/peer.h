#pragma once

#include "protocol/channel.h"
#include "protocol/members.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>

namespace yuccawheel::protocol
{

/// Client side of the inner protocol: keeps a connection to one address, reconnects with exponential backoff and
/// matches responses with requests. All calls and callbacks run on the io_context's thread.
class Peer
{
public:
    struct Callbacks {
        std::function<void(const ChannelPtr &)> opened;
        std::function<void(const ChannelPtr &, Frame)> notice; ///< For frames that are not responses.
        std::function<void()> closed;
        std::function<void()> refused; ///< The address refused the connection: no process listens there.
    };

    /// Starts to connect. `members` must outlive the peer.
    Peer(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint address, Members &members, Callbacks callbacks);
    ~Peer();
    Peer(const Peer &) = delete;
    Peer &operator=(const Peer &) = delete;

    /// Sends a request and calls `done` with the reply or an error: at once if the request can't be sent, otherwise
    /// when the reply arrives, the timeout expires or the connection is closed. `done` is dropped if the peer is
    /// destroyed first.
    template <typename Request>
    void request(const Request &message,
                 std::chrono::milliseconds timeout,
                 std::function<void(tl::expected<typename Request::Reply, RequestError>)> done)
    {
        using Reply = typename Request::Reply;
        requestFrame(Frame{Request::Type, FrameKind::Request, 0, encode(message)},
                     timeout,
                     [done = std::move(done)](tl::expected<Frame, RequestError> answer) {
                         done(answer.and_then([](const Frame &frame) { return decodeReply<Reply>(frame); }));
                     });
    }

    /// Sends a message that has no reply. Returns false if it was not sent.
    template <typename Message>
    bool notify(const Message &message)
    {
        return channel_ && channel_->notify(message);
    }

    /// Like `notify`, for a frame that is already encoded.
    bool notifyFrame(const Frame &frame)
    {
        return channel_ && channel_->send(frame);
    }

    bool isConnected() const
    {
        return channel_ != nullptr;
    }
    /// Returns the remote process's identity at the last handshake.
    const Identity &identity() const
    {
        return identity_;
    }
    const boost::asio::ip::tcp::endpoint &address() const
    {
        return address_;
    }

private:
    using FrameDone = std::function<void(tl::expected<Frame, RequestError>)>;
    struct Pending {
        FrameDone done;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    template <typename Reply>
    static tl::expected<Reply, RequestError> decodeReply(const Frame &frame)
    {
        if (frame.type == MessageType::Error) {
            const auto error = decode<RequestError>(frame.payload);
            return tl::make_unexpected(error ? *error : replyDecodeError(error.error()));
        }
        if (frame.type != Reply::Type) {
            return tl::make_unexpected(replyDecodeError({"unexpected message type"}));
        }
        auto reply = decode<Reply>(frame.payload);
        if (!reply) {
            return tl::make_unexpected(replyDecodeError(reply.error()));
        }
        return std::move(*reply);
    }
    static RequestError replyDecodeError(const DecodeError &error);

    void requestFrame(Frame frame, std::chrono::milliseconds timeout, FrameDone done);
    void completeRequest(std::uint64_t correlation, tl::expected<Frame, RequestError> answer);
    void connect();
    void reconnectLater(std::string_view reason);
    void onConnected(boost::asio::ip::tcp::socket socket, Identity identity);
    void onFrame(const ChannelPtr &channel, Frame frame);
    void onClosed(std::string_view reason);

    boost::asio::io_context &io_;
    boost::asio::ip::tcp::endpoint address_;
    Members &members_;
    Identity identity_;
    Callbacks callbacks_;
    ChannelPtr channel_;
    boost::asio::steady_timer retryTimer_;
    std::chrono::milliseconds retryDelay_;
    std::uint64_t nextCorrelation_ = 1;
    std::map<std::uint64_t, Pending> pending_;
    std::shared_ptr<Peer *> alive_; ///< Shared with pending handlers; its pointer is null after destruction.
};

} // namespace yuccawheel::protocol
