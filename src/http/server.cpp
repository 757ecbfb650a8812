#include "http/server.h"

#include "base/duty_time.h"
#include "base/log.h"
#include "base/traffic.h"
#include "http/memory_budget.h"
#include "http/server_group.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/core.h>

#include <algorithm>
#include <cctype>
#include <iterator>
#include <list>
#include <optional>
#include <utility>

namespace yuccawheel::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

std::string_view Request::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

std::string_view Request::parameter(std::string_view name) const
{
    std::string_view rest = query;
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return pair.substr(equals + 1);
        }
    }
    return {};
}

namespace
{

// Without free file descriptors, accepting again at once would keep the thread busy.
constexpr std::chrono::milliseconds AcceptRetryDelay{100};
// A sound request arrives within a few round trips, unless it is large. One that takes longer gives way to others if
// they find no room.
constexpr std::chrono::milliseconds MinArrivalTime{100};
constexpr std::chrono::milliseconds MinLargeArrivalTime{500};

class Session;

} // namespace

struct Server::Impl
    : GroupedServer
    , std::enable_shared_from_this<Server::Impl> {
    Impl(asio::io_context &context, const asio::ip::tcp::endpoint &address, ServerOptions opts, Handler handle)
        : io(context)
        , acceptor(context, address)
        , acceptTimer(context)
        , options(std::move(opts))
        , handler(std::move(handle))
        , memory(std::make_shared<MemoryBudget>(options.maxRequestMemory))
    {
    }

    void closeAfterAnswers() override
    {
        closing = true;
    }
    void refuseRequests() override
    {
        refusing = options.refusable;
    }
    void stopAccepting() override;
    std::size_t unanswered() const override
    {
        return unansweredRequests;
    }
    std::size_t busyConnections() const override
    {
        return connections;
    }

    void accept();
    void onAccepted(asio::ip::tcp::socket socket);
    void acceptLater(const boost::system::error_code &error);
    bool makeRoom();
    bool giveUpOldestArrival(std::chrono::milliseconds minTime, const Session *except = nullptr);
    /// Counts what a limit led to, and logs all such counts from time to time.
    void reportLimit(std::size_t &count);
    void closeIdleSessions();

    asio::io_context &io;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    ServerOptions options;
    Handler handler;
    std::size_t connections = 0;
    std::size_t unansweredRequests = 0;
    /// Those that wait for a request or for the client to close them, the one that waits for longest first.
    std::list<Session *> idleSessions;
    std::list<Session *> arrivingSessions; ///< Those with a part of a request, the one that began first in front.
    std::shared_ptr<MemoryBudget> memory;
    std::size_t closedIdle = 0; ///< Since the last report, like the next ones.
    std::size_t givenUpArrivals = 0;
    std::size_t refusedForMemory = 0;
    std::size_t refusedConnections = 0;
    std::chrono::steady_clock::time_point nextReport{};
    bool closing = false; ///< Answers close their connections.
    bool refusing = false;
    bool stopped = false;
};

