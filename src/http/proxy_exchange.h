#pragma once

#include "http/proxy_core.h"
#include "http/proxy_session.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include <memory>
#include <optional>

namespace yuccawheel::http
{

/// One attempt to run a request at an upstream. Streams the request to the upstream and the answer to the caller
/// concurrently.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(ProxyCore &core,
             ProxySessionPtr session,
             UpstreamConnectionPtr connection,
             const routing::Decision &decision);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    void start();
    /// Ends the attempt because the deadline of the request or of connecting has passed.
    void onTimeout();
    /// Ends the attempt because the caller disconnected or stalled, or because the session is aborted.
    void onCallerGone();
    /// Deadline for connecting to the upstream; TimePoint::max() while no connection is being opened.
    base::TimePoint connectDeadline() const;
    /// Returns whether sending the answer to the caller has started.
    bool hasStartedAnswer() const;

private:
    using Body = boost::beast::http::buffer_body;
    using Error = boost::system::error_code;

    void onConnected(const Error &error);
    void startRequest();
    void writeRequest();
    void onRequestWritten(const Error &error, std::size_t bytes);
    void readRequestBody();
    void onRequestBodyRead(const Error &error);
    void readAnswerHead();
    void onAnswerHeadRead(const Error &error);
    void startAnswer();
    void readAnswerBody();
    void onAnswerBodyRead(const Error &error);
    void writeAnswer();
    void onAnswerWritten(const Error &error);
    void onAnswerComplete();
    void finish(routing::AttemptOutcome outcome, bool answered = false);
    void releaseConnection(routing::AttemptOutcome outcome, bool reusable);

    ProxyCore &core_;
    ProxySessionPtr session_;
    UpstreamConnectionPtr connection_;
    const routing::AttemptId attempt_;
    const routing::UpstreamIndex upstream_;
    const base::TimePoint startedAt_;
    base::TimePoint connectDeadline_ = base::TimePoint::max();
    base::Duration latency_{0}; ///< Until the head of the answer.
    bool isHeadRequest_ = false;
    bool writeStarted_ = false;
    std::size_t bytesWritten_ = 0;
    bool uploadDone_ = false; ///< The whole request has been written.
    bool readingAnswer_ = false;
    bool answerStarted_ = false;
    bool ended_ = false;
    std::optional<boost::beast::http::request<Body>> request_;
    std::optional<boost::beast::http::request_serializer<Body>> requestSerializer_;
    std::optional<boost::beast::http::response_parser<Body>> answerParser_;
    std::optional<boost::beast::http::response<Body>> answer_;
    std::optional<boost::beast::http::response_serializer<Body>> answerSerializer_;
    std::unique_ptr<Chunk> requestChunk_;
    std::unique_ptr<Chunk> answerChunk_;
};

} // namespace yuccawheel::http
