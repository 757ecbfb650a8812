#pragma once

#include "http/proxy_stream.h"
#include "routing/types.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace yuccawheel::http
{

/// A connection to an upstream, which carries one request at a time.
struct UpstreamConnection {
    UpstreamConnection(const IoExecutor &executor, std::string upstreamAddress);
    ~UpstreamConnection();
    UpstreamConnection(const UpstreamConnection &) = delete;
    UpstreamConnection &operator=(const UpstreamConnection &) = delete;

    void close();

    Socket socket;
    boost::beast::flat_buffer buffer;
    std::string address;
    std::shared_ptr<std::uint32_t> openCount; ///< Number of open connections to the address, shared by them.
    bool reused = false; ///< Whether the connection has carried an earlier request.
    base::TimePoint idleSince;
};

using UpstreamConnectionPtr = std::shared_ptr<UpstreamConnection>;

/// Keeps idle connections to upstreams for reuse, and counts the open ones per address.
class ConnectionPool
{
public:
    ConnectionPool(const IoExecutor &executor, base::Duration idleTimeout);

    /// Returns an idle connection, or a new one that isn't connected yet. Returns null if none is idle and `limit` are
    /// open.
    UpstreamConnectionPtr acquire(const std::string &address, std::uint32_t limit);
    /// Returns a connection to the pool after its last answer was read completely. Closes it if more than `limit` are
    /// open or if it can't be reused.
    void release(const UpstreamConnectionPtr &connection, std::uint32_t limit, base::TimePoint now);
    /// Closes idle connections until at most `limit` are open.
    void trim(const std::string &address, std::uint32_t limit);
    /// Closes idle connections that have reached the idle timeout or that their upstream has closed.
    void closeExpired(base::TimePoint now);
    void closeIdle();
    /// Returns the number of open connections to an address.
    std::uint32_t openCount(const std::string &address) const;

private:
    /// Connections to one address.
    struct Peer {
        std::vector<UpstreamConnectionPtr> idle;
        std::shared_ptr<std::uint32_t> openCount = std::make_shared<std::uint32_t>(0);
    };

    IoExecutor executor_;
    const base::Duration idleTimeout_;
    std::unordered_map<std::string, Peer> peers_;
};

} // namespace yuccawheel::http
