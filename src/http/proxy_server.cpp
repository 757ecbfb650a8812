#include "http/proxy_server.h"

#include "base/log.h"
#include "http/proxy_core.h"
#include "http/proxy_session.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/core.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <thread>

namespace yuccawheel::http
{

namespace asio = boost::asio;

namespace
{
constexpr std::chrono::milliseconds TickInterval{10};
constexpr std::chrono::milliseconds AcceptRetryDelay{100};
constexpr std::chrono::milliseconds FinalAnswerTime{500}; ///< For answers to requests that are given up.
} // namespace

class ProxyServer::Impl
{
public:
    Impl(ProxyOptions proxyOptions, std::shared_ptr<routing::KeyStore> keys)
        : options(std::move(proxyOptions))
        , acceptor(context.get_executor())
        , acceptTimer(context)
        , timer(context)
        , core(context.get_executor(), options, std::move(keys))
    {
    }

    tl::expected<std::uint16_t, std::string> listen();
    void accept();
    void onAccepted(const boost::system::error_code &error, Socket socket);
    void addSession(Socket socket);
    void tick();
    void continueDrain(base::TimePoint now);
    void finishDrain();
    void stopAccepting();
    void shutDown();

    const ProxyOptions options;
    asio::io_context context{1};
    Acceptor acceptor;
    asio::steady_timer acceptTimer;
    asio::steady_timer timer;
    ProxyCore core;
    std::atomic<bool> ready{false};
    bool draining = false;
    base::TimePoint stopAcceptingAt;
    base::TimePoint giveUpAt;
    base::TimePoint hardLimitAt;
    std::size_t cutRequests = 0;
    DrainHandler onDrained;
    std::thread thread;
};

tl::expected<std::uint16_t, std::string> ProxyServer::Impl::listen()
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(options.address, error);
    if (error) {
        return tl::unexpected(fmt::format("{}: {}", options.address, error.message()));
    }
    const Endpoint endpoint(ip, options.port);
    acceptor.open(endpoint.protocol(), error);
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(endpoint, error);
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return tl::unexpected(fmt::format("{}:{}: {}", options.address, options.port, error.message()));
    }
    return acceptor.local_endpoint().port();
}

void ProxyServer::Impl::accept()
{
    acceptor.async_accept(
        [this](const boost::system::error_code &error, auto socket) { onAccepted(error, Socket(std::move(socket))); });
}

// After an error, accepting is retried after a delay: without free file descriptors an immediate retry would spin.
void ProxyServer::Impl::onAccepted(const boost::system::error_code &error, Socket socket)
{
    if (error == asio::error::operation_aborted || !acceptor.is_open()) {
        return;
    }
    if (error) {
        base::logWarning("accept_failed").with("error", error.message());
        acceptTimer.expires_after(AcceptRetryDelay);
        acceptTimer.async_wait([this](const boost::system::error_code &cancelled) {
            if (!cancelled) {
                accept();
            }
        });
        return;
    }
    addSession(std::move(socket));
    accept();
}

void ProxyServer::Impl::addSession(Socket socket)
{
    boost::system::error_code disconnected;
    const auto peer = socket.remote_endpoint(disconnected);
    if (!disconnected && core.sessionCount() < options.limits.maxConnections) {
        const auto session = std::make_shared<ProxySession>(core, std::move(socket), peer.address().to_string());
        core.addSession(session);
        session->start();
    }
}

void ProxyServer::Impl::tick()
{
    timer.expires_after(TickInterval);
    timer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        const base::TimePoint now = base::BootClock::now();
        core.tick(now);
        if (draining) {
            continueDrain(now);
        }
        ready = !core.closing && core.router.isReady(now);
        tick();
    });
}

void ProxyServer::Impl::continueDrain(base::TimePoint now)
{
    if (now < stopAcceptingAt) {
        return;
    }
    stopAccepting();
    core.closeIdleSessions();
    if (now >= giveUpAt) {
        giveUpAt = base::TimePoint::max();
        cutRequests += core.giveUpRequests();
    }
    if (now >= hardLimitAt) {
        cutRequests += core.abortSessions();
    }
    if (core.sessionCount() == 0) {
        finishDrain();
    }
}

void ProxyServer::Impl::finishDrain()
{
    draining = false;
    core.pool.closeIdle();
    core.announceShutdown();
    base::logInfo("drained").with("cut_requests", cutRequests);
    if (const DrainHandler done = std::exchange(onDrained, nullptr)) {
        done(DrainReport{cutRequests});
    }
}

