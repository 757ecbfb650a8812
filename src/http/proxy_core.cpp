#include "http/proxy_core.h"

#include "http/proxy_session.h"

#include <boost/asio/buffer.hpp>

#include <ctime>
#include <utility>

namespace yuccawheel::http
{

namespace
{
constexpr base::Duration ExpireInterval = std::chrono::seconds(1);
}

ProxyCore::ProxyCore(const IoExecutor &ioExecutor,
                     const ProxyOptions &proxyOptions,
                     std::shared_ptr<routing::KeyStore> keyStore)
    : executor(ioExecutor)
    , options(proxyOptions)
    , keys(std::move(keyStore))
    , router(proxyOptions.router, base::BootClock::now())
    , pool(ioExecutor, proxyOptions.limits.upstreamIdle)
{
}

void ProxyCore::route(const ProxySessionPtr &session, const routing::RequestInfo &info)
{
    const routing::Decision decision = router.route(info, base::BootClock::now());
    if (decision.kind != routing::DecisionKind::Reject) {
        requests_.emplace(decision.request, session);
    }
    session->decided(decision);
    deliver();
}

routing::FinishResult
ProxyCore::finished(routing::RequestId request, routing::AttemptId attempt, const routing::AttemptResult &result)
{
    const routing::FinishResult finish = router.finishAttempt(attempt, result, base::BootClock::now());
    if (!finish.retrying) {
        requests_.erase(request);
    }
    return finish;
}

void ProxyCore::abandonWaiting(routing::RequestId request)
{
    router.cancelWaiting(request);
    requests_.erase(request);
}

// Closing only our direction tells the upstream that nobody waits; its own close tells us that the slot is free.
void ProxyCore::linger(const UpstreamConnectionPtr &connection, routing::AttemptId attempt)
{
    boost::system::error_code ignored;
    connection->socket.shutdown(Socket::shutdown_send, ignored);
    auto lingering = std::make_shared<Lingering>();
    lingering->connection = connection;
    lingering->attempt = attempt;
    lingering->until = base::BootClock::now() + options.router.loans.abandonGrace;
    lingering->chunk = chunks.take();
    lingering_.insert(lingering);
    readLingering(lingering);
}

void ProxyCore::readLingering(const std::shared_ptr<Lingering> &lingering)
{
    lingering->connection->socket.async_read_some(
        boost::asio::buffer(*lingering->chunk),
        [this, lingering](const boost::system::error_code &error, std::size_t /*bytes*/) {
            if (!error) {
                readLingering(lingering);
                return;
            }
            endLingering(lingering);
            deliver();
        });
}

void ProxyCore::endLingering(const std::shared_ptr<Lingering> &lingering)
{
    if (lingering_.erase(lingering) > 0) {
        lingering->connection->close();
        router.releaseAbandonedAttempt(lingering->attempt, base::BootClock::now());
    }
}

// A session that acts on a decision may cause the next one, so the outermost call does all the work.
void ProxyCore::deliver()
{
    if (delivering_) {
        return;
    }
    delivering_ = true;
    for (router.takeDecisions(decisions_); !decisions_.empty(); router.takeDecisions(decisions_)) {
        const std::vector<routing::Decision> batch = std::exchange(decisions_, {});
        for (const routing::Decision &decision : batch) {
            const auto found = requests_.find(decision.request);
            if (found == requests_.end()) {
                continue;
            }
            const ProxySessionPtr session = found->second;
            if (decision.kind == routing::DecisionKind::Reject) {
                requests_.erase(found);
            }
            session->decided(decision);
        }
    }
    delivering_ = false;
    auto updates = router.takeUpdates();
    auto messages = router.takeShareMessages();
    trimConnections(messages);
    if (peerSink && (!updates.empty() || !messages.empty())) {
        peerSink(std::move(updates), std::move(messages));
    }
}

// Slots given back or lent take their connections with them, so these close before the message leaves.
void ProxyCore::trimConnections(const std::vector<routing::ShareMessage> &messages)
{
    for (const routing::ShareMessage &message : messages) {
        const bool givesAway = message.kind == routing::ShareMessageKind::LoanReturn
            || (message.kind == routing::ShareMessageKind::LoanGrant && message.slots > 0);
        const routing::Upstream *upstream = givesAway ? router.table().find(message.executor) : nullptr;
        if (upstream != nullptr) {
            pool.trim(upstream->info.address, upstream->share.connectionLimit(base::BootClock::now()));
        }
    }
}

void ProxyCore::tick(base::TimePoint now)
{
    std::vector<std::shared_ptr<Lingering>> over;
    for (const auto &lingering : lingering_) {
        if (lingering->until <= now) {
            over.push_back(lingering);
        }
    }
    for (const auto &lingering : over) {
        endLingering(lingering);
    }
    std::vector<ProxySessionPtr> due;
    for (const ProxySessionPtr &session : sessions_) {
        if (session->timeoutDue(now)) {
            due.push_back(session);
        }
    }
    for (const ProxySessionPtr &session : due) {
        session->timedOut(now);
    }
    if (now - lastExpire_ >= ExpireInterval) {
        lastExpire_ = now;
        pool.expire(now);
    }
    router.tick(now);
    deliver();
}

void ProxyCore::add(const ProxySessionPtr &session)
{
    sessions_.insert(session);
}

void ProxyCore::remove(const ProxySessionPtr &session)
{
    sessions_.erase(session);
}

std::size_t ProxyCore::sessionCount() const
{
    return sessions_.size();
}

ProxyStatistics ProxyCore::snapshot() const
{
    ProxyStatistics result = statistics;
    result.connections = sessions_.size();
    result.active = activeSessions();
    result.waiting = router.waitingCount();
    result.router = router.counters();
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    result.processorTime = std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
    return result;
}

// Abandoned attempts may still run at their upstreams, so the farewell is only true without any.
void ProxyCore::sayFarewell()
{
    if (lingering_.empty() && requests_.empty()) {
        router.announceShutdown(base::BootClock::now());
    }
    deliver();
}

std::size_t ProxyCore::activeSessions() const
{
    std::size_t active = 0;
    for (const ProxySessionPtr &session : sessions_) {
        active += session->active() ? 1 : 0;
    }
    return active;
}

void ProxyCore::closeIdleSessions()
{
    const std::vector<ProxySessionPtr> sessions(sessions_.begin(), sessions_.end());
    for (const ProxySessionPtr &session : sessions) {
        if (session->idle()) {
            session->close();
        }
    }
}

void ProxyCore::shutDown()
{
    cutSessions();
    const std::vector<std::shared_ptr<Lingering>> lingering(lingering_.begin(), lingering_.end());
    for (const auto &connection : lingering) {
        endLingering(connection);
    }
    pool.closeIdle();
}

std::size_t ProxyCore::cutSessions()
{
    const std::vector<ProxySessionPtr> sessions(sessions_.begin(), sessions_.end());
    std::size_t cut = 0;
    for (const ProxySessionPtr &session : sessions) {
        cut += session->active() ? 1 : 0;
        session->cutOff();
    }
    return cut;
}

} // namespace yuccawheel::http
