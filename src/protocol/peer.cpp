#include "protocol/peer.h"

#include "base/log.h"
#include "protocol/handshake.h"

#include <algorithm>
#include <utility>

namespace yuccawheel::protocol
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds MinRetryDelay{50};
constexpr std::chrono::milliseconds MaxRetryDelay{1000};

} // namespace

Peer::Peer(asio::io_context &io, asio::ip::tcp::endpoint address, Members &members, Callbacks callbacks)
    : io_(io)
    , address_(std::move(address))
    , members_(members)
    , callbacks_(std::move(callbacks))
    , retryTimer_(io)
    , retryDelay_(MinRetryDelay)
    , alive_(std::make_shared<Peer *>(this))
{
    connect();
}

Peer::~Peer()
{
    *alive_ = nullptr;
    if (channel_) {
        channel_->close("stopping");
    }
}

RequestError Peer::replyDecodeError(const DecodeError &error)
{
    return {ErrorCode::BadRequest, base::Verdict::MayHaveRun, "malformed reply: " + error.message, {}};
}

void Peer::requestFrame(Frame frame, std::chrono::milliseconds timeout, FrameDone done)
{
    if (!channel_) {
        done(tl::make_unexpected(RequestError{ErrorCode::Unreachable, base::Verdict::NotRun, "not connected", {}}));
        return;
    }
    const std::uint64_t correlation = nextCorrelation_++;
    frame.correlation = correlation;
    if (!channel_->send(frame)) {
        done(tl::make_unexpected(RequestError{ErrorCode::Overloaded, base::Verdict::NotRun, "send queue full", {}}));
        return;
    }
    auto timer = std::make_unique<asio::steady_timer>(io_, timeout);
    timer->async_wait([alive = alive_, correlation](const boost::system::error_code &error) {
        if (*alive != nullptr && !error) {
            (*alive)->completeRequest(correlation,
                                      tl::make_unexpected(RequestError{
                                          ErrorCode::Timeout, base::Verdict::MayHaveRun, "request timed out", {}}));
        }
    });
    pending_.emplace(correlation, Pending{std::move(done), std::move(timer)});
}

void Peer::completeRequest(std::uint64_t correlation, tl::expected<Frame, RequestError> answer)
{
    const auto found = pending_.find(correlation);
    if (found == pending_.end()) {
        return; // Late reply to a request that has already timed out.
    }
    const auto done = std::move(found->second.done);
    pending_.erase(found);
    done(std::move(answer));
}

void Peer::connect()
{
    auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
    // Without a timeout, an address that drops packets would block the attempt for minutes.
    retryTimer_.expires_after(HandshakeTimeout);
    retryTimer_.async_wait([socket](const boost::system::error_code &error) {
        boost::system::error_code ignored;
        if (!error) {
            socket->close(ignored);
        }
    });
    socket->async_connect(address_, [alive = alive_, socket](const boost::system::error_code &error) {
        Peer *const self = *alive;
        if (self == nullptr) {
            return;
        }
        self->retryTimer_.cancel();
        if (error) {
            self->reconnectLater(error.message());
            if (error == asio::error::connection_refused && self->callbacks_.refused) {
                self->callbacks_.refused();
            }
            return;
        }
        offerHandshake(
            std::move(*socket),
            self->members_,
            [alive](asio::ip::tcp::socket ready, Identity identity) {
                if (*alive != nullptr) {
                    (*alive)->onConnected(std::move(ready), std::move(identity));
                }
            },
            [alive](const std::string &reason) {
                if (*alive != nullptr) {
                    (*alive)->reconnectLater(reason);
                }
            });
    });
}

void Peer::reconnectLater(std::string_view reason)
{
    base::logDebug("peer_unreachable")
        .with("address", address_.address().to_string())
        .with("port", address_.port())
        .with("reason", reason);
    retryTimer_.expires_after(retryDelay_);
    retryDelay_ = std::min(retryDelay_ * 2, MaxRetryDelay);
    retryTimer_.async_wait([alive = alive_](const boost::system::error_code &error) {
        if (*alive != nullptr && !error) {
            (*alive)->connect();
        }
    });
}

void Peer::onConnected(asio::ip::tcp::socket socket, Identity identity)
{
    retryDelay_ = MinRetryDelay;
    identity_ = identity;
    channel_ = std::make_shared<Channel>(std::move(socket), std::move(identity), members_);
    const auto channel = channel_;
    channel->start({[alive = alive_](const ChannelPtr &from, Frame frame) {
                        if (*alive != nullptr) {
                            (*alive)->onFrame(from, std::move(frame));
                        }
                    },
                    [alive = alive_](const ChannelPtr &, std::string_view reason) {
                        if (*alive != nullptr) {
                            (*alive)->onClosed(reason);
                        }
                    }});
    base::logInfo("peer_connected").with("node", identity_.node).with("role", toString(identity_.role));
    if (callbacks_.opened) {
        callbacks_.opened(channel);
    }
}

void Peer::onFrame(const ChannelPtr &channel, Frame frame)
{
    if (frame.kind == FrameKind::Response) {
        const std::uint64_t correlation = frame.correlation;
        completeRequest(correlation, std::move(frame));
    } else if (callbacks_.notice) {
        callbacks_.notice(channel, std::move(frame));
    }
}

void Peer::onClosed(std::string_view reason)
{
    base::logInfo("peer_closed").with("node", identity_.node).with("reason", reason);
    channel_ = nullptr;
    const auto pending = std::exchange(pending_, {});
    for (const auto &[correlation, request] : pending) {
        request.done(
            tl::make_unexpected(RequestError{ErrorCode::Closed, base::Verdict::MayHaveRun, std::string(reason), {}}));
    }
    if (callbacks_.closed) {
        callbacks_.closed();
    }
    reconnectLater(reason);
}

} // namespace yuccawheel::protocol
