#include "http/proxy_core.h"

#include "http/proxy_session.h"

#include <boost/asio/buffer.hpp>

#include <ctime>
#include <utility>

namespace yuccawheel::http
{

namespace
{
constexpr base::Duration PoolExpiryInterval = std::chrono::seconds(1);
}

ProxyCore::ProxyCore(const IoExecutor &ioExecutor,
                     const ProxyOptions &proxyOptions,
                     std::shared_ptr<routing::KeyStore> keyStore)
    : executor(ioExecutor)
    , options(proxyOptions)
    , keys(std::move(keyStore))
    , router(proxyOptions.router, base::BootClock::now())
    , pool(ioExecutor, proxyOptions.limits.upstreamIdleTimeout)
{
}

void ProxyCore::route(const ProxySessionPtr &session, const routing::RequestInfo &info)
{
    const routing::Decision decision = router.route(info, base::BootClock::now());
    if (decision.kind != routing::DecisionKind::Reject) {
        requests_.emplace(decision.request, session);
    }
    session->onDecision(decision);
    deliverRouterOutput();
}

routing::FinishResult
ProxyCore::finishAttempt(routing::RequestId request, routing::AttemptId attempt, const routing::AttemptResult &result)
{
    const routing::FinishResult finish = router.finishAttempt(attempt, result, base::BootClock::now());
    if (!finish.retrying) {
        requests_.erase(request);
    }
    return finish;
}

base::Verdict ProxyCore::cancelWaiting(routing::RequestId request)
{
    requests_.erase(request);
    return router.cancelWaiting(request);
}

// Only the sending direction is shut down. This tells the upstream that the request was abandoned; the upstream closes
// the other direction once the slot is free.
void ProxyCore::trackAbandonedAttempt(const UpstreamConnectionPtr &connection, routing::AttemptId attempt)
{
    boost::system::error_code ignored;
    connection->socket.shutdown(Socket::shutdown_send, ignored);
    auto abandoned = std::make_shared<AbandonedAttempt>();
    abandoned->connection = connection;
    abandoned->attempt = attempt;
    abandoned->deadline = base::BootClock::now() + options.router.loans.abandonGrace;
    abandoned->chunk = chunks.acquire();
    abandonedAttempts_.insert(abandoned);
    readAbandonedAttempt(abandoned);
}

void ProxyCore::readAbandonedAttempt(const std::shared_ptr<AbandonedAttempt> &abandoned)
{
    abandoned->connection->socket.async_read_some(
        boost::asio::buffer(*abandoned->chunk),
        [this, abandoned](const boost::system::error_code &error, std::size_t /*bytes*/) {
            if (!error) {
                readAbandonedAttempt(abandoned);
                return;
            }
            endAbandonedAttempt(abandoned);
            deliverRouterOutput();
        });
}

void ProxyCore::endAbandonedAttempt(const std::shared_ptr<AbandonedAttempt> &abandoned)
{
    if (abandonedAttempts_.erase(abandoned) > 0) {
        abandoned->connection->close();
        router.releaseAbandonedAttempt(abandoned->attempt, base::BootClock::now());
    }
}

// A session that handles a decision may cause another one and call this function again. The nested call returns at
// once, and the outermost call delivers all decisions.
void ProxyCore::deliverRouterOutput()
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
            session->onDecision(decision);
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

// Slots that are lent or returned come with their connections, so surplus connections are closed before the message is
// sent.
void ProxyCore::trimConnections(const std::vector<routing::ShareMessage> &messages)
{
    for (const routing::ShareMessage &message : messages) {
        const bool transfersSlots = message.kind == routing::ShareMessageKind::LoanReturn
            || (message.kind == routing::ShareMessageKind::LoanGrant && message.slots > 0);
        const routing::Upstream *upstream = transfersSlots ? router.table().find(message.executor) : nullptr;
        if (upstream != nullptr) {
            pool.trim(upstream->info.address, upstream->share.connectionLimit(base::BootClock::now()));
        }
    }
}

void ProxyCore::tick(base::TimePoint now)
{
    std::vector<std::shared_ptr<AbandonedAttempt>> overdue;
    for (const auto &abandoned : abandonedAttempts_) {
        if (abandoned->deadline <= now) {
            overdue.push_back(abandoned);
        }
    }
    for (const auto &abandoned : overdue) {
        endAbandonedAttempt(abandoned);
    }
    std::vector<ProxySessionPtr> due;
    for (const ProxySessionPtr &session : sessions_) {
        if (session->hasTimedOut(now)) {
            due.push_back(session);
        }
    }
    for (const ProxySessionPtr &session : due) {
        session->handleTimeout(now);
    }
    if (now - lastPoolExpiry_ >= PoolExpiryInterval) {
        lastPoolExpiry_ = now;
        pool.closeExpired(now);
    }
    router.tick(now);
    deliverRouterOutput();
}

void ProxyCore::addSession(const ProxySessionPtr &session)
{
    sessions_.insert(session);
}

void ProxyCore::removeSession(const ProxySessionPtr &session)
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
    result.active = activeSessionCount();
    result.waiting = router.waitingCount();
    result.router = router.counters();
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    result.processorTime = std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
    return result;
}

// Abandoned attempts may still run at their upstreams, so nothing is announced while there are any.
void ProxyCore::announceShutdown()
{
    if (abandonedAttempts_.empty() && requests_.empty()) {
        router.announceShutdown(base::BootClock::now());
    }
    deliverRouterOutput();
}

std::size_t ProxyCore::activeSessionCount() const
{
    std::size_t active = 0;
    for (const ProxySessionPtr &session : sessions_) {
        active += session->isActive() ? 1 : 0;
    }
    return active;
}

void ProxyCore::closeIdleSessions()
{
    const std::vector<ProxySessionPtr> sessions(sessions_.begin(), sessions_.end());
    for (const ProxySessionPtr &session : sessions) {
        if (session->isIdle()) {
            session->cancelIdleRead();
        }
    }
}

void ProxyCore::shutDown()
{
    abortSessions();
    const std::vector<std::shared_ptr<AbandonedAttempt>> attempts(abandonedAttempts_.begin(), abandonedAttempts_.end());
    for (const auto &abandoned : attempts) {
        endAbandonedAttempt(abandoned);
    }
    pool.closeIdle();
}

std::size_t ProxyCore::giveUpRequests()
{
    const std::vector<ProxySessionPtr> sessions(sessions_.begin(), sessions_.end());
    const std::size_t active = activeSessionCount();
    for (const ProxySessionPtr &session : sessions) {
        session->giveUpRequest();
    }
    deliverRouterOutput();
    return active;
}

std::size_t ProxyCore::abortSessions()
{
    const std::vector<ProxySessionPtr> sessions(sessions_.begin(), sessions_.end());
    std::size_t aborted = 0;
    for (const ProxySessionPtr &session : sessions) {
        aborted += session->isActive() ? 1 : 0;
        session->abort();
    }
    return aborted;
}

} // namespace yuccawheel::http
