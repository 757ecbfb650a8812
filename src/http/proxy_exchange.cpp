#include "http/proxy_exchange.h"

#include "base/log.h"

#include <boost/asio/connect.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>

#include <cstdlib>
#include <limits>

namespace yuccawheel::http
{

namespace beast = boost::beast;
namespace asio = boost::asio;

namespace
{

constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned FirstServerError = 500;
constexpr unsigned ServiceUnavailable = 503;
constexpr unsigned TooManyRequests = 429;
constexpr const char *VerdictField = "Yw-Verdict";
constexpr const char *ServiceField = "Yw-Service";

bool isHopByHop(beast::http::field name)
{
    using beast::http::field;
    switch (name) {
    case field::connection:
    case field::keep_alive:
    case field::proxy_connection:
    case field::proxy_authenticate:
    case field::proxy_authorization:
    case field::te:
    case field::trailer:
    case field::transfer_encoding:
    case field::upgrade:
    case field::expect:
        return true;
    default:
        return false;
    }
}

// Copies the end-to-end header fields. Hop-by-hop fields, which include those that Connection lists, are left out
// (RFC 9110, 7.6.1).
void copyEndToEndFields(const beast::http::fields &source, beast::http::fields &target)
{
    beast::http::token_list connectionOptions(source[beast::http::field::connection]);
    for (const auto &field : source) {
        if (isHopByHop(field.name()) || connectionOptions.exists(field.name_string())) {
            continue;
        }
        if (field.name() == beast::http::field::unknown) {
            target.insert(field.name_string(), field.value());
        } else {
            target.insert(field.name(), field.value());
        }
    }
}

// need_buffer is not a failure: the supplied buffer is used up.
bool isNeedBuffer(const boost::system::error_code &error)
{
    return error == beast::http::error::need_buffer;
}

} // namespace

Exchange::Exchange(ProxyCore &core,
                   ProxySessionPtr session,
                   UpstreamConnectionPtr connection,
                   const routing::Decision &decision)
    : core_(core)
    , session_(std::move(session))
    , connection_(std::move(connection))
    , attempt_(decision.attempt)
    , upstream_(decision.upstream)
    , startedAt_(base::BootClock::now())
{
}

Exchange::~Exchange()
{
    core_.chunks.release(std::move(requestChunk_));
    core_.chunks.release(std::move(answerChunk_));
}

void Exchange::start()
{
    if (connection_->reused) {
        startRequest();
        return;
    }
    const std::string &address = connection_->address;
    const auto colon = address.rfind(':');
    Error invalid; // The address was validated when the heartbeat was parsed.
    const auto ip = asio::ip::make_address(address.substr(0, colon), invalid);
    const auto port = static_cast<std::uint16_t>(std::strtoul(address.c_str() + colon + 1, nullptr, 10));
    connectDeadline_ = startedAt_ + core_.options.limits.connectTimeout;
    connection_->socket.async_connect(Endpoint(ip, port),
                                      [self = shared_from_this()](const Error &result) { self->onConnected(result); });
}

void Exchange::onConnected(const Error &error)
{
    if (ended_) {
        return;
    }
    connectDeadline_ = base::TimePoint::max();
    if (error) {
        finish(routing::AttemptOutcome::NotSent);
        return;
    }
    Error ignored;
    connection_->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    startRequest();
}

void Exchange::startRequest()
{
    const auto &source = session_->parser().get();
    isHeadRequest_ = source.method() == beast::http::verb::head;
    request_.emplace();
    request_->method_string(source.method_string());
    const std::string_view rest = session_->request().rest;
    request_->target(beast::string_view(rest.data(), rest.size()));
    copyEndToEndFields(source.base(), *request_);
    request_->set(beast::http::field::host, connection_->address);
    const std::string_view service = session_->request().service;
    request_->set(ServiceField, beast::string_view(service.data(), service.size()));
    if (session_->parser().chunked()) {
        request_->chunked(true);
    }
    const std::string_view prefix = session_->bodyPrefix();
    request_->body().data = prefix.empty() ? nullptr : const_cast<char *>(prefix.data());
    request_->body().size = prefix.size();
    request_->body().more = !session_->bodyComplete();
    requestSerializer_.emplace(*request_);
    if (core_.router.canStart(attempt_, base::BootClock::now())) {
        writeRequest();
    } else {
        finish(routing::AttemptOutcome::Withdrawn);
    }
}

void Exchange::writeRequest()
{
    writeStarted_ = true;
    beast::http::async_write(
        connection_->socket, *requestSerializer_, [self = shared_from_this()](const Error &error, std::size_t bytes) {
            self->onRequestWritten(error, bytes);
        });
}

// The upstream may have answered before it read the whole request, so the answer is read even after a write error.
void Exchange::onRequestWritten(const Error &error, std::size_t bytes)
{
    if (ended_) {
        return;
    }
    bytesWritten_ += bytes;
    const bool failed = error && !isNeedBuffer(error);
    if (failed && bytesWritten_ == 0) {
        finish(routing::AttemptOutcome::NotSent);
        return;
    }
    if (!readingAnswer_) {
        readingAnswer_ = true;
        readAnswerHead();
    }
    if (failed) {
        return;
    }
    if (request_->body().more) {
        readRequestBody();
    } else {
        uploadDone_ = true;
    }
}

void Exchange::readRequestBody()
{
    if (requestChunk_ == nullptr) {
        requestChunk_ = core_.chunks.acquire();
    }
    auto &body = session_->parser().get().body();
    body.data = requestChunk_->data();
    body.size = requestChunk_->size();
    session_->startReadTimeout();
    beast::http::async_read_some(
        session_->socket(),
        session_->buffer(),
        session_->parser(),
        [self = shared_from_this()](const Error &error, std::size_t /*bytes*/) { self->onRequestBodyRead(error); });
}

void Exchange::onRequestBodyRead(const Error &error)
{
    if (ended_) {
        return;
    }
    session_->clearReadTimeout();
    if (error && !isNeedBuffer(error)) {
        session_->onBodyError(error);
        onCallerGone();
        return;
    }
    const std::size_t size = requestChunk_->size() - session_->parser().get().body().size;
    const bool done = session_->parser().is_done();
    if (size == 0 && !done) {
        readRequestBody();
        return;
    }
    request_->body().data = size == 0 ? nullptr : requestChunk_->data();
    request_->body().size = size;
    request_->body().more = !done;
    writeRequest();
}

void Exchange::readAnswerHead()
{
    answerParser_.emplace();
    answerParser_->header_limit(static_cast<std::uint32_t>(core_.options.limits.maxHeaderBytes));
    answerParser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    answerParser_->skip(isHeadRequest_);
    beast::http::async_read_header(
        connection_->socket,
        connection_->buffer,
        *answerParser_,
        [self = shared_from_this()](const Error &error, std::size_t /*bytes*/) { self->onAnswerHeadRead(error); });
}

// An answer that is delimited by the end of its connection can't be distinguished from a truncated one, so it counts as
// truncated.
void Exchange::onAnswerHeadRead(const Error &error)
{
    if (ended_) {
        return;
    }
    latency_ = base::BootClock::now() - startedAt_;
    if (error) {
        base::logWarning("upstream_cut").with("address", connection_->address).with("error", error.message());
        finish(routing::AttemptOutcome::Cut);
        return;
    }
    const auto &head = answerParser_->get();
    const unsigned status = head.result_int();
    if (status < FirstFinalStatus) {
        readAnswerHead();
        return;
    }
    if (answerParser_->need_eof() && !isHeadRequest_) {
        finish(routing::AttemptOutcome::Cut);
        return;
    }
    const bool busy = status == ServiceUnavailable || status == TooManyRequests;
    if (busy && head[VerdictField] == "not-run") {
        finish(routing::AttemptOutcome::Refused);
        return;
    }
    startAnswer();
}

void Exchange::startAnswer()
{
    const auto &head = answerParser_->get();
    answer_.emplace();
    answer_->result(head.result_int());
    answer_->reason(head.reason());
    copyEndToEndFields(head.base(), *answer_);
    answer_->set(VerdictField, "ran");
    if (answerParser_->chunked()) {
        answer_->chunked(true);
    }
    if (core_.closing || !session_->parser().keep_alive()) {
        answer_->set(beast::http::field::connection, "close");
    }
    const auto type = head[beast::http::field::content_type];
    session_->recordAnswerHead(head.result_int(), std::string_view(type.data(), type.size()));
    answerSerializer_.emplace(*answer_);
    answer_->body().data = nullptr;
    answer_->body().size = 0;
    answer_->body().more = false;
    answerParser_->eager(true);
    if (answerParser_->is_done()) {
        answerSerializer_->split(isHeadRequest_);
        writeAnswer();
    } else {
        answerChunk_ = core_.chunks.acquire();
        readAnswerBody();
    }
}

void Exchange::readAnswerBody()
{
    auto &body = answerParser_->get().body();
    body.data = answerChunk_->data();
    body.size = answerChunk_->size();
    beast::http::async_read_some(
        connection_->socket,
        connection_->buffer,
        *answerParser_,
        [self = shared_from_this()](const Error &error, std::size_t /*bytes*/) { self->onAnswerBodyRead(error); });
}

void Exchange::onAnswerBodyRead(const Error &error)
{
    if (ended_) {
        return;
    }
    if (error && !isNeedBuffer(error)) {
        base::logWarning("upstream_cut").with("address", connection_->address).with("error", error.message());
        finish(routing::AttemptOutcome::Cut);
        return;
    }
    const std::size_t size = answerChunk_->size() - answerParser_->get().body().size;
    const bool done = answerParser_->is_done();
    if (size == 0 && !done) {
        readAnswerBody();
        return;
    }
    session_->recordAnswerBody(std::string_view(answerChunk_->data(), size));
    answer_->body().data = size == 0 ? nullptr : answerChunk_->data();
    answer_->body().size = size;
    answer_->body().more = !done;
    writeAnswer();
}

void Exchange::writeAnswer()
{
    answerStarted_ = true;
    session_->startWriteTimeout();
    const auto written = [self = shared_from_this()](const Error &error, std::size_t /*bytes*/) {
        self->onAnswerWritten(error);
    };
    if (isHeadRequest_) {
        beast::http::async_write_header(session_->socket(), *answerSerializer_, written);
    } else {
        beast::http::async_write(session_->socket(), *answerSerializer_, written);
    }
}

void Exchange::onAnswerWritten(const Error &error)
{
    if (ended_) {
        return;
    }
    session_->clearWriteTimeout();
    if (error && !isNeedBuffer(error)) {
        onCallerGone();
    } else if (answerParser_->is_done()) {
        onAnswerComplete();
    } else {
        readAnswerBody();
    }
}

void Exchange::onAnswerComplete()
{
    const bool serverError = answerParser_->get().result_int() >= FirstServerError;
    finish(serverError ? routing::AttemptOutcome::ServerError : routing::AttemptOutcome::Answered, true);
}

base::TimePoint Exchange::connectDeadline() const
{
    return connectDeadline_;
}

// Once a write has started, the upstream may have received part of the request.
void Exchange::onTimeout()
{
    if (!ended_) {
        finish(writeStarted_ ? routing::AttemptOutcome::TimedOut : routing::AttemptOutcome::NotSent);
    }
}

void Exchange::onCallerGone()
{
    if (!ended_) {
        finish(writeStarted_ ? routing::AttemptOutcome::CallerGone : routing::AttemptOutcome::NotSent);
    }
}

bool Exchange::hasStartedAnswer() const
{
    return answerStarted_;
}

// The connection is released before the router is told, because the router may assign the slot to another request at
// once.
void Exchange::finish(routing::AttemptOutcome outcome, bool answered)
{
    ended_ = true;
    const bool reusable = answered && uploadDone_ && answerParser_->keep_alive();
    releaseConnection(outcome, reusable);
    const ProxySessionPtr session = std::move(session_);
    session->onExchangeEnded(routing::AttemptResult{outcome, latency_, answerStarted_}, answered, uploadDone_);
}

void Exchange::releaseConnection(routing::AttemptOutcome outcome, bool reusable)
{
    const base::TimePoint now = base::BootClock::now();
    if (reusable) {
        core_.pool.release(connection_, core_.router.upstream(upstream_).share.connectionLimit(now), now);
    } else if (outcome == routing::AttemptOutcome::TimedOut || outcome == routing::AttemptOutcome::CallerGone) {
        Error ignored;
        connection_->socket.cancel(ignored);
        core_.trackAbandonedAttempt(connection_, attempt_);
    } else {
        connection_->close();
    }
    connection_.reset();
}

} // namespace yuccawheel::http