namespace
{

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(
        lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

// A connection. Reads a request, waits for its response and writes it, as long as the connection is kept alive.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(asio::ip::tcp::socket socket, std::shared_ptr<Server::Impl> server)
        : stream_(std::move(socket))
        , server_(std::move(server))
        , memory_(server_->memory)
    {
        boost::system::error_code ignored;
        stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        const auto endpoint = stream_.socket().remote_endpoint(ignored);
        peer_ = ignored ? std::string() : endpoint.address().to_string();
        ++server_->connections;
    }
    ~Session()
    {
        setIdle(false);
        setArriving(false);
        setUnanswered(false);
        release();
    }
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    // The socket is checked too, since closing it would lose a request that has arrived but was not read yet.
    bool isIdle() const
    {
        return idlePosition_ && !lingering_ && !hasUnreadInput();
    }

    bool hasUnreadInput() const
    {
        boost::system::error_code error;
        return stream_.socket().available(error) > 0 && !error;
    }

    // Unlike a close, this keeps a request that has been read already and whose handler has not run yet.
    void cancelIdleRead()
    {
        stream_.cancel();
    }

    /// Closes the connection, on which no request is in progress.
    void closeIdle()
    {
        setIdle(false);
        release();
        boost::system::error_code ignored;
        stream_.socket().close(ignored);
    }

    /// Returns since when a request has been arriving.
    std::chrono::steady_clock::time_point arrivingSince() const
    {
        return arrivingSince_;
    }

    /// Answers a request of which a part has arrived, and closes the connection. The answer is sent only if that needs
    /// no wait.
    void giveUpArrival()
    {
        release();
        dropRequest();
        keepAlive_ = false;
        prepareResponse(makeRefusal("the request takes too long to arrive", "1"));
        boost::system::error_code ignored;
        auto &socket = stream_.socket();
        socket.non_blocking(true, ignored);
        bhttp::write(socket, *response_, ignored);
        socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        socket.close(ignored);
    }

    void waitForRequest()
    {
        parser_.emplace();
        parser_->body_limit(server_->options.maxBodyBytes);
        parser_->header_limit(static_cast<std::uint32_t>(server_->options.maxHeaderBytes));
        parser_->eager(false); // The head is checked before memory is taken for the body.
        headBytes_ = 0;
        if (buffer_.size() > 0) {
            readRequest();
            return;
        }
        setIdle(true);
        stream_.expires_after(server_->options.idleTimeout);
        stream_.async_read_some(buffer_.prepare(ReadChunkBytes),
                                [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
                                    const base::DutyScope duty(base::Duty::Reports);
                                    const bool closed = !self->counted_;
                                    self->setIdle(false);
                                    if (error || closed) {
                                        return;
                                    }
                                    self->buffer_.commit(bytes);
                                    self->readRequest();
                                });
    }

private:
    static constexpr std::size_t ReadChunkBytes = 4096;
    static constexpr std::chrono::seconds MaxLinger{1};

    void setIdle(bool idle)
    {
        if (idlePosition_) {
            server_->idleSessions.erase(*idlePosition_);
            idlePosition_.reset();
        }
        if (idle) {
            idlePosition_ = server_->idleSessions.insert(server_->idleSessions.end(), this);
        }
    }
    void setUnanswered(bool unanswered)
    {
        server_->unansweredRequests -= unanswered_ ? 1 : 0;
        server_->unansweredRequests += unanswered ? 1 : 0;
        unanswered_ = unanswered;
    }
    void release()
    {
        server_->connections -= std::exchange(counted_, false) ? 1 : 0;
    }

    void setArriving(bool arriving)
    {
        if (arrivingPosition_) {
            server_->arrivingSessions.erase(*arrivingPosition_);
            arrivingPosition_.reset();
        }
        if (arriving) {
            arrivingSince_ = std::chrono::steady_clock::now();
            arrivingPosition_ = server_->arrivingSessions.insert(server_->arrivingSessions.end(), this);
        }
    }

    void readRequest()
    {
        stream_.expires_after(server_->options.readTimeout);
        setArriving(true);
        parse();
    }

    void readMore()
    {
        stream_.async_read_some(buffer_.prepare(ReadChunkBytes),
                                [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
                                    const base::DutyScope duty(base::Duty::Reports);
                                    if (!self->counted_) {
                                        return;
                                    }
                                    self->buffer_.commit(bytes);
                                    if (error == asio::error::eof) {
                                        self->onRead(bhttp::error::partial_message);
                                    } else if (error) {
                                        self->onRead(error);
                                    } else {
                                        self->parse();
                                    }
                                });
    }

    // Parses what has been read. Continues to read unless the request is complete or refused.
    void parse()
    {
        boost::system::error_code error;
        while (holdMemory()) {
            if (parser_->is_done()) {
                onRead({});
                return;
            }
            if (buffer_.size() == 0 || error == bhttp::error::need_more) {
                readMore();
                return;
            }
            error = parseNext();
            if (error && error != bhttp::error::need_more) {
                onRead(error);
                return;
            }
        }
        server_->reportLimit(server_->refusedForMemory);
        refuse("there is no memory for the request now", "1");
    }

    // Parses the head, or what there is of the body.
    boost::system::error_code parseNext()
    {
        const bool isHead = !parser_->is_header_done();
        boost::system::error_code error;
        const std::size_t bytes = parser_->put(buffer_.cdata(), error);
        buffer_.consume(bytes);
        base::controlTraffic().addReceived(base::ControlTraffic::HttpKind, bytes);
        if (!error && isHead && parser_->is_header_done()) {
            headBytes_ = bytes;
            error = checkHead();
        }
        return error;
    }

    boost::system::error_code checkHead()
    {
        const ServerOptions &options = server_->options;
        const auto &head = parser_->get();
        if (static_cast<std::size_t>(std::distance(head.begin(), head.end())) > options.maxHeaderFields) {
            return bhttp::error::header_limit;
        }
        parser_->eager(true);
        if (options.bodyLimit) {
            const std::string_view target(head.target().data(), head.target().size());
            const std::size_t limit = options.bodyLimit(target.substr(0, target.find('?')));
            parser_->body_limit(limit);
            if (parser_->content_length().value_or(0) > limit) {
                return bhttp::error::body_limit;
            }
        }
        return {};
    }

    // The parser reserves memory for a body of a declared length with its first bytes.
    bool holdMemory()
    {
        std::size_t body = parser_->get().body().capacity();
        if (parser_->is_header_done() && !parser_->is_done()) {
            body = std::max<std::size_t>(body, parser_->content_length().value_or(0));
        }
        const std::size_t bytes = buffer_.capacity() + headBytes_ + body;
        while (!memory_.resize(bytes)) {
            if (!server_->giveUpOldestArrival(MinLargeArrivalTime, this)) {
                return false;
            }
        }
        return true;
    }

    // Frees what has arrived of a request that is not handled.
    void dropRequest()
    {
        setArriving(false);
        parser_.reset();
        buffer_.clear();
        buffer_.shrink_to_fit();
        memory_.release();
    }

    void onRead(const boost::system::error_code &error)
    {
        if (server_->stopped) {
            return;
        }
        setArriving(false);
        if (error) {
            rejectRequest(error);
            return;
        }
        if (hasConflictingLength()) {
            rejectRequest(bhttp::error::bad_content_length);
            return;
        }
        if (server_->refusing) {
            // The client reaches another process at once if it connects again.
            refuse("the process is ending", "0");
            return;
        }
        stream_.expires_never();
        keepAlive_ = parser_->get().keep_alive();
        isRead_ = parser_->get().method() == bhttp::verb::get;
        setUnanswered(true);
        auto responder = [answered = false, self = shared_from_this()](Response response) mutable {
            if (!answered) {
                answered = true;
                self->writeResponse(std::move(response));
            }
        };
        server_->handler(takeRequest(), std::move(responder));
    }

    // Two parsers can disagree on the end of a request that has two lengths, or a length and a transfer encoding.
    bool hasConflictingLength() const
    {
        const auto &message = parser_->get();
        const auto lengths = message.count(bhttp::field::content_length);
        return lengths > 1 || (lengths == 1 && message.count(bhttp::field::transfer_encoding) > 0);
    }

    Request takeRequest()
    {
        auto message = parser_->release();
        Request request;
        request.method = std::string(message.method_string());
        const std::string target(message.target());
        const auto question = target.find('?');
        request.path = target.substr(0, question);
        request.query = question == std::string::npos ? std::string() : target.substr(question + 1);
        for (const auto &field : message) {
            request.headers.emplace_back(lowerCase({field.name_string().data(), field.name_string().size()}),
                                         std::string(field.value()));
        }
        request.body = std::move(message.body());
        request.peer = peer_;
        return request;
    }

    void rejectRequest(const boost::system::error_code &error)
    {
        if (error == bhttp::error::end_of_stream || error == asio::error::connection_reset
            || error == asio::error::operation_aborted) {
            return;
        }
        int status = 400;
        std::string code = "bad_request";
        if (error == bhttp::error::body_limit) {
            status = 413;
            code = "too_large";
        } else if (error == bhttp::error::header_limit) {
            status = 431;
            code = "header_too_large";
        } else if (error == beast::error::timeout) {
            status = 408;
            code = "request_timeout";
        }
        keepAlive_ = false;
        dropRequest();
        writeResponse({status,
                       fmt::format(R"({{"error":"{}","message":"{}","verdict":"not-run"}})", code, error.message()),
                       "application/json",
                       {}});
    }

    static Response makeRefusal(std::string_view reason, std::string_view retryAfter)
    {
        return {503,
                fmt::format(R"({{"error":"unavailable","message":"{}","verdict":"not-run"}})", reason),
                "application/json",
                {{"Retry-After", std::string(retryAfter)}}};
    }

    void refuse(std::string_view reason, std::string_view retryAfter)
    {
        keepAlive_ = false;
        dropRequest();
        writeResponse(makeRefusal(reason, retryAfter));
    }

    void prepareResponse(Response response)
    {
        response_.emplace();
        response_->version(11);
        response_->result(static_cast<unsigned>(response.status));
        response_->set(bhttp::field::content_type, response.contentType);
        for (const auto &[name, value] : response.headers) {
            response_->set(name, value);
        }
        response_->body() = std::move(response.body);
        response_->keep_alive(keepAlive_);
        response_->prepare_payload();
    }

    void writeResponse(Response response)
    {
        setUnanswered(false);
        memory_.release();
        if (isRead_ && !memory_.resize(response.body.size())) {
            server_->reportLimit(server_->refusedForMemory);
            response = {503,
                        R"({"error":"unavailable","message":"there is no memory for the response now"})",
                        "application/json",
                        {{"Retry-After", "1"}}};
        }
        keepAlive_ = keepAlive_ && !server_->closing;
        prepareResponse(std::move(response));
        stream_.expires_after(server_->options.idleTimeout);
        bhttp::async_write(stream_,
                           *response_,
                           [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
                               const base::DutyScope duty(base::Duty::Reports);
                               base::controlTraffic().addSent(base::ControlTraffic::HttpKind, bytes);
                               self->response_.reset();
                               self->memory_.release();
                               if (error || self->server_->stopped) {
                                   return;
                               }
                               if (self->keepAlive_) {
                                   self->waitForRequest();
                               } else {
                                   self->closeGracefully();
                               }
                           });
    }

    // Closing a socket with unread bytes resets the connection, and the client may lose the answer.
    void closeGracefully()
    {
        boost::system::error_code ignored;
        stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        setIdle(true);
        lingering_ = true;
        stream_.expires_after(MaxLinger);
        discardInput();
    }

    void discardInput()
    {
        buffer_.clear();
        stream_.async_read_some(buffer_.prepare(ReadChunkBytes),
                                [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                                    const base::DutyScope duty(base::Duty::Reports);
                                    if (!error && self->counted_) {
                                        self->discardInput();
                                    }
                                });
    }

    beast::tcp_stream stream_;
    std::shared_ptr<Server::Impl> server_;
    beast::flat_buffer buffer_;
    std::optional<bhttp::request_parser<bhttp::string_body>> parser_;
    std::optional<bhttp::response<bhttp::string_body>> response_;
    std::string peer_;
    MemoryShare memory_; ///< For the current request until it is answered, then for the response.
    std::size_t headBytes_ = 0; ///< The parser keeps them as fields.
    std::optional<std::list<Session *>::iterator> idlePosition_;
    std::optional<std::list<Session *>::iterator> arrivingPosition_;
    std::chrono::steady_clock::time_point arrivingSince_{};
    bool counted_ = true; ///< Among the server's connections.
    bool unanswered_ = false; ///< Has a request without a response.
    bool lingering_ = false; ///< Has sent its last answer and waits for the client to close the connection.
    bool keepAlive_ = true;
    bool isRead_ = false; ///< The current request changes nothing, so its response may be replaced by a refusal.
};

} // namespace

