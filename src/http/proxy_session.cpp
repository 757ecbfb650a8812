#include "http/proxy_session.h"

#include "base/log.h"
#include "http/proxy_exchange.h"

#define XXH_INLINE_ALL
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <xxhash.h>

namespace yuccawheel::http
{

namespace beast = boost::beast;
namespace asio = boost::asio;

namespace
{

constexpr unsigned Ok = 200;
constexpr unsigned BadRequest = 400;
constexpr unsigned KeyConflict = 409;
constexpr unsigned AnswerGone = 410;
constexpr unsigned BodyTooLarge = 413;
constexpr unsigned HeaderTooLarge = 431;
constexpr unsigned NotImplemented = 501;
constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;
constexpr unsigned GatewayTimeout = 504;
/// Path where callers get keys for requests that must not run twice.
constexpr std::string_view IssueKeyPath = "/v1/keys";
constexpr unsigned VersionNotSupported = 505;
constexpr unsigned Http11 = 11;
constexpr std::string_view ContinueLine = "HTTP/1.1 100 Continue\r\n\r\n";

std::string_view toStdView(beast::string_view text)
{
    return {text.data(), text.size()};
}

// need_buffer is not a failure: the supplied buffer is used up.
bool isNeedBuffer(const boost::system::error_code &error)
{
    return error == beast::http::error::need_buffer;
}

bool isHttpError(const boost::system::error_code &error)
{
    return error.category() == beast::http::make_error_code(beast::http::error::bad_chunk).category();
}

unsigned statusOf(const boost::system::error_code &error)
{
    if (error == beast::http::error::header_limit || error == beast::http::error::buffer_overflow) {
        return HeaderTooLarge;
    }
    return error == beast::http::error::body_limit ? BodyTooLarge : BadRequest;
}

unsigned statusOf(routing::Rejection rejection)
{
    constexpr unsigned NotFound = 404;
    constexpr unsigned TooManyRequests = 429;
    switch (rejection) {
    case routing::Rejection::UnknownService:
        return NotFound;
    case routing::Rejection::CallerLimitExceeded:
        return TooManyRequests;
    case routing::Rejection::DeadlinePassed:
        return GatewayTimeout;
    case routing::Rejection::NoUpstream:
    case routing::Rejection::Overloaded:
        break;
    }
    return Unavailable;
}

std::string_view toString(routing::Rejection rejection)
{
    switch (rejection) {
    case routing::Rejection::UnknownService:
        return "unknown service";
    case routing::Rejection::NoUpstream:
        return "no upstream offers the service at present";
    case routing::Rejection::Overloaded:
        return "overloaded";
    case routing::Rejection::CallerLimitExceeded:
        return "too many requests of this caller are waiting";
    case routing::Rejection::DeadlinePassed:
        break;
    }
    return "the deadline passed before a slot was free";
}

std::string_view toString(routing::AttemptOutcome outcome)
{
    switch (outcome) {
    case routing::AttemptOutcome::Answered:
        return "answered";
    case routing::AttemptOutcome::ServerError:
        return "server-error";
    case routing::AttemptOutcome::Refused:
        return "refused";
    case routing::AttemptOutcome::NotSent:
        return "not-sent";
    case routing::AttemptOutcome::Withdrawn:
        return "withdrawn";
    case routing::AttemptOutcome::Cut:
        return "cut";
    case routing::AttemptOutcome::TimedOut:
        return "timed-out";
    case routing::AttemptOutcome::CallerGone:
        break;
    }
    return "caller-gone";
}

} // namespace

ProxySession::ProxySession(ProxyCore &core, Socket socket, std::string peer)
    : core_(core)
    , socket_(std::move(socket))
    , peer_(std::move(peer))
    , buffer_(core.options.limits.maxHeaderBytes + ChunkBytes)
{
}

ProxySession::~ProxySession()
{
    core_.chunks.release(std::move(discardChunk_));
}

void ProxySession::start()
{
    boost::system::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    readRequestHead();
}

void ProxySession::readRequestHead()
{
    phase_ = Phase::ReadingHead;
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(core_.options.limits.maxHeaderBytes));
    parser_->body_limit(core_.options.limits.maxBodyBytes);
    readDeadline_ = base::BootClock::now() + core_.options.limits.headTimeout;
    beast::http::async_read_header(
        socket_, buffer_, *parser_, [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            self->onHeadRead(error);
        });
}

