#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccawheel::http
{

/// A complete request to a control interface.
struct Request {
    std::string method;
    std::string path; ///< Without the query; percent-encoding is not decoded.
    std::string query;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers; ///< Names in lower case.
    std::string peer; ///< IP address of the client.

    /// Returns the value of a header by its lower-case name, or an empty text.
    std::string_view header(std::string_view name) const;
    /// Returns the value of a query parameter, or an empty text.
    std::string_view parameter(std::string_view name) const;
};

struct Response {
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
};

/// Sends the response to one request. May be called at any time, on the io_context's thread; calls after the first have
/// no effect. Until the call the connection waits without a timeout.
using Responder = std::function<void(Response)>;
using Handler = std::function<void(const Request &, Responder)>;

struct ServerOptions {
    std::size_t maxBodyBytes = 4U << 20U;
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxConnections = 1024;
    std::chrono::milliseconds readTimeout{10'000}; ///< For one complete request, from its first byte on.
    std::chrono::milliseconds idleTimeout{60'000}; ///< Between two requests, and for writing one answer.
    bool refusable = true; ///< Refuses requests while its process ends. False for health checks.
};

/// Small HTTP/1.1 server for control interfaces. Malformed or oversized requests are answered with a 4xx status, and
/// their connection is closed. Belongs to the ServerGroup of its io_context.
class Server
{
public:
    /// Throws boost::system::system_error if the address cannot be bound.
    Server(boost::asio::io_context &io,
           const boost::asio::ip::tcp::endpoint &address,
           ServerOptions options,
           Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    boost::asio::ip::tcp::endpoint address() const;

    struct Impl;

private:
    std::shared_ptr<Impl> impl_;
};

} // namespace yuccawheel::http
