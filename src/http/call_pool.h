#pragma once

#include "http/client.h"
#include "http/connection_limiter.h"
#include "http/memory_budget.h"
#include "settings/endpoint.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace yuccawheel::http
{

struct CallPoolOptions {
    std::size_t maxConnections = 4;
    std::size_t maxQueued = 1'000; ///< Calls that wait for a connection.
    std::size_t maxAnswerBytes = 4U << 20U;
    std::shared_ptr<ConnectionLimiter> limiter{}; ///< Shared by several pools; null if only maxConnections counts.
    /// For the answers that arrive at a time; several pools may share it.
    std::shared_ptr<MemoryBudget> memory = std::make_shared<MemoryBudget>(8U << 20U);
};

/// Client with persistent connections to one server. All calls and callbacks are on the io_context's thread.
/// A call that finds its idle connection closed by the server is sent once more on a new connection, unless its request
/// may not be repeated. A connection whose call timed out is closed. Calls for which no connection is left wait. A call
/// fails if its answer has no length, is too large, or finds no memory while it arrives.
class CallPool
{
public:
    using Done = std::function<void(tl::expected<ClientResponse, CallError>)>;
    /// Makes the body of a request from the tag of the connection that carries it.
    using MakeBody = std::function<std::string(const ConnectionTag &)>;

    CallPool(boost::asio::io_context &io, const settings::Endpoint &server, CallPoolOptions options = {});
    ~CallPool();
    CallPool(const CallPool &) = delete;
    CallPool &operator=(const CallPool &) = delete;

    /// Sends a request and calls `done` exactly once, never from within this call, unless the pool is destroyed first.
    /// `makeBody`, if given, makes the body instead of the request's, again if the request is sent once more.
    void call(ClientRequest request, std::chrono::milliseconds timeout, Done done, MakeBody makeBody = {});

    /// Closes all connections. Calls that are queued or in progress end with an error.
    void closeConnections();
    /// Returns whether no call is queued or in progress.
    bool isIdle() const;

    struct Impl;

private:
    std::shared_ptr<Impl> impl_;
};

} // namespace yuccawheel::http
