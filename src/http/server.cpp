#include "http/server.h"

#include "base/duty_time.h"
#include "base/log.h"
#include "base/traffic.h"
#include "http/server_group.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/core.h>

#include <algorithm>
#include <cctype>
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

class Session;

} // namespace

struct Server::Impl
    : GroupedServer
    , std::enable_shared_from_this<Server::Impl> {
    Impl(asio::io_context &context, const asio::ip::tcp::endpoint &address, ServerOptions opts, Handler handle)
        : io(context)
        , acceptor(context, address)
        , acceptTimer(context)
        , options(opts)
        , handler(std::move(handle))
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
    std::size_t closedIdle = 0; ///< Since the last report.
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
        setUnanswered(false);
        release();
    }
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    // The socket is checked too, since closing it would lose a request that has arrived but was not read yet.
    bool isIdle() const
    {
        boost::system::error_code error;
        return idlePosition_ && !lingering_ && (stream_.socket().available(error) == 0 || error);
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

    void waitForRequest()
    {
        parser_.emplace();
        parser_->body_limit(server_->options.maxBodyBytes);
        parser_->header_limit(static_cast<std::uint32_t>(server_->options.maxHeaderBytes));
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

    void readRequest()
    {
        stream_.expires_after(server_->options.readTimeout);
        bhttp::async_read(stream_,
                          buffer_,
                          *parser_,
                          [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
                              const base::DutyScope duty(base::Duty::Reports);
                              base::controlTraffic().addReceived(base::ControlTraffic::HttpKind, bytes);
                              self->onRead(error);
                          });
    }

    void onRead(const boost::system::error_code &error)
    {
        if (server_->stopped) {
            return;
        }
        if (error) {
            rejectRequest(error);
            return;
        }
        if (hasConflictingLength()) {
            rejectRequest(bhttp::error::bad_content_length);
            return;
        }
        if (server_->refusing) {
            refuse();
            return;
        }
        stream_.expires_never();
        keepAlive_ = parser_->get().keep_alive();
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
        writeResponse({status,
                       fmt::format(R"({{"error":"{}","message":"{}","verdict":"not-run"}})", code, error.message()),
                       "application/json",
                       {}});
    }

    // The client reaches another process at once if it connects again.
    void refuse()
    {
        keepAlive_ = false;
        writeResponse({503,
                       R"({"error":"unavailable","message":"the process is ending","verdict":"not-run"})",
                       "application/json",
                       {{"Retry-After", "0"}}});
    }

    void writeResponse(Response response)
    {
        setUnanswered(false);
        keepAlive_ = keepAlive_ && !server_->closing;
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
        stream_.expires_after(server_->options.idleTimeout);
        bhttp::async_write(stream_,
                           *response_,
                           [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
                               const base::DutyScope duty(base::Duty::Reports);
                               base::controlTraffic().addSent(base::ControlTraffic::HttpKind, bytes);
                               self->response_.reset();
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
    std::optional<std::list<Session *>::iterator> idlePosition_;
    bool counted_ = true; ///< Among the server's connections.
    bool unanswered_ = false; ///< Has a request without a response.
    bool lingering_ = false; ///< Has sent its last answer and waits for the client to close the connection.
    bool keepAlive_ = true;
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
        return false;
    }
    idleSessions.front()->closeIdle();
    ++closedIdle;
    const auto now = std::chrono::steady_clock::now();
    if (now >= nextReport) {
        constexpr std::chrono::seconds ReportInterval{1};
        nextReport = now + ReportInterval;
        base::logWarning("connection_limit_reached")
            .with("port", acceptor.local_endpoint().port())
            .with("limit", options.maxConnections)
            .with("idle_closed", std::exchange(closedIdle, 0));
    }
    return true;
}

Server::Server(asio::io_context &io, const asio::ip::tcp::endpoint &address, ServerOptions options, Handler handler)
    : impl_(std::make_shared<Impl>(io, address, options, std::move(handler)))
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