// Connections that the kernel has accepted may carry requests already.
void ProxyServer::Impl::stopAccepting()
{
    boost::system::error_code error;
    if (acceptor.is_open()) {
        acceptor.cancel(error);
        acceptor.non_blocking(true, error);
    }
    while (!error && acceptor.is_open()) {
        Socket socket(context.get_executor());
        acceptor.accept(socket, error);
        if (!error) {
            addSession(std::move(socket));
        }
    }
    acceptor.close(error);
}

// Pending handlers own sessions, which use the core, so the handlers are run before the core is destroyed.
void ProxyServer::Impl::shutDown()
{
    stopAccepting();
    timer.cancel();
    acceptTimer.cancel();
    core.shutDown();
    context.restart();
    context.poll();
}

ProxyServer::ProxyServer(ProxyOptions options, std::shared_ptr<routing::KeyStore> keys)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(keys)))
{
}

ProxyServer::~ProxyServer()
{
    impl_->context.stop();
    if (impl_->thread.joinable()) {
        impl_->thread.join();
    }
    impl_->shutDown();
}

void ProxyServer::setPeerSink(PeerSink sink)
{
    impl_->core.peerSink = std::move(sink);
}

tl::expected<std::uint16_t, std::string> ProxyServer::start()
{
    auto port = impl_->listen();
    if (port) {
        impl_->accept();
        impl_->tick();
        impl_->thread = std::thread([this] { impl_->context.run(); });
    }
    return port;
}

void ProxyServer::applyHeartbeat(routing::UpstreamAnnouncement announcement, HeartbeatReply reply)
{
    asio::post(impl_->context, [this, announcement = std::move(announcement), reply = std::move(reply)] {
        const auto result = impl_->core.router.applyHeartbeat(announcement, base::BootClock::now());
        impl_->core.deliverRouterOutput();
        if (reply) {
            reply(result);
        }
    });
}

void ProxyServer::receive(routing::UpstreamUpdate update)
{
    asio::post(impl_->context, [this, update = std::move(update), receivedAt = base::BootClock::now()]() mutable {
        const base::TimePoint now = base::BootClock::now();
        update.age += now - receivedAt;
        impl_->core.router.receive(update, now);
        impl_->core.deliverRouterOutput();
    });
}

void ProxyServer::receive(routing::ShareMessage message)
{
    asio::post(impl_->context, [this, message = std::move(message)] {
        impl_->core.router.receive(message, base::BootClock::now());
        impl_->core.deliverRouterOutput();
    });
}

bool ProxyServer::isReady() const
{
    return impl_->ready;
}

// During the delay answers carry "Connection: close", so that few idle connections are left when it ends.
void ProxyServer::drain(base::Duration delay, base::Duration hardLimit, DrainHandler done)
{
    asio::post(impl_->context, [this, delay, hardLimit, done = std::move(done)]() mutable {
        const base::TimePoint now = base::BootClock::now();
        impl_->core.closing = true;
        impl_->ready = false;
        impl_->draining = true;
        impl_->stopAcceptingAt = now + delay;
        impl_->hardLimitAt = now + hardLimit;
        impl_->giveUpAt = now + std::max(delay, hardLimit - FinalAnswerTime);
        impl_->onDrained = std::move(done);
        base::logInfo("draining").with("active", impl_->core.activeSessionCount());
    });
}

void ProxyServer::finishDrainNow()
{
    asio::post(impl_->context, [this] {
        if (impl_->draining) {
            impl_->stopAccepting();
            impl_->cutRequests += impl_->core.abortSessions();
            impl_->finishDrain();
        }
    });
}

void ProxyServer::listUpstreams(std::function<void(std::vector<routing::UpstreamUpdate>)> done)
{
    asio::post(impl_->context, [this, done = std::move(done)] {
        done(impl_->core.router.table().listUpdates(base::BootClock::now()));
    });
}

ProxyStatistics ProxyServer::statistics() const
{
    auto promise = std::make_shared<std::promise<ProxyStatistics>>();
    auto future = promise->get_future();
    asio::post(impl_->context, [this, promise] { promise->set_value(impl_->core.snapshot()); });
    return future.get();
}

} // namespace yuccawheel::http