void Server::Impl::accept()
{
    acceptor.async_accept(
        [self = shared_from_this()](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
            if (self->stopped || !self->acceptor.is_open()) {
                return;
            }
            if (error) {
                self->acceptLater(error);
                return;
            }
            self->onAccepted(std::move(socket));
            self->accept();
        });
}

// If all connections are in use, a new one is closed at once, so that the client tries another VM.
void Server::Impl::onAccepted(asio::ip::tcp::socket socket)
{
    if (connections < options.maxConnections || makeRoom()) {
        std::make_shared<Session>(std::move(socket), shared_from_this())->waitForRequest();
    } else {
        reportLimit(refusedConnections);
    }
}

// Connections that the kernel has accepted may carry requests already.
void Server::Impl::stopAccepting()
{
    boost::system::error_code error;
    acceptor.cancel(error);
    acceptor.non_blocking(true, error);
    while (!error) {
        asio::ip::tcp::socket socket(io);
        acceptor.accept(socket, error);
        if (!error) {
            onAccepted(std::move(socket));
        }
    }
    acceptor.close(error);
    acceptTimer.cancel();
    closing = true;
    closeIdleSessions();
}

void Server::Impl::closeIdleSessions()
{
    const std::vector<Session *> sessions(idleSessions.begin(), idleSessions.end());
    for (Session *const session : sessions) {
        if (session->isIdle()) {
            session->cancelIdleRead();
        }
    }
}