void ProxySession::onHeadRead(const boost::system::error_code &error)
{
    if (phase_ != Phase::ReadingHead) {
        return;
    }
    clearReadTimeout();
    if (error) {
        onHeadError(error);
        return;
    }
    ++core_.statistics.requests;
    startedAt_ = base::BootClock::now();
    bodyComplete_ = false;
    bodyPrefixSize_ = 0;
    bodyErrorStatus_ = 0;
    recordedAnswer_.reset();
    if (const auto framingError = checkFraming()) {
        answerError(framingError->status, framingError->message, base::Verdict::NotRun);
        return;
    }
    const auto method = parser_->get().method();
    const bool safe = method == beast::http::verb::get || method == beast::http::verb::head;
    if (method == beast::http::verb::post && toStdView(parser_->get().target()) == IssueKeyPath) {
        issueKey();
        return;
    }
    const CallerHeaders headers{headerValue("Yw-Repeatable"),
                                headerValue("Yw-Key"),
                                headerValue("Yw-Urgency"),
                                headerValue("Yw-Timeout-Ms"),
                                headerValue("Yw-Caller")};
    const auto parsed = parseCallerRequest(toStdView(parser_->get().target()), safe, headers, core_.options.timeouts);
    if (!parsed) {
        answerError(parsed.error().status, parsed.error().message, base::Verdict::NotRun);
        return;
    }
    request_ = *parsed;
    caller_ = request_.caller.empty() ? peer_ : std::string(request_.caller);
    requestDeadline_ = startedAt_ + request_.timeout;
    startBody();
}

void ProxySession::issueKey()
{
    const std::string key = core_.keys == nullptr ? std::string() : core_.keys->issue();
    if (key.empty()) {
        answerError(Unavailable, "this entry issues no keys", base::Verdict::NotRun);
        return;
    }
    bodyComplete_ = parser_->is_done();
    answerStored({Ok, "application/json", R"({"key":")" + key + "\"}\n"}, base::Verdict::Ran);
}

// After a malformed head the start of the next request is unknown, so the rest of the connection can't be parsed.
void ProxySession::onHeadError(const boost::system::error_code &error)
{
    if (!isHttpError(error) || error == beast::http::error::end_of_stream
        || error == beast::http::error::partial_message) {
        close();
        return;
    }
    ++core_.statistics.requests;
    answerError(statusOf(error), "the request's head is malformed or too large", base::Verdict::NotRun);
}

// Refuses unsupported requests and ambiguous framing. If two parsers disagree on the end of a body, a second request
// can be hidden in it (request smuggling).
std::optional<CallerRequestError> ProxySession::checkFraming() const
{
    const auto &head = parser_->get();
    if (head.version() != Http11) {
        return CallerRequestError{VersionNotSupported, "the only supported HTTP version is 1.1"};
    }
    if (head.count(beast::http::field::host) != 1) {
        return CallerRequestError{BadRequest, "exactly one Host header is required"};
    }
    const std::size_t encodings = head.count(beast::http::field::transfer_encoding);
    const bool plainChunked = encodings == 1 && beast::iequals(head[beast::http::field::transfer_encoding], "chunked");
    if (encodings > 0 && !plainChunked) {
        return CallerRequestError{NotImplemented, "the only supported transfer coding is chunked"};
    }
    if (encodings > 0 && head.count(beast::http::field::content_length) > 0) {
        return CallerRequestError{BadRequest, "Content-Length and Transfer-Encoding exclude each other"};
    }
    if (head.method() == beast::http::verb::connect || head.count(beast::http::field::upgrade) > 0) {
        return CallerRequestError{NotImplemented, "CONNECT and Upgrade are not supported"};
    }
    for (const char *name : {"Yw-Repeatable", "Yw-Key", "Yw-Urgency", "Yw-Timeout-Ms", "Yw-Caller"}) {
        if (head.count(name) > 1) {
            return CallerRequestError{BadRequest, "a Yw- header occurs more than once"};
        }
    }
    return std::nullopt;
}

void ProxySession::startBody()
{
    phase_ = Phase::ReadingBody;
    if (parser_->is_done()) {
        bodyComplete_ = true;
        onBodyBuffered();
        return;
    }
    if (!beast::iequals(parser_->get()[beast::http::field::expect], "100-continue")) {
        readBody();
        return;
    }
    startWriteTimeout();
    asio::async_write(socket_,
                      asio::buffer(ContinueLine.data(), ContinueLine.size()),
                      [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                          self->clearWriteTimeout();
                          if (error) {
                              self->close();
                          } else if (self->phase_ == Phase::ReadingBody) {
                              self->readBody();
                          }
                      });
}

