#include "http/server.h"

#include "base/duty_time.h"
#include "base/log.h"
#include "base/traffic.h"

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

struct Server::Impl : std::enable_shared_from_this<Server::Impl> {
    Impl(asio::io_context &context, const asio::ip::tcp::endpoint &address, ServerOptions opts, Handler handle)
        : io(context)
        , acceptor(context, address)
        , acceptTimer(context)
        , options(opts)
        , handler(std::move(handle))
    {
    }

    void accept();
    void acceptLater(const boost::system::error_code &error);
    bool makeRoom();

    asio::io_context &io;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    ServerOptions options;
    Handler handler;
    std::size_t connections = 0;
    std::list<Session *> idleSessions; ///< Those that wait for a request, the one that waits for longest first.
    std::size_t closedIdle = 0; ///< Since the last report.
    std::chrono::steady_clock::time_point nextReport{};
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
        release();
    }
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    /// Closes the connection, which must be idle.
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
                                   boost::system::error_code ignored;
                                   self->stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
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
    bool keepAlive_ = true;
};

} // namespace

void Server::Impl::accept()
{
    acceptor.async_accept(
        [self = shared_from_this()](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
            if (self->stopped) {
                return;
            }
            if (error) {
                self->acceptLater(error);
                return;
            }
            // If all are in use, the connection is closed at once, so that the client tries another VM.
            if (self->connections < self->options.maxConnections || self->makeRoom()) {
                std::make_shared<Session>(std::move(socket), self)->waitForRequest();
            }
            self->accept();
        });
}

void Server::Impl::acceptLater(const boost::system::error_code &error)
{
    base::logWarning("accept_failed").with("error", error.message());
    acceptTimer.expires_after(AcceptRetryDelay);
    acceptTimer.async_wait([self = shared_from_this()](const boost::system::error_code &cancelled) {
        if (!cancelled && !self->stopped) {
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
    impl_->accept();
}

Server::~Server()
{
    impl_->stopped = true;
    impl_->acceptTimer.cancel();
    boost::system::error_code ignored;
    impl_->acceptor.close(ignored);
}

void Server::refuseRequests()
{
    impl_->refusing = true;
}

asio::ip::tcp::endpoint Server::address() const
{
    return impl_->acceptor.local_endpoint();
}

} // namespace yuccawheel::http
