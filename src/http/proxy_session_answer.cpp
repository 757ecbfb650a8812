#include "base/log.h"
#include "http/proxy_exchange.h"
#include "http/proxy_session.h"

#include <boost/beast/http/write.hpp>
#include <fmt/core.h>

#include <algorithm>

namespace yuccawheel::http
{

namespace beast = boost::beast;

namespace
{

constexpr unsigned RequestTimeout = 408;
constexpr unsigned Unavailable = 503;
constexpr unsigned GatewayTimeout = 504;
constexpr unsigned FirstServerError = 500;
constexpr unsigned Http11 = 11;
constexpr base::Duration MaxCloseWait = std::chrono::seconds(1);

beast::string_view toBeastView(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

// After an error the rest of the request's body is not read, so the connection is kept only if the body is complete.
void ProxySession::answerError(unsigned status,
                               std::string_view message,
                               base::Verdict verdict,
                               base::Duration retryAfter)
{
    if (status < FirstServerError && verdict == base::Verdict::NotRun) {
        ++core_.statistics.badRequests;
    }
    beast::http::response<beast::http::string_body> answer(static_cast<beast::http::status>(status), Http11);
    answer.set(beast::http::field::content_type, "application/json");
    answer.body() = fmt::format("{{\"error\":\"{}\",\"verdict\":\"{}\"}}\n", message, base::toString(verdict));
    if (retryAfter > base::Duration{0}) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
        answer.set(beast::http::field::retry_after, std::to_string(seconds));
    }
    sendAnswer(std::move(answer), verdict);
}

void ProxySession::answerStored(const routing::StoredAnswer &stored, base::Verdict verdict)
{
    beast::http::response<beast::http::string_body> answer(static_cast<beast::http::status>(stored.status), Http11);
    if (!stored.contentType.empty()) {
        answer.set(beast::http::field::content_type, toBeastView(stored.contentType));
    }
    answer.body() = stored.body;
    sendAnswer(std::move(answer), verdict);
}

void ProxySession::sendAnswer(beast::http::response<beast::http::string_body> answer, base::Verdict verdict)
{
    phase_ = Phase::Answering;
    requestDeadline_ = base::TimePoint::max();
    core_.statistics.notRun += verdict == base::Verdict::NotRun ? 1 : 0;
    core_.statistics.mayHaveRun += verdict == base::Verdict::MayHaveRun ? 1 : 0;
    const bool keep = bodyComplete_ && parser_->keep_alive() && !core_.closing;
    answer.set("Yw-Verdict", toBeastView(base::toString(verdict)));
    answer.keep_alive(keep);
    answer.prepare_payload();
    answer_ = std::move(answer);
    startWriteTimeout();
    beast::http::async_write(
        socket_, *answer_, [self = shared_from_this(), keep](const boost::system::error_code &error, std::size_t) {
            if (self->phase_ != Phase::Answering) {
                return;
            }
            self->clearWriteTimeout();
            self->answer_.reset();
            if (error) {
                self->close();
            } else {
                self->finishRequest(keep);
            }
        });
}

void ProxySession::finishRequest(bool keepConnection)
{
    requestDeadline_ = base::TimePoint::max();
    if (keepConnection) {
        bodyPrefix_ = std::string();
        readRequestHead();
    } else {
        closeGracefully();
    }
}

// Closing a socket with unread bytes resets the connection, and the caller may lose the answer. So input is discarded
// until the caller closes the connection or MaxCloseWait has passed.
void ProxySession::closeGracefully()
{
    phase_ = Phase::Closing;
    boost::system::error_code ignored;
    socket_.shutdown(Socket::shutdown_send, ignored);
    readDeadline_ = base::BootClock::now() + MaxCloseWait;
    discardChunk_ = core_.chunks.acquire();
    discardInput();
}

void ProxySession::discardInput()
{
    socket_.async_read_some(boost::asio::buffer(*discardChunk_),
                            [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                                if (error) {
                                    self->close();
                                } else {
                                    self->discardInput();
                                }
                            });
}

void ProxySession::close()
{
    if (phase_ == Phase::Closed) {
        return;
    }
    phase_ = Phase::Closed;
    boost::system::error_code ignored;
    socket_.close(ignored);
    core_.removeSession(shared_from_this());
}

void ProxySession::cancelIdleRead()
{
    boost::system::error_code ignored;
    socket_.cancel(ignored);
}

bool ProxySession::isActive() const
{
    return phase_ != Phase::ReadingHead && phase_ != Phase::Closing && phase_ != Phase::Closed;
}

// The socket is checked too, since closing it would lose a request that has arrived but was not read yet.
bool ProxySession::isIdle() const
{
    boost::system::error_code error;
    return phase_ == Phase::ReadingHead && buffer_.size() == 0 && (socket_.available(error) == 0 || error);
}

bool ProxySession::hasTimedOut(base::TimePoint now) const
{
    const base::TimePoint connect = exchange_ == nullptr ? base::TimePoint::max() : exchange_->connectDeadline();
    return now >= std::min({requestDeadline_, readDeadline_, writeDeadline_, connect});
}

void ProxySession::handleTimeout(base::TimePoint now)
{
    const bool deadlinePassed = now >= requestDeadline_;
    switch (phase_) {
    case Phase::ReadingHead:
        if (buffer_.size() > 0) {
            answerError(RequestTimeout, "the request's head did not arrive in time", base::Verdict::NotRun);
        } else {
            close();
        }
        break;
    case Phase::ReadingBody:
        answerError(RequestTimeout, "the request's body did not arrive in time", base::Verdict::NotRun);
        break;
    case Phase::ReservingKey:
        answerError(GatewayTimeout, "the key could not be looked up in time", base::Verdict::MayHaveRun);
        break;
    case Phase::Waiting:
        // The router rejects waiting requests whose deadline has passed.
        break;
    case Phase::Exchanging:
        if (deadlinePassed || now >= exchange_->connectDeadline()) {
            exchange_->onTimeout();
        } else {
            bodyErrorStatus_ = RequestTimeout;
            exchange_->onCallerGone();
        }
        break;
    case Phase::Answering:
    case Phase::Closing:
    case Phase::Closed:
        close();
        break;
    }
}

void ProxySession::giveUpRequest()
{
    constexpr int MaxAttempts = 3; // The router may retry a request whose attempt ends.
    requestDeadline_ = base::BootClock::now();
    for (int attempt = 0; attempt < MaxAttempts && phase_ == Phase::Exchanging; ++attempt) {
        if (exchange_->hasStartedAnswer()) {
            abort();
            return;
        }
        exchange_->onTimeout();
    }
    if (phase_ == Phase::Waiting) {
        const base::Verdict verdict = core_.cancelWaiting(decision_.request);
        finishKey(verdict);
        answerGivenUp(verdict);
    } else if (phase_ == Phase::ReservingKey) {
        answerGivenUp(base::Verdict::MayHaveRun);
    } else if (phase_ == Phase::ReadingBody) {
        answerGivenUp(base::Verdict::NotRun);
    }
}

void ProxySession::answerGivenUp(base::Verdict verdict)
{
    const bool notRun = verdict == base::Verdict::NotRun;
    answerError(notRun ? Unavailable : GatewayTimeout,
                "the process is ending",
                verdict,
                notRun ? base::Duration(std::chrono::seconds(1)) : base::Duration{0});
}

void ProxySession::abort()
{
    if (isActive()) {
        base::logWarning("request_cut_off").with("request", decision_.request).with("service", request_.service);
    }
    if (phase_ == Phase::Exchanging) {
        exchange_->onCallerGone();
    } else if (phase_ == Phase::Waiting) {
        finishKey(core_.cancelWaiting(decision_.request));
    }
    close();
}

void ProxySession::finishKey(base::Verdict verdict)
{
    if (!keyReserved_) {
        return;
    }
    keyReserved_ = false;
    routing::KeyOutcome outcome{std::string(request_.key), verdict, std::nullopt};
    if (verdict == base::Verdict::Ran) {
        outcome.answer = std::move(recordedAnswer_);
    }
    core_.keys->finish(outcome);
}

void ProxySession::recordAnswerHead(unsigned status, std::string_view contentType)
{
    if (recordedAnswer_) {
        recordedAnswer_->status = status;
        recordedAnswer_->contentType = contentType;
    }
}

void ProxySession::recordAnswerBody(std::string_view body)
{
    if (!recordedAnswer_) {
        return;
    }
    if (recordedAnswer_->body.size() + body.size() > core_.options.limits.maxStoredAnswerBytes) {
        recordedAnswer_.reset();
    } else {
        recordedAnswer_->body += body;
    }
}

Socket &ProxySession::socket()
{
    return socket_;
}

beast::flat_buffer &ProxySession::buffer()
{
    return buffer_;
}

ProxySession::RequestParser &ProxySession::parser()
{
    return *parser_;
}

std::string_view ProxySession::bodyPrefix() const
{
    return {bodyPrefix_.data(), bodyPrefixSize_};
}

bool ProxySession::bodyComplete() const
{
    return bodyComplete_;
}

const CallerRequest &ProxySession::request() const
{
    return request_;
}

void ProxySession::startReadTimeout()
{
    readDeadline_ = base::BootClock::now() + core_.options.limits.bodyReadTimeout;
}

void ProxySession::startWriteTimeout()
{
    writeDeadline_ = base::BootClock::now() + core_.options.limits.writeTimeout;
}

void ProxySession::clearReadTimeout()
{
    readDeadline_ = base::TimePoint::max();
}

void ProxySession::clearWriteTimeout()
{
    writeDeadline_ = base::TimePoint::max();
}

} // namespace yuccawheel::http
