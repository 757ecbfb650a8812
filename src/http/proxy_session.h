#pragma once

#include "http/proxy_core.h"
#include "http/proxy_request.h"
#include "http/proxy_stream.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <string>

namespace yuccawheel::http
{

class Exchange;

/// One caller's connection: reads its requests one after the other and answers each.
class ProxySession : public std::enable_shared_from_this<ProxySession>
{
public:
    using RequestParser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    ProxySession(ProxyCore &core, Socket socket, std::string peer);
    ~ProxySession();
    ProxySession(const ProxySession &) = delete;
    ProxySession &operator=(const ProxySession &) = delete;

    void start();
    /// Handles the router's decision on the current request.
    void onDecision(const routing::Decision &decision);
    /// Handles the end of an attempt. `answered` tells whether the whole answer was sent to the caller, `reusable`
    /// whether the caller's request was read completely, so that the connection can be kept.
    void onExchangeEnded(const routing::AttemptResult &result, bool answered, bool reusable);
    /// Handles an error in the request's body while the exchange reads it.
    void onBodyError(const boost::system::error_code &error);
    /// Records the answer for resends with the same key. An answer that is too large is not recorded.
    void recordAnswerHead(unsigned status, std::string_view contentType);
    void recordAnswerBody(std::string_view body);

    /// Returns whether a request is in progress.
    bool isActive() const;
    /// Returns whether the session waits for a request of which no byte has arrived.
    bool isIdle() const;
    bool hasTimedOut(base::TimePoint now) const;
    void handleTimeout(base::TimePoint now);
    /// Ends a request in progress with an error answer, because the process shuts down. Closes the connection instead
    /// if part of the upstream's answer has been sent.
    void giveUpRequest();
    /// Closes the connection and ends a request in progress, because the process shuts down.
    void abort();
    void close();
    /// Closes an idle connection, unless a request has been read already whose handler has not run yet.
    void cancelIdleRead();

    /// Give the exchange access to the caller's connection, the current request and its timeouts.
    Socket &socket();
    boost::beast::flat_buffer &buffer();
    RequestParser &parser();
    std::string_view bodyPrefix() const;
    bool bodyComplete() const;
    const CallerRequest &request() const;
    void startReadTimeout();
    void startWriteTimeout();
    void clearReadTimeout();
    void clearWriteTimeout();

private:
    enum class Phase : std::uint8_t {
        ReadingHead,
        ReadingBody,
        ReservingKey,
        Waiting,
        Exchanging,
        Answering,
        Closing,
        Closed
    };

    void readRequestHead();
    void onHeadRead(const boost::system::error_code &error);
    void onHeadError(const boost::system::error_code &error);
    std::optional<CallerRequestError> checkFraming() const;
    void startBody();
    void readBody();
    void onBodyRead(const boost::system::error_code &error);
    void onBodyBuffered();
    void issueKey();
    void reserveKey();
    void onKeyReply(const routing::KeyReply &reply);
    void route();
    void startExchange(const routing::Decision &decision);
    void answerRejection(const routing::Decision &decision);
    void answerGivenUp(base::Verdict verdict);
    void answerFailure(const routing::AttemptResult &result, base::Verdict verdict);
    void finishKey(base::Verdict verdict);
    void answerError(unsigned status, std::string_view message, base::Verdict verdict, base::Duration retryAfter = {});
    void answerStored(const routing::StoredAnswer &answer, base::Verdict verdict);
    void sendAnswer(boost::beast::http::response<boost::beast::http::string_body> answer, base::Verdict verdict);
    void finishRequest(bool keepConnection);
    void closeGracefully();
    void discardInput();
    /// Digest of method, target, length and start of the body, which finds keys reused for another request.
    std::uint64_t requestDigest() const;
    std::string_view headerValue(std::string_view name) const;

    ProxyCore &core_;
    Socket socket_;
    const std::string peer_;
    boost::beast::flat_buffer buffer_;
    std::optional<RequestParser> parser_;
    std::optional<boost::beast::http::response<boost::beast::http::string_body>> answer_;
    Phase phase_ = Phase::ReadingHead;
    CallerRequest request_;
    std::string caller_;
    std::string bodyPrefix_; ///< Buffer for the start of the body, which is read before dispatch.
    std::size_t bodyPrefixSize_ = 0;
    bool bodyComplete_ = false;
    bool keyReserved_ = false;
    unsigned bodyErrorStatus_ = 0; ///< HTTP status for a body that could not be read, else zero.
    std::uint64_t reservationNumber_ = 0; ///< Identifies the replies for earlier key reservations.
    routing::Decision decision_;
    std::shared_ptr<Exchange> exchange_;
    std::optional<routing::StoredAnswer> recordedAnswer_;
    std::unique_ptr<Chunk> discardChunk_;
    base::TimePoint startedAt_;
    base::TimePoint requestDeadline_ = base::TimePoint::max();
    base::TimePoint readDeadline_ = base::TimePoint::max();
    base::TimePoint writeDeadline_ = base::TimePoint::max();
};

} // namespace yuccawheel::http