void Server::Impl::acceptLater(const boost::system::error_code &error)
{
    base::logWarning("accept_failed").with("error", error.message());
    acceptTimer.expires_after(AcceptRetryDelay);
    acceptTimer.async_wait([self = shared_from_this()](const boost::system::error_code &cancelled) {
        if (!cancelled && !self->stopped && self->acceptor.is_open()) {
            self->accept();
        }
    });
}

// Idle clients connect again when they need to, and a new one may be an operator.
bool Server::Impl::makeRoom()
{
    if (idleSessions.empty()) {
        return giveUpOldestArrival(MinArrivalTime);
    }
    idleSessions.front()->closeIdle();
    reportLimit(closedIdle);
    return true;
}

// Clients that send parts of requests must not keep others out. After a pause of this process, parts that have arrived
// meanwhile are still to be read.
bool Server::Impl::giveUpOldestArrival(std::chrono::milliseconds minTime, const Session *except)
{
    const auto latest = std::chrono::steady_clock::now() - minTime;
    for (Session *const session : arrivingSessions) {
        if (session->arrivingSince() > latest) {
            break;
        }
        if (session != except && !session->hasUnreadInput()) {
            session->giveUpArrival();
            reportLimit(givenUpArrivals);
            return true;
        }
    }
    return false;
}

