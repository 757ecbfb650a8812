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
    /// Returns the limit for the body of a request to a path; at most maxBodyBytes. Null if all paths have the same.
    std::function<std::size_t(std::string_view path)> bodyLimit{};
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxHeaderFields = 64;
    std::size_t maxConnections = 1024;
    /// For all requests that arrive or wait for their response, and for responses to reads that are being sent; see
    /// MemoryBudget for what counts.
    std::size_t maxRequestMemory = 16U << 20U;
    std::chrono::milliseconds readTimeout{10'000}; ///< For one complete request, from its first byte on.
    std::chrono::milliseconds idleTimeout{60'000}; ///< Between two requests, and for writing one answer.
    bool refusable = true; ///< Refuses requests while its process ends. False for health checks.
};

/// Small HTTP/1.1 server for control interfaces. Malformed or oversized requests are answered with a 4xx status, and
/// requests for which there is no memory now with 503; their connection is closed. If a new connection or request needs
/// room, idle connections are closed, and then requests that have been arriving for long are given up with 503. Belongs
/// to the ServerGroup of its io_context.
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
