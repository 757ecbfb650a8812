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
    /// Takes the router's decision on the present request.
    void decided(const routing::Decision &decision);
    /// Takes the end of an attempt. `answered` says that the caller has the whole answer.
    void exchangeEnded(const routing::AttemptResult &result, bool answered, bool reusable);
    /// Takes an error in the body that the exchange was reading.
    void bodyFailed(const boost::system::error_code &error);
    /// Keeps the start of the answer for resends with the same key.
    void recordAnswer(unsigned status, std::string_view contentType);
    void recordAnswerBody(std::string_view body);

    /// Whether a request is in progress.
    bool active() const;
    /// Whether no byte of a request has arrived either.
    bool idle() const;
    bool timeoutDue(base::TimePoint now) const;
    void timedOut(base::TimePoint now);
    /// Ends the request in progress because the process ends.
    void cutOff();
    void close();

    /// For the exchange: the caller's side of the streams and their time limits.
    Socket &socket();
    boost::beast::flat_buffer &buffer();
    RequestParser &parser();
    std::string_view bodyPrefix() const;
    bool bodyComplete() const;
    const CallerRequest &request() const;
    void expectRead();
    void expectWrite();
    void doneReading();
    void doneWriting();

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

    void readHead();
    void headRead(const boost::system::error_code &error);
    void headFailed(const boost::system::error_code &error);
    std::optional<CallerRequestError> checkFraming() const;
    void continueBody();
    void readBody();
    void bodyRead(const boost::system::error_code &error);
    void bodyReady();
    void issueKey();
    void reserveKey();
    void keyReplied(const routing::KeyReply &reply);
    void route();
    void startExchange(const routing::Decision &decision);
    void rejected(const routing::Decision &decision);
    void failed(const routing::AttemptResult &result, base::Verdict verdict);
    void finishKey(base::Verdict verdict);
    void answerError(unsigned status, std::string_view message, base::Verdict verdict, base::Duration retryAfter = {});
    void answerStored(const routing::StoredAnswer &answer, base::Verdict verdict);
    void sendAnswer(boost::beast::http::response<boost::beast::http::string_body> answer, base::Verdict verdict);
    void requestEnded(bool keepConnection);
    void closeSlowly();
    void drainCaller();
    std::uint64_t requestDigest() const;
    std::string_view field(std::string_view name) const;

    ProxyCore &core_;
    Socket socket_;
    const std::string peer_;
    boost::beast::flat_buffer buffer_;
    std::optional<RequestParser> parser_;
    std::optional<boost::beast::http::response<boost::beast::http::string_body>> answer_;
    Phase phase_ = Phase::ReadingHead;
    CallerRequest request_;
    std::string caller_;
    std::string prefix_;
    std::size_t prefixSize_ = 0;
    bool bodyComplete_ = false;
    bool keyReserved_ = false;
    unsigned bodyErrorStatus_ = 0; ///< HTTP status for a body that could not be read.
    std::uint64_t requestNumber_ = 0;
    routing::Decision decision_;
    std::shared_ptr<Exchange> exchange_;
    std::optional<routing::StoredAnswer> record_;
    std::unique_ptr<Chunk> drainChunk_;
    base::TimePoint startedAt_;
    base::TimePoint requestLimit_ = base::TimePoint::max();
    base::TimePoint readLimit_ = base::TimePoint::max();
    base::TimePoint writeLimit_ = base::TimePoint::max();
};

} // namespace yuccawheel::http
