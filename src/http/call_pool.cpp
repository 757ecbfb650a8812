#include "http/call_pool.h"

#include "base/duty_time.h"
#include "base/traffic.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <deque>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

namespace yuccawheel::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace
{

constexpr unsigned HttpVersion11 = 11;
// A call that has waited for this long may use a connection beyond its pool's share: one that is answered late must not
// hold up the others.
constexpr std::chrono::milliseconds MaxShareWait{400};

using Executor = asio::io_context::executor_type;
using Socket = asio::basic_stream_socket<asio::ip::tcp, Executor>;
using Timer =
    asio::basic_waitable_timer<std::chrono::steady_clock, asio::wait_traits<std::chrono::steady_clock>, Executor>;

struct QueuedCall {
    ClientRequest request;
    std::chrono::steady_clock::time_point queuedAt;
    std::chrono::steady_clock::time_point deadline;
    CallPool::Done done;
    CallPool::MakeBody makeBody;
    bool retried = false;
    std::optional<std::chrono::steady_clock::time_point> sentAt{}; ///< Of the current attempt.

    CallTiming timing() const
    {
        const auto since = [this](std::chrono::steady_clock::time_point time) {
            return std::chrono::duration_cast<std::chrono::milliseconds>(time - queuedAt);
        };
        return {sentAt ? std::optional(since(*sentAt)) : std::nullopt, since(std::chrono::steady_clock::now())};
    }

    /// Verdict on a call that fails now, if its current attempt ends with `attempt`. The server may have processed the
    /// first attempt of a retried call and closed the connection before it answered.
    base::Verdict verdictAfter(base::Verdict attempt) const
    {
        return retried ? base::Verdict::MayHaveRun : attempt;
    }
};

// Writes the message as a whole into the buffer, so that one buffer has to be sent.
void serialize(beast::http::request<beast::http::string_body> &message, beast::flat_buffer &buffer)
{
    beast::http::request_serializer<beast::http::string_body> serializer(message);
    beast::error_code error;
    while (!serializer.is_done() && !error) {
        serializer.next(error, [&](beast::error_code &, const auto &parts) {
            const std::size_t bytes = asio::buffer_copy(buffer.prepare(beast::buffer_bytes(parts)), parts);
            buffer.commit(bytes);
            serializer.consume(bytes);
        });
    }
}

} // namespace

class PooledConnection;

struct CallPool::Impl
    : std::enable_shared_from_this<CallPool::Impl>
    , ConnectionLimiter::Pool {
    Impl(asio::io_context &context, const settings::Endpoint &address, CallPoolOptions opts)
        : io(context)
        , server(address)
        , options(std::move(opts))
    {
        boost::system::error_code invalid;
        endpoint = {asio::ip::make_address(server.ip, invalid), server.port};
        host = settings::toString(server);
    }

    void startQueuedCalls();
    bool mayOpenConnection(std::chrono::steady_clock::time_point queuedAt);
    std::shared_ptr<PooledConnection> takeIdle(bool tagged);
    void closeIdleConnection() override;
    void resume() override
    {
        if (!stopped) {
            startQueuedCalls();
        }
    }
    void noteIdle()
    {
        if (options.limiter) {
            options.limiter->setIdle(*this, !idle.empty());
        }
    }
    void release(const std::shared_ptr<PooledConnection> &connection, bool reusable);
    void finish(const QueuedCall &call, tl::expected<ClientResponse, CallError> answer) const
    {
        if (!stopped) {
            call.done(std::move(answer));
        }
    }

    asio::io_context &io;
    settings::Endpoint server;
    asio::ip::tcp::endpoint endpoint;
    std::string host;
    CallPoolOptions options;
    std::deque<QueuedCall> queue;
    std::vector<std::shared_ptr<PooledConnection>> idle;
    std::vector<std::shared_ptr<PooledConnection>> busy;
    bool stopped = false;
};