void Server::Impl::reportLimit(std::size_t &count)
{
    ++count;
    const auto now = std::chrono::steady_clock::now();
    if (now < nextReport) {
        return;
    }
    constexpr std::chrono::seconds ReportInterval{1};
    nextReport = now + ReportInterval;
    base::logWarning("server_limit_reached")
        .with("port", acceptor.local_endpoint().port())
        .with("connections", connections)
        .with("max_connections", options.maxConnections)
        .with("request_bytes", memory->used())
        .with("max_request_bytes", options.maxRequestMemory)
        .with("idle_closed", std::exchange(closedIdle, 0))
        .with("arrivals_given_up", std::exchange(givenUpArrivals, 0))
        .with("requests_refused", std::exchange(refusedForMemory, 0))
        .with("connections_refused", std::exchange(refusedConnections, 0));
}

Server::Server(asio::io_context &io, const asio::ip::tcp::endpoint &address, ServerOptions options, Handler handler)
    : impl_(std::make_shared<Impl>(io, address, std::move(options), std::move(handler)))
{
    ServerGroup::of(io).add(*impl_);
    impl_->accept();
}

Server::~Server()
{
    ServerGroup::of(impl_->io).remove(*impl_);
    impl_->stopped = true;
    impl_->acceptTimer.cancel();
    boost::system::error_code ignored;
    impl_->acceptor.close(ignored);
}

asio::ip::tcp::endpoint Server::address() const
{
    return impl_->acceptor.local_endpoint();
}

} // namespace yuccawheel::http
