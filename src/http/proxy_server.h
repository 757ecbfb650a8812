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
    std::size_t headerBytes = std::size_t{16} * 1024;
    std::uint64_t bodyBytes = 64ULL * 1024 * 1024; ///< Of a request.
    std::size_t replayBytes = std::size_t{64} * 1024; ///< Bodies up to this size are kept for a second attempt.
    std::size_t storedAnswerBytes = std::size_t{16} * 1024; ///< Answers up to this size are kept with their key.
    std::size_t connections = 4096; ///< From callers.
    base::Duration idle = std::chrono::seconds(30); ///< Until the head of a request is whole.
    base::Duration read = std::chrono::seconds(10); ///< Without a byte of a request's body.
    base::Duration write = std::chrono::seconds(30); ///< Without a byte of the answer taken by the caller.
    base::Duration connect = std::chrono::seconds(1); ///< To an upstream.
    base::Duration upstreamIdle = std::chrono::seconds(30); ///< An idle connection to an upstream is kept so long.
};

struct ProxyOptions {
    std::string address = "127.0.0.1"; ///< IP for callers.
    std::uint16_t port = 0; ///< Zero takes any free port.
    CallerTimeouts timeouts;
    ProxyLimits limits;
    routing::RouterOptions router;
};

/// What a shutdown cut off.
struct DrainReport {
    std::size_t cutRequests = 0;
};

struct ProxyStatistics {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0; ///< Whole answers from upstreams.
    std::uint64_t notRun = 0; ///< Requests answered "not run".
    std::uint64_t mayHaveRun = 0; ///< Requests answered "may have run", or cut off.
    std::uint64_t badRequests = 0;
    std::size_t connections = 0; ///< Open now, from callers.
    std::size_t active = 0; ///< Requests in progress now.
    std::size_t waiting = 0; ///< Of these, waiting for a slot.
    std::chrono::nanoseconds processorTime{0}; ///< Of the proxy's thread, since it started.
    routing::RouterCounters router;
};

/// Streams requests from callers to upstreams and the answers back, on a thread of its own.
/// Every method may be called from any thread.
class ProxyServer
{
public:
    using HeartbeatReply = std::function<void(tl::expected<void, routing::UpstreamTableError>)>;
    using PeerSink = std::function<void(std::vector<routing::UpstreamUpdate>, std::vector<routing::ShareMessage>)>;
    using Drained = std::function<void(DrainReport)>;

    /// `keys` may be null: then every request that is not repeatable is refused as unprovable.
    ProxyServer(ProxyOptions options, std::shared_ptr<routing::KeyStore> keys);
    ~ProxyServer();
    ProxyServer(const ProxyServer &) = delete;
    ProxyServer &operator=(const ProxyServer &) = delete;

    /// Sets who gets what this entry tells other entries; called on the proxy's thread. To be set before `start`.
    void setPeerSink(PeerSink sink);
    /// Listens and starts the thread. Returns the port, or says why not.
    tl::expected<std::uint16_t, std::string> start();

    /// Takes an upstream's heartbeat; `reply` is called on the proxy's thread.
    void applyHeartbeat(routing::UpstreamAnnouncement announcement, HeartbeatReply reply);
    /// Take what other entries tell.
    void receive(routing::UpstreamUpdate update);
    void receive(routing::ShareMessage message);

    /// Whether the balancer should send callers here: most slots are usable and no drain has begun.
    bool isReady() const;
    /// Shuts down gracefully: unready at once, serving as before for `delay`, then no new connections; calls `done`
    /// on the proxy's thread once all requests have ended, at the latest `hardLimit` from now.
    void drain(base::Duration delay, base::Duration hardLimit, Drained done);
    /// Ends a drain in progress now, cutting off what is left.
    void cutOff();

    /// Gives each upstream that this entry knows, with the age of what it knows; `done` is called on the proxy's
    /// thread.
    void listUpstreams(std::function<void(std::vector<routing::UpstreamUpdate>)> done);
    /// Waits for the proxy's thread and returns its present statistics.
    ProxyStatistics statistics() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace yuccawheel::http
