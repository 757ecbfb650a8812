#pragma once

#include "http/proxy_pool.h"
#include "http/proxy_server.h"
#include "http/proxy_stream.h"

#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace yuccawheel::http
{

class ProxySession;
using ProxySessionPtr = std::shared_ptr<ProxySession>;

/// What the sessions of one proxy share: router, connections, keys. Used on the proxy's thread only.
class ProxyCore
{
public:
    ProxyCore(const IoExecutor &executor, const ProxyOptions &options, std::shared_ptr<routing::KeyStore> keys);

    /// Asks the router; the session gets the decision now or later.
    void route(const ProxySessionPtr &session, const routing::RequestInfo &info);
    /// Tells the router how an attempt ended. If it retries, the session gets a further decision.
    routing::FinishResult
    finished(routing::RequestId request, routing::AttemptId attempt, const routing::AttemptResult &result);
    /// Forgets a waiting request.
    void abandonWaiting(routing::RequestId request);
    /// Keeps a connection open, unused, until its upstream ends the abandoned attempt or the grace time is over.
    void linger(const UpstreamConnectionPtr &connection, routing::AttemptId attempt);
    /// Hands decisions and messages on. To be called after every event that reaches the router.
    void deliver();
    /// Does what time makes due.
    void tick(base::TimePoint now);

    void add(const ProxySessionPtr &session);
    void remove(const ProxySessionPtr &session);
    std::size_t sessionCount() const;
    std::size_t activeSessions() const;
    /// Closes connections of callers that have no request in progress.
    void closeIdleSessions();
    /// Tells the other entries that nothing is in progress here any more.
    void sayFarewell();
    /// Statistics as of now.
    ProxyStatistics snapshot() const;
    /// Ends everything in progress, so that no handler is left.
    void shutDown();
    /// Cuts off every session. Returns how many had a request in progress.
    std::size_t cutSessions();

    IoExecutor executor;
    const ProxyOptions &options;
    std::shared_ptr<routing::KeyStore> keys;
    routing::Router router;
    ConnectionPool pool;
    ChunkPool chunks;
    ProxyStatistics statistics;
    ProxyServer::PeerSink peerSink;
    bool closing = false; ///< Answers ask callers to close their connections.

private:
    struct Lingering {
        UpstreamConnectionPtr connection;
        routing::AttemptId attempt = 0;
        base::TimePoint until;
        std::unique_ptr<Chunk> chunk;
    };

    void trimConnections(const std::vector<routing::ShareMessage> &messages);
    void readLingering(const std::shared_ptr<Lingering> &lingering);
    void endLingering(const std::shared_ptr<Lingering> &lingering);

    std::unordered_set<ProxySessionPtr> sessions_;
    std::unordered_map<routing::RequestId, ProxySessionPtr> requests_;
    std::unordered_set<std::shared_ptr<Lingering>> lingering_;
    std::vector<routing::Decision> decisions_;
    bool delivering_ = false;
    base::TimePoint lastExpire_;
};

} // namespace yuccawheel::http
