#pragma once

#include "http/proxy_stream.h"
#include "routing/types.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace yuccawheel::http
{

/// One connection to an upstream. It serves one request at a time.
struct UpstreamConnection {
    UpstreamConnection(const IoExecutor &executor, std::string upstreamAddress);
    ~UpstreamConnection();
    UpstreamConnection(const UpstreamConnection &) = delete;
    UpstreamConnection &operator=(const UpstreamConnection &) = delete;

    void close();

    Socket socket;
    boost::beast::flat_buffer buffer;
    std::string address;
    std::shared_ptr<std::uint32_t> openCount; ///< Connections open to the same address.
    bool reused = false; ///< It has served a request before.
    base::TimePoint idleSince;
};

using UpstreamConnectionPtr = std::shared_ptr<UpstreamConnection>;

/// Keeps idle connections to upstreams for reuse, and counts the open ones.
class ConnectionPool
{
public:
    ConnectionPool(const IoExecutor &executor, base::Duration idleTimeout);

    /// Takes an idle connection, or a new one that isn't connected yet. Returns nothing if `limit` are open and none
    /// is idle.
    UpstreamConnectionPtr take(const std::string &address, std::uint32_t limit);
    /// Keeps a connection whose last answer was read to its end, unless more than `limit` are open.
    void give(const UpstreamConnectionPtr &connection, std::uint32_t limit, base::TimePoint now);
    /// Closes idle connections until at most `limit` are open.
    void trim(const std::string &address, std::uint32_t limit);
    /// Closes connections that have been idle for long, or that their upstream has closed.
    void expire(base::TimePoint now);
    void closeIdle();
    /// Connections open to an address.
    std::uint32_t open(const std::string &address) const;

private:
    struct Peer {
        std::vector<UpstreamConnectionPtr> idle;
        std::shared_ptr<std::uint32_t> openCount = std::make_shared<std::uint32_t>(0);
    };

    IoExecutor executor_;
    const base::Duration idleTimeout_;
    std::unordered_map<std::string, Peer> peers_;
};

} // namespace yuccawheel::http