/// A connection that carries one call at a time.
class PooledConnection : public std::enable_shared_from_this<PooledConnection>
{
public:
    explicit PooledConnection(std::shared_ptr<CallPool::Impl> pool)
        : pool_(std::move(pool))
        , limiter_(pool_->options.limiter)
        , memory_(pool_->options.memory)
        , socket_(pool_->io)
        , timer_(pool_->io)
    {
    }
    ~PooledConnection()
    {
        close();
    }
    PooledConnection(const PooledConnection &) = delete;
    PooledConnection &operator=(const PooledConnection &) = delete;

    void run(QueuedCall call)
    {
        call_.emplace(std::move(call));
        if (!timerArmed_ || timer_.expiry() > call_->deadline) {
            armTimer();
        }
        prepareMessage();
        if (connected_) {
            reused_ = true;
            write();
            return;
        }
        verdict_ = base::Verdict::NotRun;
        socket_.async_connect(pool_->endpoint, [self = shared_from_this()](beast::error_code error) {
            const base::DutyScope duty(base::Duty::Calls);
            if (error) {
                self->fail(error);
                return;
            }
            self->connected_ = true;
            beast::error_code ignored;
            self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->write();
        });
    }

    bool isTagged() const
    {
        return tag_->has_value();
    }

    void close()
    {
        isClosed_ = true;
        beast::error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
        if (const auto limiter = std::exchange(limiter_, nullptr)) {
            limiter->onClosed();
        }
    }

private:
    // Arming and cancelling a timer for each call would cost more than a wait that outlives its call: when it ends, the
    // deadline of the call in progress decides.
    void armTimer()
    {
        timerArmed_ = true;
        timer_.expires_at(call_->deadline);
        timer_.async_wait([weak = weak_from_this()](beast::error_code error) {
            const auto self = weak.lock();
            if (!self || error) {
                return;
            }
            self->timerArmed_ = false;
            if (!self->call_) {
                return;
            }
            if (self->call_->deadline > std::chrono::steady_clock::now()) {
                self->armTimer();
                return;
            }
            self->timedOut_ = true;
            beast::error_code ignored;
            self->socket_.close(ignored);
        });
    }

    void prepareMessage()
    {
        beast::http::request<beast::http::string_body> message;
        message.method_string(call_->request.method);
        message.target(call_->request.target);
        message.version(HttpVersion11);
        message.set(beast::http::field::host, pool_->host);
        for (const Header &header : call_->request.headers) {
            message.set(header.name, header.value);
        }
        tagWhenSent_ = *tag_;
        message.body() = call_->makeBody ? call_->makeBody(tagWhenSent_) : call_->request.body;
        message.prepare_payload();
        output_.clear();
        serialize(message, output_);
    }

    void write()
    {
        verdict_ = base::Verdict::MayHaveRun;
        call_->sentAt = std::chrono::steady_clock::now();
        asio::async_write(
            socket_, output_.data(), [self = shared_from_this()](beast::error_code error, std::size_t bytes) {
                const base::DutyScope duty(base::Duty::Calls);
                base::controlTraffic().addSent(base::ControlTraffic::HttpKind, bytes);
                if (error) {
                    self->fail(error);
                    return;
                }
                self->read();
            });
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(pool_->options.maxAnswerBytes);
        parser_->eager(true);
        readMore();
    }

    void readMore()
    {
        beast::http::async_read_some(
            socket_, buffer_, *parser_, [self = shared_from_this()](beast::error_code error, std::size_t bytes) {
                const base::DutyScope duty(base::Duty::Calls);
                base::controlTraffic().addReceived(base::ControlTraffic::HttpKind, bytes);
                self->anyByteRead_ = self->anyByteRead_ || bytes > 0;
                self->onRead(error);
            });
    }