// Reads the start of the body, which for most requests is the whole body. The rest is streamed after dispatch.
void ProxySession::readBody()
{
    const std::size_t limit = core_.options.limits.maxReplayBytes;
    const auto remaining = parser_->content_length_remaining();
    if (bodyPrefix_.size() == bodyPrefixSize_) {
        const std::size_t more = remaining ? static_cast<std::size_t>(std::min<std::uint64_t>(*remaining, limit))
                                           : std::min(limit, bodyPrefixSize_ + ChunkBytes);
        bodyPrefix_.resize(std::min(limit, bodyPrefixSize_ + more));
    }
    auto &body = parser_->get().body();
    body.data = bodyPrefix_.data() + bodyPrefixSize_;
    body.size = bodyPrefix_.size() - bodyPrefixSize_;
    startReadTimeout();
    beast::http::async_read_some(
        socket_, buffer_, *parser_, [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            self->onBodyRead(error);
        });
}

void ProxySession::onBodyRead(const boost::system::error_code &error)
{
    if (phase_ != Phase::ReadingBody) {
        return;
    }
    clearReadTimeout();
    if (error && !isNeedBuffer(error)) {
        if (isHttpError(error) && error != beast::http::error::partial_message) {
            answerError(statusOf(error), "the request's body is malformed or too large", base::Verdict::NotRun);
        } else {
            close();
        }
        return;
    }
    bodyPrefixSize_ = bodyPrefix_.size() - parser_->get().body().size;
    bodyComplete_ = parser_->is_done();
    if (bodyComplete_ || bodyPrefixSize_ == core_.options.limits.maxReplayBytes) {
        onBodyBuffered();
    } else {
        readBody();
    }
}

void ProxySession::onBodyBuffered()
{
    if (request_.repeatable) {
        route();
    } else {
        reserveKey();
    }
}

void ProxySession::reserveKey()
{
    phase_ = Phase::ReservingKey;
    recordedAnswer_.emplace();
    if (core_.keys == nullptr) {
        onKeyReply(routing::KeyReply{});
        return;
    }
    const std::uint64_t number = ++reservationNumber_;
    const routing::KeyReservation reservation{std::string(request_.key), requestDigest(), request_.timeout};
    const auto keys = core_.keys;
    const auto executor = core_.executor;
    keys->reserve(reservation,
                  [self = shared_from_this(), number, executor, keys, key = reservation.key](routing::KeyReply reply) {
                      asio::post(executor, [self, number, keys, key, reply = std::move(reply)] {
                          if (self->phase_ == Phase::ReservingKey && self->reservationNumber_ == number) {
                              self->onKeyReply(reply);
                          } else if (reply.status == routing::KeyStatus::Granted) {
                              keys->finish(routing::KeyOutcome{key, base::Verdict::NotRun, std::nullopt});
                          }
                      });
                  });
}

void ProxySession::onKeyReply(const routing::KeyReply &reply)
{
    switch (reply.status) {
    case routing::KeyStatus::Granted:
        keyReserved_ = true;
        route();
        break;
    case routing::KeyStatus::Duplicate:
        if (reply.answer) {
            answerStored(*reply.answer, reply.verdict);
        } else if (reply.verdict == base::Verdict::Ran) {
            answerError(AnswerGone, "the request ran; its answer is no longer kept", reply.verdict);
        } else {
            answerError(GatewayTimeout, "the outcome of an earlier attempt with this key is unknown", reply.verdict);
        }
        break;
    case routing::KeyStatus::Conflict:
        answerError(KeyConflict, "the key belongs to a request with other content", reply.verdict);
        break;
    case routing::KeyStatus::Unreachable:
        answerError(
            GatewayTimeout, "the key cannot be looked up; this attempt was not dispatched", base::Verdict::MayHaveRun);
        break;
    case routing::KeyStatus::Refused:
        answerError(BadRequest,
                    "Yw-Key must come from POST /v1/keys or start with the Unix time in seconds, as in 1796362497-NAME",
                    base::Verdict::NotRun);
        break;
    }
}

void ProxySession::route()
{
    phase_ = Phase::Waiting;
    routing::RequestInfo info;
    info.service = request_.service;
    info.caller = caller_;
    info.urgency = request_.urgency;
    info.deadline = requestDeadline_;
    info.repeatable = request_.repeatable;
    info.replayable = bodyComplete_;
    core_.route(shared_from_this(), info);
}

