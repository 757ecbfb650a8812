#pragma once

#include "base/clock.h"
#include "http/proxy_request.h"
#include "routing/key_store.h"
#include "routing/router.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace yuccawheel::http
{

struct ProxyLimits {
    std::size_t maxHeaderBytes = std::size_t{16} * 1024;
    std::uint64_t maxBodyBytes = 64ULL * 1024 * 1024; ///< Limit for the body of a request.
    std::size_t maxReplayBytes = std::size_t{64} * 1024; ///< Larger request bodies are not kept for a retry.
    std::size_t maxStoredAnswerBytes = std::size_t{16} * 1024; ///< Larger answers are not stored with their key.
    std::size_t maxConnections = 4096; ///< Limit for connections from callers.
    base::Duration headTimeout = std::chrono::seconds(30); ///< For a request's head and the idle time before it.
    base::Duration bodyReadTimeout = std::chrono::seconds(10); ///< For each read of a request's body.
    base::Duration writeTimeout = std::chrono::seconds(30); ///< For each write to the caller.
    base::Duration connectTimeout = std::chrono::seconds(1); ///< For connecting to an upstream.
    base::Duration upstreamIdleTimeout = std::chrono::seconds(30); ///< For idle connections to upstreams.
};

struct ProxyOptions {
    std::string address = "127.0.0.1"; ///< IP address to listen on.
    std::uint16_t port = 0; ///< Zero selects any free port.
    CallerTimeouts timeouts;
    ProxyLimits limits;
    routing::RouterOptions router;
};

/// Result of a drain.
struct DrainReport {
    std::size_t cutRequests = 0; ///< Requests in progress that were given up at the hard limit.
};

struct ProxyStatistics {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0; ///< Requests with a complete answer from an upstream.
    std::uint64_t notRun = 0; ///< Requests answered with the verdict "not-run".
    std::uint64_t mayHaveRun = 0; ///< Requests answered with the verdict "may-have-run", or cut off.
    std::uint64_t badRequests = 0; ///< Requests refused with a 4xx status and the verdict "not-run".
    std::size_t connections = 0; ///< Open connections from callers.
    std::size_t active = 0; ///< Requests in progress.
    std::size_t waiting = 0; ///< Requests in progress that wait for a slot.
    std::chrono::nanoseconds processorTime{0}; ///< CPU time of the proxy's thread since its start.
    routing::RouterCounters router;
};

/// Reverse proxy that streams requests from callers to upstreams and the answers back, on its own thread.
/// Every method may be called from any thread.
class ProxyServer
{
public:
    using HeartbeatReply = std::function<void(tl::expected<void, routing::UpstreamTableError>)>;
    using PeerSink = std::function<void(std::vector<routing::UpstreamUpdate>, std::vector<routing::ShareMessage>)>;
    using DrainHandler = std::function<void(DrainReport)>;

    /// `keys` may be null. Requests that are not repeatable are refused then, because nothing would keep them from
    /// running twice.
    ProxyServer(ProxyOptions options, std::shared_ptr<routing::KeyStore> keys);
    ~ProxyServer();
    ProxyServer(const ProxyServer &) = delete;
    ProxyServer &operator=(const ProxyServer &) = delete;

    /// Sets the receiver of updates and messages for other entries. It is called on the proxy's thread. Must be set
    /// before `start`.
    void setPeerSink(PeerSink sink);
    /// Starts to listen and starts the thread. Returns the port, or the reason of a failure.
    tl::expected<std::uint16_t, std::string> start();

    /// Applies an upstream's heartbeat; `reply` is called on the proxy's thread.
    void applyHeartbeat(routing::UpstreamAnnouncement announcement, HeartbeatReply reply);
    /// Applies an update or a message from another entry.
    void receive(routing::UpstreamUpdate update);
    void receive(routing::ShareMessage message);

    /// Returns whether the load balancer should send callers here: most slots are usable and no drain has begun.
    bool isReady() const;
    /// Shuts down gracefully: reports not ready at once, serves as before for `delay`, then accepts no new connections.
    /// Shortly before `hardLimit` from now, requests still in progress are given up and answered so. Calls `done` on
    /// the proxy's thread when no request is left.
    void drain(base::Duration delay, base::Duration hardLimit, DrainHandler done);
    /// Ends a drain in progress at once and cuts off the remaining requests.
    void finishDrainNow();

    /// Lists the upstreams known to this entry, each with the age of its state. `done` is called on the proxy's thread.
    void listUpstreams(std::function<void(std::vector<routing::UpstreamUpdate>)> done);
    /// Returns the current statistics. Blocks until the proxy's thread has collected them.
    ProxyStatistics statistics() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace yuccawheel::http
