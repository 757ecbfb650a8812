#include "route_load.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <fmt/core.h>

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>

namespace yuccawheel::bench
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

namespace
{

constexpr unsigned StatusOk = 200;
constexpr std::size_t CallerCount = 20;
constexpr std::chrono::milliseconds ProgressInterval{20};

struct Connection {
    Connection(asio::io_context &context, std::uint16_t toPort) : socket(context), port(toPort)
    {
    }

    Tcp::socket socket;
    std::uint16_t port;
    beast::flat_buffer buffer;
    std::optional<beast::http::response_parser<beast::http::string_body>> parser;
    Clock::time_point sentAt;
};
using ConnectionPtr = std::shared_ptr<Connection>;

class HttpLoadRun
{
public:
    explicit HttpLoadRun(const HttpLoadOptions &options)
        : options_(options)
        , random_(options.seed)
        , interval_(options.ratePerSecond)
        , sendTimer_(context_)
        , progressTimer_(context_)
        , start_(Clock::now())
        , nextSendAt_(start_)
    {
        for (std::size_t i = 0; i < CallerCount; ++i) {
            requests_[i] = fmt::format("GET {} HTTP/1.1\r\nHost: entry\r\nYw-Caller: c{}\r\n\r\n", options.target, i);
        }
        latencies_.reserve(static_cast<std::size_t>(options.ratePerSecond
                                                    * std::chrono::duration<double>(options.duration).count() * 1.2));
    }

    HttpLoadResult run()
    {
        scheduleNextRequest();
        scheduleProgressReport();
        context_.run();
        return result();
    }

private:
    void scheduleNextRequest()
    {
        if (nextSendAt_ - start_ >= options_.duration) {
            done_ = true;
            return;
        }
        sendTimer_.expires_at(nextSendAt_);
        sendTimer_.async_wait([this](auto) {
            while (nextSendAt_ <= Clock::now() && nextSendAt_ - start_ < options_.duration) {
                send();
                nextSendAt_ +=
                    std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(interval_(random_)));
            }
            scheduleNextRequest();
        });
    }
    void scheduleProgressReport()
    {
        if (!options_.onProgress || done_) {
            return;
        }
        progressTimer_.expires_after(ProgressInterval);
        progressTimer_.async_wait([this](auto) {
            options_.onProgress(std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start_));
            scheduleProgressReport();
        });
    }
    void send()
    {
        const std::uint16_t port = options_.nextPort();
        auto &idle = idle_[port];
        ++total_.sent;
        if (!idle.empty()) {
            ConnectionPtr connection = std::move(idle.back());
            idle.pop_back();
            connection->sentAt = Clock::now();
            write(std::move(connection));
            return;
        }
        auto connection = std::make_shared<Connection>(context_, port);
        connection->sentAt = Clock::now();
        connection->socket.async_connect(Tcp::endpoint(asio::ip::address_v4::loopback(), port),
                                         [this, connection](auto error) {
                                             if (error) {
                                                 ++total_.lost;
                                                 return;
                                             }
                                             connection->socket.set_option(Tcp::no_delay(true));
                                             write(connection);
                                         });
    }
    void write(ConnectionPtr connection)
    {
        Connection &used = *connection;
        asio::async_write(used.socket,
                          asio::buffer(requests_[total_.sent % CallerCount]),
                          [this, connection = std::move(connection)](auto error, auto) {
                              error ? static_cast<void>(++total_.lost) : read(connection);
                          });
    }
    void read(const ConnectionPtr &connection)
    {
        connection->parser.emplace();
        beast::http::async_read(
            connection->socket, connection->buffer, *connection->parser, [this, connection](auto error, auto) {
                error ? static_cast<void>(++total_.lost) : handleResponse(connection);
            });
    }
    void handleResponse(const ConnectionPtr &connection)
    {
        const auto now = Clock::now();
        const bool succeeded = connection->parser->get().result_int() == StatusOk;
        ++(succeeded ? total_.answered : total_.serverErrors);
        if (succeeded && connection->sentAt - start_ >= options_.warmUp) {
            latencies_.push_back(std::chrono::duration<double, std::milli>(now - connection->sentAt).count());
        }
        lastAnswer_ = now;
        if (connection->parser->keep_alive()) {
            idle_[connection->port].push_back(connection);
        }
    }
    HttpLoadResult result()
    {
        std::sort(latencies_.begin(), latencies_.end());
        const auto at = [&](double part) {
            const auto index = static_cast<std::size_t>(part * static_cast<double>(latencies_.size()));
            return latencies_.empty() ? 0.0 : latencies_[std::min(index, latencies_.size() - 1)];
        };
        total_.p50Ms = at(0.5);
        total_.p99Ms = at(0.99);
        total_.p999Ms = at(0.999);
        total_.requestsPerSecond =
            static_cast<double>(total_.answered) / std::chrono::duration<double>(lastAnswer_ - start_).count();
        return total_;
    }

    const HttpLoadOptions &options_;
    std::array<std::string, CallerCount> requests_;
    std::mt19937_64 random_;
    std::exponential_distribution<double> interval_;
    asio::io_context context_{1};
    asio::steady_timer sendTimer_;
    asio::steady_timer progressTimer_;
    Clock::time_point start_;
    Clock::time_point nextSendAt_;
    Clock::time_point lastAnswer_;
    bool done_ = false;
    std::unordered_map<std::uint16_t, std::vector<ConnectionPtr>> idle_;
    std::vector<double> latencies_;
    HttpLoadResult total_;
};

} // namespace

HttpLoadResult runHttpLoad(const HttpLoadOptions &options)
{
    return HttpLoadRun(options).run();
}

void withIdleConnections(std::uint16_t port, std::size_t count, const std::function<void()> &whileOpen)
{
    const std::string request = "GET /serve/loan-check/x HTTP/1.1\r\nHost: entry\r\n\r\n";
    asio::io_context context{1};
    std::vector<Tcp::socket> sockets;
    sockets.reserve(count);
    std::string answer;
    for (std::size_t i = 0; i < count; ++i) {
        sockets.emplace_back(context);
        sockets.back().connect(Tcp::endpoint(asio::ip::address_v4::loopback(), port));
        asio::write(sockets.back(), asio::buffer(request));
        asio::read_until(sockets.back(), asio::dynamic_buffer(answer), "ok /x");
        answer.clear();
    }
    whileOpen();
}

} // namespace yuccawheel::bench
