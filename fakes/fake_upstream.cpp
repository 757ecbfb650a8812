#include "fakes/fake_upstream.h"

#include "routing/announcement.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <fmt/core.h>

#include <algorithm>
#include <condition_variable>
#include <cstdlib>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>

namespace yuccawheel::fakes
{

namespace beast = boost::beast;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

namespace
{

constexpr std::chrono::milliseconds DefaultHeartbeat{500};
constexpr std::chrono::milliseconds AnnounceTimeout{300};
constexpr std::uint64_t MaxBodyBytes = 256ULL * 1024 * 1024;
constexpr unsigned Http11 = 11;

std::uint64_t numberAfter(std::string_view target, std::string_view prefix)
{
    return std::strtoull(std::string(target.substr(prefix.size())).c_str(), nullptr, 10);
}

} // namespace

class FakeUpstream::Impl
{
public:
    class Connection;

    explicit Impl(FakeUpstreamOptions fakeOptions) : options(std::move(fakeOptions)), acceptor(context)
    {
        acceptor.open(Tcp::v4());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(Tcp::endpoint(asio::ip::make_address(options.address), options.port));
        acceptor.listen();
        port = acceptor.local_endpoint().port();
        accept();
        thread = std::thread([this] { context.run(); });
        if (!options.entries.empty()) {
            announcer = std::thread([this] { announceLoop(); });
        }
    }
    ~Impl()
    {
        {
            const std::lock_guard lock(mutex);
            stopping = true;
        }
        wake.notify_all();
        if (announcer.joinable()) {
            announcer.join();
        }
        context.stop();
        thread.join();
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    void accept();
    void announceLoop();
    void announceTo(const std::string &entry);
    routing::UpstreamAnnouncement announcement();
    void recordRequest(const std::string &key);
    FakeUpstreamCounts countsNow()
    {
        const std::lock_guard lock(mutex);
        return counts;
    }

    const FakeUpstreamOptions options;
    asio::io_context context{1};
    Tcp::acceptor acceptor;
    std::uint16_t port = 0;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    bool leaving = false;
    Clock::time_point leavingSince;
    std::chrono::milliseconds heartbeat = DefaultHeartbeat;
    FakeUpstreamCounts counts;
    std::unordered_map<std::string, std::uint32_t> runs;
    std::thread thread;
    std::thread announcer;
};

/// One connection: reads requests and answers each after its delay.
class FakeUpstream::Impl::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(Impl &owner, Tcp::socket socket) : owner_(owner), socket_(std::move(socket)), timer_(owner.context)
    {
        const std::lock_guard lock(owner_.mutex);
        owner_.counts.maxConnections = std::max(owner_.counts.maxConnections, ++owner_.counts.connections);
    }
    ~Connection()
    {
        const std::lock_guard lock(owner_.mutex);
        --owner_.counts.connections;
        owner_.counts.running -= running_ ? 1 : 0;
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void read()
    {
        parser_.emplace();
        parser_->body_limit(MaxBodyBytes);
        beast::http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](auto error, std::size_t) {
            if (!error) {
                self->onRequest();
            }
        });
    }

private:
    void onRequest()
    {
        const auto key = parser_->get()["Yw-Key"];
        running_ = true;
        owner_.recordRequest(std::string(key.data(), key.size()));
        const auto path = parser_->get().target();
        target_.assign(path.data(), path.size());
        auto delay = owner_.options.delay;
        if (target_.starts_with("/delay/")) {
            delay = std::chrono::milliseconds(numberAfter(target_, "/delay/"));
        }
        if (target_ == "/stall") {
            return watchForClose();
        }
        if (delay.count() == 0) {
            return answer();
        }
        timer_.expires_after(delay);
        timer_.async_wait([self = shared_from_this()](auto error) {
            if (!error) {
                self->answer();
            }
        });
    }

    // A stalled request ends when the client closes its connection.
    void watchForClose()
    {
        socket_.async_wait(Tcp::socket::wait_read,
                           [self = shared_from_this()](auto /*error*/) { self->socket_.close(); });
    }

    void answer()
    {
        const auto number = owner_.countsNow().requests;
        const bool fail = owner_.options.failEvery > 0 && number % owner_.options.failEvery == 0;
        const bool cut = owner_.options.cutEvery > 0 && number % owner_.options.cutEvery == 0;
        answer_ = {};
        answer_.version(Http11);
        answer_.result(fail || target_ == "/error" ? 500U : 200U);
        answer_.set(beast::http::field::content_type, "text/plain");
        answer_.body() = "ok " + target_;
        if (target_ == "/echo") {
            answer_.body() = parser_->get().body();
        } else if (target_.starts_with("/bytes/")) {
            answer_.body().assign(numberAfter(target_, "/bytes/"), 'x');
        } else if (target_ == "/refuse") {
            answer_.result(503);
            answer_.set("Yw-Verdict", "not-run");
        }
        answer_.keep_alive(parser_->get().keep_alive());
        answer_.prepare_payload();
        if (target_ == "/close") {
            finishRequest();
            socket_.close();
        } else if (cut || target_ == "/cut") {
            writeTruncatedAnswer();
        } else {
            writeAnswer();
        }
    }

