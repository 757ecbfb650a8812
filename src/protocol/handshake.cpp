#include "protocol/handshake.h"

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <fmt/core.h>

#include <memory>

namespace yuccawheel::protocol
{

namespace asio = boost::asio;

namespace
{

// A handshake in progress. Its pending handlers keep it alive; it fails at the latest after HandshakeTimeout.
class Handshake : public std::enable_shared_from_this<Handshake>
{
public:
    Handshake(asio::ip::tcp::socket socket, const Members &members, HandshakeDone done, HandshakeFailed failed)
        : socket_(std::move(socket))
        , timer_(socket_.get_executor())
        , members_(members)
        , done_(std::move(done))
        , failed_(std::move(failed))
    {
    }

    void accept()
    {
        startTimer();
        readFrame(MessageType::Hello, [this](std::string_view payload) { onHello(payload); });
    }

    void offer()
    {
        startTimer();
        write(Frame{Hello::Type, FrameKind::Request, 0, encode(Hello{ProtocolVersion, members_.self()})},
              [this] { readFrame(MessageType::HelloReply, [this](std::string_view payload) { onReply(payload); }); });
    }

private:
    void startTimer()
    {
        timer_.expires_after(HandshakeTimeout);
        timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error) {
                self->fail("handshake timed out");
            }
        });
    }

    template <typename Next>
    void readFrame(MessageType expected, Next next)
    {
        asio::async_read(socket_,
                         asio::buffer(header_),
                         [this, expected, next, self = shared_from_this()](const auto &error, std::size_t) {
                             if (error) {
                                 fail(error.message());
                                 return;
                             }
                             const auto header = decodeHeader(header_);
                             if (!header || header->frame.type != expected || header->payloadBytes > MaxHelloBytes) {
                                 fail("not a handshake of the inner protocol");
                                 return;
                             }
                             payload_.resize(header->payloadBytes);
                             readPayload(next);
                         });
    }

    template <typename Next>
    void readPayload(Next next)
    {
        asio::async_read(
            socket_, asio::buffer(payload_), [this, next, self = shared_from_this()](const auto &error, std::size_t) {
                if (error) {
                    fail(error.message());
                    return;
                }
                next(payload_);
            });
    }

    template <typename Next>
    void write(const Frame &frame, Next next)
    {
        const FrameHeader header = encodeHeader(frame);
        output_.assign(header.begin(), header.end());
        output_ += frame.payload;
        asio::async_write(
            socket_, asio::buffer(output_), [this, next, self = shared_from_this()](const auto &error, std::size_t) {
                if (error) {
                    fail(error.message());
                    return;
                }
                next();
            });
    }

    void onHello(std::string_view payload)
    {
        const auto hello = decode<Hello>(payload);
        std::string reason;
        if (!hello) {
            reason = "malformed hello: " + hello.error().message;
        } else if (hello->version != ProtocolVersion) {
            reason = fmt::format("protocol version {}, expected {}", hello->version, ProtocolVersion);
        } else {
            reason = rejectionReason(hello->identity);
        }
        const HelloReply reply{reason.empty(), reason, members_.self()};
        write(Frame{HelloReply::Type, FrameKind::Response, 0, encode(reply)}, [this, reason, hello] {
            if (reason.empty()) {
                succeed(hello->identity);
            } else {
                fail(reason);
            }
        });
    }

    void onReply(std::string_view payload)
    {
        const auto reply = decode<HelloReply>(payload);
        if (!reply) {
            fail("malformed handshake reply: " + reply.error().message);
        } else if (!reply->accepted) {
            fail("refused: " + reply->reason);
        } else if (const std::string reason = rejectionReason(reply->identity); !reason.empty()) {
            fail(reason);
        } else {
            succeed(reply->identity);
        }
    }

    // Returns why the peer is rejected, or an empty string if it is accepted.
    std::string rejectionReason(const Identity &peer) const
    {
        return peer.cluster == members_.self().cluster ? members_.rejectionReason(peer).value_or("")
                                                       : "another cluster";
    }

    void succeed(const Identity &peer)
    {
        timer_.cancel();
        if (const auto done = std::exchange(done_, nullptr)) {
            failed_ = nullptr;
            done(std::move(socket_), peer);
        }
    }

    void fail(const std::string &reason)
    {
        timer_.cancel();
        boost::system::error_code ignored;
        socket_.close(ignored);
        if (const auto failed = std::exchange(failed_, nullptr)) {
            done_ = nullptr;
            failed(reason);
        }
    }

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    const Members &members_;
    HandshakeDone done_;
    HandshakeFailed failed_;
    FrameHeader header_{};
    std::string payload_;
    std::string output_;
};

} // namespace

void acceptHandshake(asio::ip::tcp::socket socket, const Members &members, HandshakeDone done, HandshakeFailed failed)
{
    std::make_shared<Handshake>(std::move(socket), members, std::move(done), std::move(failed))->accept();
}

void offerHandshake(asio::ip::tcp::socket socket, const Members &members, HandshakeDone done, HandshakeFailed failed)
{
    std::make_shared<Handshake>(std::move(socket), members, std::move(done), std::move(failed))->offer();
}

} // namespace yuccawheel::protocol
