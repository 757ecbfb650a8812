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

/// Keeps a connection to one address of the cluster and matches answers with requests.
/// All calls and callbacks are on the io_context's thread.
class Peer
{
public:
    struct Callbacks {
        std::function<void(const ChannelPtr &)> opened;
        std::function<void(const ChannelPtr &, Frame)> notice; ///< Frames that answer no request.
        std::function<void()> closed;
        std::function<void()> refused; ///< No process listens at the address.
    };

    Peer(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint address, Members &members, Callbacks callbacks);
    ~Peer();
    Peer(const Peer &) = delete;
    Peer &operator=(const Peer &) = delete;

    /// Sends a request and calls `done` exactly once with its answer or the reason that there is none.
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

    /// Sends a message that expects no answer. Returns false if it was not sent.
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
    /// Identity of the far side at the last handshake.
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
            return tl::make_unexpected(error ? *error : unreadable(error.error()));
        }
        if (frame.type != Reply::Type) {
            return tl::make_unexpected(unreadable({"unexpected message type"}));
        }
        auto reply = decode<Reply>(frame.payload);
        if (!reply) {
            return tl::make_unexpected(unreadable(reply.error()));
        }
        return std::move(*reply);
    }
    static RequestError unreadable(const DecodeError &error);

    void requestFrame(Frame frame, std::chrono::milliseconds timeout, FrameDone done);
    void finish(std::uint64_t correlation, tl::expected<Frame, RequestError> answer);
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
    std::shared_ptr<Peer *> alive_;
};

} // namespace yuccawheel::protocol
