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
constexpr unsigned GatewayTimeout = 504;
constexpr unsigned FirstServerError = 500;
constexpr unsigned Http11 = 11;
constexpr base::Duration CloseWait = std::chrono::seconds(1);

beast::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

// After an error the rest of the request's body is not read, so the connection closes unless there is none.
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
        answer.set(beast::http::field::content_type, view(stored.contentType));
    }
    answer.body() = stored.body;
    sendAnswer(std::move(answer), verdict);
}

void ProxySession::sendAnswer(beast::http::response<beast::http::string_body> answer, base::Verdict verdict)
{
    phase_ = Phase::Answering;
    requestLimit_ = base::TimePoint::max();
    core_.statistics.notRun += verdict == base::Verdict::NotRun ? 1 : 0;
    core_.statistics.mayHaveRun += verdict == base::Verdict::MayHaveRun ? 1 : 0;
    const bool keep = bodyComplete_ && parser_->keep_alive() && !core_.closing;
    answer.set("Yw-Verdict", view(base::toString(verdict)));
    answer.keep_alive(keep);
    answer.prepare_payload();
    answer_ = std::move(answer);
    expectWrite();
    beast::http::async_write(
        socket_, *answer_, [self = shared_from_this(), keep](const boost::system::error_code &error, std::size_t) {
            if (self->phase_ != Phase::Answering) {
                return;
            }
            self->doneWriting();
            self->answer_.reset();
            if (error) {
                self->close();
            } else {
                self->requestEnded(keep);
            }
        });
}

void ProxySession::requestEnded(bool keepConnection)
{
    requestLimit_ = base::TimePoint::max();
    if (keepConnection) {
        prefix_ = std::string();
        readHead();
    } else {
        closeSlowly();
    }
}

// Closing with unread bytes would reset the connection and could destroy the answer on its way, so what still
// arrives is read for a while first.
void ProxySession::closeSlowly()
{
    phase_ = Phase::Closing;
    boost::system::error_code ignored;
    socket_.shutdown(Socket::shutdown_send, ignored);
    readLimit_ = base::BootClock::now() + CloseWait;
    drainChunk_ = core_.chunks.take();
    drainCaller();
}

void ProxySession::drainCaller()
{
    socket_.async_read_some(boost::asio::buffer(*drainChunk_),
                            [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                                if (error) {
                                    self->close();
                                } else {
                                    self->drainCaller();
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
    core_.remove(shared_from_this());
}

bool ProxySession::active() const
{
    return phase_ != Phase::ReadingHead && phase_ != Phase::Closing && phase_ != Phase::Closed;
}

// A request that has arrived but was not read yet would be lost if its connection were closed.
bool ProxySession::idle() const
{
    boost::system::error_code error;
    return phase_ == Phase::ReadingHead && buffer_.size() == 0 && (socket_.available(error) == 0 || error);
}

bool ProxySession::timeoutDue(base::TimePoint now) const
{
    const base::TimePoint connect = exchange_ == nullptr ? base::TimePoint::max() : exchange_->connectLimit();
    return now >= std::min({requestLimit_, readLimit_, writeLimit_, connect});
}

void ProxySession::timedOut(base::TimePoint now)
{
    const bool requestLate = now >= requestLimit_;
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
        // The router reports the end of waiting requests itself.
        break;
    case Phase::Exchanging:
        if (requestLate || now >= exchange_->connectLimit()) {
            exchange_->timedOut();
        } else {
            bodyErrorStatus_ = RequestTimeout;
            exchange_->callerGone();
        }
        break;
    case Phase::Answering:
    case Phase::Closing:
    case Phase::Closed:
        close();
        break;
    }
}

void ProxySession::cutOff()
{
    if (active()) {
        base::logWarning("request_cut_off").with("request", decision_.request).with("service", request_.service);
    }
    if (phase_ == Phase::Exchanging) {
        exchange_->callerGone();
    } else if (phase_ == Phase::Waiting) {
        core_.abandonWaiting(decision_.request);
        finishKey(base::Verdict::NotRun);
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
        outcome.answer = std::move(record_);
    }
    core_.keys->finish(outcome);
}

void ProxySession::recordAnswer(unsigned status, std::string_view contentType)
{
    if (record_) {
        record_->status = status;
        record_->contentType = contentType;
    }
}

void ProxySession::recordAnswerBody(std::string_view body)
{
    if (!record_) {
        return;
    }
    if (record_->body.size() + body.size() > core_.options.limits.storedAnswerBytes) {
        record_.reset();
    } else {
        record_->body += body;
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
    return {prefix_.data(), prefixSize_};
}

bool ProxySession::bodyComplete() const
{
    return bodyComplete_;
}

const CallerRequest &ProxySession::request() const
{
    return request_;
}

void ProxySession::expectRead()
{
    readLimit_ = base::BootClock::now() + core_.options.limits.read;
}

void ProxySession::expectWrite()
{
    writeLimit_ = base::BootClock::now() + core_.options.limits.write;
}

void ProxySession::doneReading()
{
    readLimit_ = base::TimePoint::max();
}

void ProxySession::doneWriting()
{
    writeLimit_ = base::TimePoint::max();
}

} // namespace yuccawheel::http
