#pragma once

#include "http/connection_pool.h"
#include "http/proxy_server.h"
#include "http/proxy_stream.h"

#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace yuccawheel::http
{

class ProxySession;
using ProxySessionPtr = std::shared_ptr<ProxySession>;

/// State shared by the sessions of one proxy: router, upstream connections and key store. Used on the proxy's thread
/// only.
class ProxyCore
{
public:
    ProxyCore(const IoExecutor &executor, const ProxyOptions &options, std::shared_ptr<routing::KeyStore> keys);

    /// Passes a request to the router. The session gets the decision during this call or later.
    void route(const ProxySessionPtr &session, const routing::RequestInfo &info);
    /// Reports the end of an attempt to the router. If the router retries, the session gets another decision.
    routing::FinishResult
    finishAttempt(routing::RequestId request, routing::AttemptId attempt, const routing::AttemptResult &result);
    /// Cancels a request that waits for a slot.
    base::Verdict cancelWaiting(routing::RequestId request);
    /// Keeps the connection of an abandoned attempt open until its upstream closes it or the grace period ends. The
    /// attempt's slot is released then.
    void trackAbandonedAttempt(const UpstreamConnectionPtr &connection, routing::AttemptId attempt);
    /// Delivers the router's decisions to the sessions and its messages to the peer sink. Must be called after every
    /// event that is passed to the router.
    void deliverRouterOutput();
    /// Handles the timeouts of sessions, connections and the router.
    void tick(base::TimePoint now);

    void addSession(const ProxySessionPtr &session);
    void removeSession(const ProxySessionPtr &session);
    std::size_t sessionCount() const;
    std::size_t activeSessionCount() const;
    /// Closes the connections of callers that have no request in progress.
    void closeIdleSessions();
    /// Tells the other entries that no attempt is in progress here any more. Does so only if that is true.
    void announceShutdown();
    /// Returns the current statistics.
    ProxyStatistics snapshot() const;
    /// Aborts all sessions and closes all upstream connections, so that their pending handlers end.
    void shutDown();
    /// Ends all requests in progress: answers with what is known of them, or closes the connection if part of the
    /// upstream's answer has been sent. Returns how many there were.
    std::size_t giveUpRequests();
    /// Aborts all sessions. Returns how many had a request in progress.
    std::size_t abortSessions();

    IoExecutor executor;
    const ProxyOptions &options;
    std::shared_ptr<routing::KeyStore> keys;
    routing::Router router;
    ConnectionPool pool;
    ChunkPool chunks;
    ProxyStatistics statistics;
    ProxyServer::PeerSink peerSink;
    bool closing = false; ///< Set during a drain: answers carry "Connection: close".

private:
    /// An attempt that ended here while its upstream may still run it.
    struct AbandonedAttempt {
        UpstreamConnectionPtr connection;
        routing::AttemptId attempt = 0;
        base::TimePoint deadline;
        std::unique_ptr<Chunk> chunk;
    };

    void trimConnections(const std::vector<routing::ShareMessage> &messages);
    void readAbandonedAttempt(const std::shared_ptr<AbandonedAttempt> &abandoned);
    void endAbandonedAttempt(const std::shared_ptr<AbandonedAttempt> &abandoned);

    std::unordered_set<ProxySessionPtr> sessions_;
    std::unordered_map<routing::RequestId, ProxySessionPtr> requests_;
    std::unordered_set<std::shared_ptr<AbandonedAttempt>> abandonedAttempts_;
    std::vector<routing::Decision> decisions_;
    bool delivering_ = false;
    base::TimePoint lastPoolExpiry_;
};

} // namespace yuccawheel::http
