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

/// One attempt of a request at one upstream: streams the request there and the answer back, both at once.
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
    /// Ends the attempt because its time is over.
    void timedOut();
    /// Ends the attempt because the caller went away, stalled, or the process ends.
    void callerGone();
    /// When connecting takes too long.
    base::TimePoint connectLimit() const;
    /// Whether a part of the answer has gone to the caller.
    bool answerStarted() const;

private:
    using Body = boost::beast::http::buffer_body;
    using Error = boost::system::error_code;

    void connected(const Error &error);
    void sendHead();
    void writeRequest();
    void requestWritten(const Error &error, std::size_t bytes);
    void readCaller();
    void callerRead(const Error &error);
    void readHead();
    void headRead(const Error &error);
    void startAnswer();
    void readBody();
    void bodyRead(const Error &error);
    void writeAnswer();
    void answerWritten(const Error &error);
    void answerComplete();
    void end(routing::AttemptOutcome outcome, bool answered = false);
    void releaseConnection(routing::AttemptOutcome outcome, bool reusable);

    ProxyCore &core_;
    ProxySessionPtr session_;
    UpstreamConnectionPtr connection_;
    const routing::AttemptId attempt_;
    const routing::UpstreamIndex upstream_;
    const base::TimePoint startedAt_;
    base::TimePoint connectLimit_ = base::TimePoint::max();
    base::Duration latency_{0};
    bool headRequest_ = false;
    bool writeStarted_ = false;
    std::size_t bytesWritten_ = 0;
    bool uploadDone_ = false;
    bool reading_ = false;
    bool answerStarted_ = false;
    bool ended_ = false;
    std::optional<boost::beast::http::request<Body>> request_;
    std::optional<boost::beast::http::request_serializer<Body>> requestSerializer_;
    std::optional<boost::beast::http::response_parser<Body>> answerParser_;
    std::optional<boost::beast::http::response<Body>> answer_;
    std::optional<boost::beast::http::response_serializer<Body>> answerSerializer_;
    std::unique_ptr<Chunk> upload_;
    std::unique_ptr<Chunk> download_;
};

} // namespace yuccawheel::http