    // Frees the slot before sending the answer, since the client may send the next request as soon as it has the
    // answer.
    void writeAnswer()
    {
        finishRequest();
        beast::http::async_write(socket_, answer_, [self = shared_from_this()](auto error, std::size_t) {
            if (!error) {
                {
                    const std::lock_guard lock(self->owner_.mutex);
                    ++self->owner_.counts.answered;
                }
                if (self->answer_.keep_alive()) {
                    self->read();
                } else {
                    self->socket_.shutdown(Tcp::socket::shutdown_both, error);
                }
            }
        });
    }

    void writeTruncatedAnswer()
    {
        finishRequest();
        text_ = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\nhalf", target_.size() + 100);
        asio::async_write(socket_, asio::buffer(text_), [self = shared_from_this()](auto error, std::size_t) {
            self->socket_.close(error);
        });
    }

    void finishRequest()
    {
        const std::lock_guard lock(owner_.mutex);
        running_ = false;
        --owner_.counts.running;
    }

    Impl &owner_;
    Tcp::socket socket_;
    asio::steady_timer timer_;
    beast::flat_buffer buffer_;
    std::optional<beast::http::request_parser<beast::http::string_body>> parser_;
    beast::http::response<beast::http::string_body> answer_;
    std::string target_;
    std::string text_;
    bool running_ = false;
};

void FakeUpstream::Impl::accept()
{
    acceptor.async_accept([this](boost::system::error_code error, Tcp::socket socket) {
        if (!error) {
            socket.set_option(Tcp::no_delay(true));
            std::make_shared<Connection>(*this, std::move(socket))->read();
        }
        accept();
    });
}

void FakeUpstream::Impl::recordRequest(const std::string &key)
{
    const std::lock_guard lock(mutex);
    ++counts.requests;
    counts.maxRunning = std::max(counts.maxRunning, ++counts.running);
    if (!key.empty()) {
        counts.maxRunsPerKey = std::max(counts.maxRunsPerKey, ++runs[key]);
    }
    if (leaving) {
        ++counts.afterLeaving;
        counts.lastAfterLeaving = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - leavingSince);
    }
}

routing::UpstreamAnnouncement FakeUpstream::Impl::announcement()
{
    const std::lock_guard lock(mutex);
    routing::UpstreamAnnouncement result;
    result.executor = options.executor;
    result.incarnation = options.incarnation;
    result.address = fmt::format("{}:{}", options.address, port);
    result.slots = options.slots;
    result.connections = options.connections;
    result.services = options.services;
    result.state = leaving ? routing::UpstreamState::Leaving : routing::UpstreamState::Serving;
    if (options.reportsRunning) {
        result.running = counts.running;
    }
    return result;
}

void FakeUpstream::Impl::announceLoop()
{
    std::unique_lock lock(mutex);
    while (!stopping) {
        const bool wasLeaving = leaving;
        lock.unlock();
        for (const std::string &entry : options.entries) {
            announceTo(entry);
        }
        lock.lock();
        wake.wait_for(lock, heartbeat, [&] { return stopping || leaving != wasLeaving; });
    }
}

// An entry that does not answer in time is skipped until the next heartbeat.
void FakeUpstream::Impl::announceTo(const std::string &entry)
{
    const auto colon = entry.rfind(':');
    asio::io_context client{1};
    beast::tcp_stream stream(client);
    beast::http::request<beast::http::string_body> request(beast::http::verb::post, "/v1/upstreams", Http11);
    request.set(beast::http::field::host, entry);
    request.set(beast::http::field::content_type, "application/json");
    request.body() = routing::formatAnnouncement(announcement());
    request.keep_alive(false);
    request.prepare_payload();
    beast::flat_buffer buffer;
    beast::http::response<beast::http::string_body> response;
    stream.expires_after(AnnounceTimeout);
    const Tcp::endpoint endpoint(asio::ip::make_address(entry.substr(0, colon)),
                                 static_cast<std::uint16_t>(std::stoul(entry.substr(colon + 1))));
    stream.async_connect(endpoint, [&](auto connectError) {
        if (connectError) {
            return;
        }
        beast::http::async_write(stream, request, [&](auto writeError, std::size_t) {
            if (!writeError) {
                beast::http::async_read(stream, buffer, response, [](auto, std::size_t) {});
            }
        });
    });
    client.run();
}

FakeUpstream::FakeUpstream(FakeUpstreamOptions options) : impl_(std::make_unique<Impl>(std::move(options)))
{
}

FakeUpstream::~FakeUpstream() = default;

std::uint16_t FakeUpstream::port() const
{
    return impl_->port;
}

routing::UpstreamAnnouncement FakeUpstream::announcement() const
{
    return impl_->announcement();
}

void FakeUpstream::leave()
{
    {
        const std::lock_guard lock(impl_->mutex);
        impl_->leaving = true;
        impl_->leavingSince = Clock::now();
    }
    impl_->wake.notify_all();
}

FakeUpstreamCounts FakeUpstream::counts() const
{
    return impl_->countsNow();
}

} // namespace yuccawheel::fakes