void ProxySession::onDecision(const routing::Decision &decision)
{
    decision_ = decision;
    switch (decision.kind) {
    case routing::DecisionKind::Dispatch:
        startExchange(decision);
        break;
    case routing::DecisionKind::Queued:
        base::logInfo("request_queued")
            .with("request", decision.request)
            .with("service", request_.service)
            .with("caller", caller_);
        break;
    case routing::DecisionKind::Reject:
        answerRejection(decision);
        break;
    }
}

void ProxySession::startExchange(const routing::Decision &decision)
{
    const routing::Upstream &upstream = core_.router.upstream(decision.upstream);
    const base::TimePoint now = base::BootClock::now();
    base::logInfo("request_dispatched")
        .with("request", decision.request)
        .with("service", request_.service)
        .with("caller", caller_)
        .with("executor", upstream.info.executor)
        .with("zone", upstream.zone)
        .with("waited_us", (now - startedAt_) / std::chrono::microseconds(1));
    phase_ = Phase::Exchanging;
    auto connection = core_.pool.acquire(upstream.info.address, upstream.share.connectionLimit(now));
    if (connection == nullptr) {
        // Two executors announced the same address, and the other one uses all its connections.
        base::logWarning("no_connection_left").with("address", upstream.info.address);
        onExchangeEnded(routing::AttemptResult{routing::AttemptOutcome::NotSent, {}, false}, false, false);
        return;
    }
    exchange_ = std::make_shared<Exchange>(core_, shared_from_this(), std::move(connection), decision);
    exchange_->start();
}

void ProxySession::answerRejection(const routing::Decision &decision)
{
    base::logInfo("request_rejected")
        .with("request", decision.request)
        .with("service", request_.service)
        .with("caller", caller_)
        .with("reason", toString(decision.rejection))
        .with("verdict", base::toString(decision.verdict));
    finishKey(decision.verdict);
    answerError(statusOf(decision.rejection), toString(decision.rejection), decision.verdict, decision.retryAfter);
}

void ProxySession::onExchangeEnded(const routing::AttemptResult &result, bool answered, bool reusable)
{
    exchange_.reset();
    phase_ = Phase::Waiting;
    const routing::FinishResult finish = core_.finishAttempt(decision_.request, decision_.attempt, result);
    base::logInfo("request_ended")
        .with("request", decision_.request)
        .with("executor", core_.router.upstream(decision_.upstream).info.executor)
        .with("outcome", toString(result.outcome))
        .with("retrying", finish.retrying)
        .with("verdict", base::toString(finish.verdict));
    if (!finish.retrying) {
        finishKey(answered ? base::Verdict::Ran : finish.verdict);
        if (answered) {
            ++core_.statistics.answered;
            finishRequest(reusable && !core_.closing && parser_->keep_alive());
        } else {
            answerFailure(result, finish.verdict);
        }
    }
    core_.deliverRouterOutput();
}

// Once sending the answer has started, no error answer can follow. Closing the connection early tells the caller that
// the answer is incomplete.
void ProxySession::answerFailure(const routing::AttemptResult &result, base::Verdict verdict)
{
    const bool deadlinePassed = base::BootClock::now() >= requestDeadline_;
    if (bodyErrorStatus_ != 0 && !result.answerStarted) {
        answerError(bodyErrorStatus_, "the request's body is malformed, too large or did not arrive in time", verdict);
    } else if (result.answerStarted || result.outcome == routing::AttemptOutcome::CallerGone) {
        ++core_.statistics.mayHaveRun;
        close();
    } else if (deadlinePassed) {
        answerError(GatewayTimeout, "the upstream did not answer in time", verdict);
    } else if (verdict == base::Verdict::NotRun) {
        answerError(Unavailable, "no upstream accepted the request", verdict, std::chrono::seconds(1));
    } else {
        answerError(BadGateway, "the upstream closed the connection before its answer was complete", verdict);
    }
}

void ProxySession::onBodyError(const boost::system::error_code &error)
{
    if (isHttpError(error) && error != beast::http::error::partial_message) {
        bodyErrorStatus_ = statusOf(error);
    }
}

std::uint64_t ProxySession::requestDigest() const
{
    const auto &head = parser_->get();
    const auto method = head.method_string();
    const auto target = head.target();
    const std::uint64_t length = parser_->content_length().value_or(0);
    std::uint64_t digest = XXH64(method.data(), method.size(), length);
    digest = XXH64(target.data(), target.size(), digest);
    return XXH64(bodyPrefix_.data(), bodyPrefixSize_, digest);
}

std::string_view ProxySession::headerValue(std::string_view name) const
{
    return toStdView(parser_->get()[beast::string_view(name.data(), name.size())]);
}

} // namespace yuccawheel::http