    void onRead(beast::error_code error)
    {
        if (!error && !memory_.resize(buffer_.capacity() + parser_->get().body().capacity())) {
            error = boost::system::errc::make_error_code(boost::system::errc::not_enough_memory);
        }
        if (error || parser_->need_eof()) {
            fail(error);
        } else if (parser_->is_done()) {
            succeed();
        } else {
            readMore();
        }
    }

    void succeed()
    {
        ClientResponse response;
        response.status = static_cast<int>(parser_->get().result_int());
        for (const auto &field : parser_->get()) {
            response.headers.push_back({std::string(field.name_string()), std::string(field.value())});
        }
        response.tagWhenSent = tagWhenSent_;
        response.connectionTag = tag_;
        const bool reusable = parser_->get().keep_alive();
        response.body = std::move(parser_->get().body());
        parser_.reset();
        memory_.release();
        QueuedCall call = std::move(*call_);
        call_.reset();
        response.timing = call.timing();
        const auto pool = pool_;
        pool->release(shared_from_this(), reusable);
        pool->finish(call, std::move(response));
    }

    void fail(beast::error_code error)
    {
        if (timedOut_) {
            error = beast::error::timeout;
        }
        QueuedCall call = std::move(*call_);
        call_.reset();
        parser_.reset();
        memory_.release();
        const auto pool = pool_;
        const bool closedWhileIdle =
            reused_ && !anyByteRead_ && !isClosed_ && error != beast::error::timeout && !call.retried;
        pool->release(shared_from_this(), false);
        if (closedWhileIdle && call.request.mayBeRepeated && !pool->stopped) {
            call.retried = true;
            call.sentAt.reset();
            pool->queue.push_front(std::move(call));
            pool->startQueuedCalls();
            return;
        }
        const std::string text = error ? error.message() : "answer without a length";
        pool->finish(
            call,
            tl::unexpected(CallError{
                call.verdictAfter(verdict_), pool->host + ": " + text, call.timing(), error == beast::error::timeout}));
    }

    std::shared_ptr<CallPool::Impl> pool_;
    std::shared_ptr<ConnectionLimiter> limiter_; ///< Null once the connection is closed.
    MemoryShare memory_; ///< For the answer that arrives.
    Socket socket_;
    Timer timer_;
    beast::flat_buffer output_; ///< The request.
    beast::flat_buffer buffer_;
    std::optional<beast::http::response_parser<beast::http::string_body>> parser_;
    std::optional<QueuedCall> call_;
    base::Verdict verdict_ = base::Verdict::NotRun;
    std::shared_ptr<ConnectionTag> tag_ = std::make_shared<ConnectionTag>();
    ConnectionTag tagWhenSent_;
    bool timerArmed_ = false;
    bool timedOut_ = false;
    bool connected_ = false;
    bool isClosed_ = false; ///< By this side.
    bool reused_ = false;
    bool anyByteRead_ = false;
};

void CallPool::Impl::startQueuedCalls()
{
    while (!queue.empty()) {
        const bool expired = queue.front().deadline <= std::chrono::steady_clock::now();
        // A retried call gets a new connection, since another idle one may have been closed by the server too.
        const bool reuses = !idle.empty() && !queue.front().retried;
        if (!expired && !reuses && !mayOpenConnection(queue.front().queuedAt)) {
            if (options.limiter) {
                options.limiter->wait(*this);
            }
            return;
        }
        QueuedCall call = std::move(queue.front());
        queue.pop_front();
        if (expired) {
            finish(call,
                   tl::unexpected(CallError{call.verdictAfter(base::Verdict::NotRun),
                                            host + ": no connection became free in time",
                                            call.timing()}));
            continue;
        }
        std::shared_ptr<PooledConnection> connection;
        if (reuses) {
            connection = takeIdle(call.makeBody != nullptr);
        } else {
            connection = std::make_shared<PooledConnection>(shared_from_this());
        }
        busy.push_back(connection);
        connection->run(std::move(call));
    }
}

// Prefers a connection with a tag for calls that make use of it, and leaves it to them.
std::shared_ptr<PooledConnection> CallPool::Impl::takeIdle(bool tagged)
{
    const auto preferred =
        std::find_if(idle.rbegin(), idle.rend(), [tagged](const std::shared_ptr<PooledConnection> &connection) {
            return connection->isTagged() == tagged;
        });
    const auto chosen = preferred == idle.rend() ? std::prev(idle.end()) : std::prev(preferred.base());
    auto connection = *chosen;
    idle.erase(chosen);
    noteIdle();
    return connection;
}

// Counts the connection with the limiter if it may be opened.
bool CallPool::Impl::mayOpenConnection(std::chrono::steady_clock::time_point queuedAt)
{
    if (!options.limiter) {
        return busy.size() < options.maxConnections;
    }
    const bool hasWaited = std::chrono::steady_clock::now() - queuedAt >= MaxShareWait;
    const std::size_t share = options.limiter->share(options.maxConnections);
    const bool beyondShare = busy.size() >= share;
    if (busy.size() >= options.maxConnections || (beyondShare && (!hasWaited || !options.limiter->hasFree()))) {
        return false;
    }
    return options.limiter->tryOpen();
}

void CallPool::Impl::closeIdleConnection()
{
    const auto oldest = idle.front();
    idle.erase(idle.begin());
    noteIdle();
    oldest->close();
}

void CallPool::Impl::release(const std::shared_ptr<PooledConnection> &connection, bool reusable)
{
    std::erase(busy, connection);
    const bool exceedsShare =
        options.limiter && busy.size() + idle.size() >= options.limiter->share(options.maxConnections);
    if (reusable && !stopped && !exceedsShare) {
        idle.push_back(connection);
        noteIdle();
    } else {
        connection->close();
    }
    if (!queue.empty() && !stopped) {
        asio::post(io, [self = shared_from_this()] { self->startQueuedCalls(); });
    }
}

CallPool::CallPool(asio::io_context &io, const settings::Endpoint &server, CallPoolOptions options)
    : impl_(std::make_shared<Impl>(io, server, std::move(options)))
{
    if (impl_->options.limiter) {
        impl_->options.limiter->addPool();
    }
}

CallPool::~CallPool()
{
    impl_->stopped = true;
    impl_->queue.clear();
    closeConnections();
    if (impl_->options.limiter) {
        impl_->options.limiter->removePool(*impl_);
    }
}

void CallPool::closeConnections()
{
    for (const auto &connection : impl_->busy) {
        connection->close();
    }
    for (const auto &connection : impl_->idle) {
        connection->close();
    }
    impl_->idle.clear();
    impl_->noteIdle();
    for (QueuedCall &queued : std::exchange(impl_->queue, {})) {
        asio::post(impl_->io, [impl = impl_, call = std::move(queued)] {
            impl->finish(call,
                         tl::unexpected(CallError{call.verdictAfter(base::Verdict::NotRun),
                                                  impl->host + ": the connections were closed",
                                                  call.timing()}));
        });
    }
}

bool CallPool::isIdle() const
{
    return impl_->busy.empty() && impl_->queue.empty();
}

void CallPool::call(ClientRequest request, std::chrono::milliseconds timeout, Done done, MakeBody makeBody)
{
    const base::DutyScope duty(base::Duty::Calls);
    const auto now = std::chrono::steady_clock::now();
    QueuedCall call{std::move(request), now, now + timeout, std::move(done), std::move(makeBody), false};
    if (impl_->queue.size() >= impl_->options.maxQueued) {
        asio::post(impl_->io, [impl = impl_, call = std::move(call)] {
            impl->finish(call,
                         tl::unexpected(CallError{
                             base::Verdict::NotRun, impl->host + ": too many calls are queued", call.timing()}));
        });
        return;
    }
    impl_->queue.push_back(std::move(call));
    impl_->startQueuedCalls();
}

} // namespace yuccawheel::http
