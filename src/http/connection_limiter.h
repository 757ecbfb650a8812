#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <memory>

namespace yuccawheel::http
{

/// Bounds the open connections of several call pools together and divides them equally. If none is left, the pool whose
/// connection has been idle for longest closes it. All calls are on the io_context's thread.
class ConnectionLimiter : public std::enable_shared_from_this<ConnectionLimiter>
{
public:
    /// A pool that opens connections.
    class Pool
    {
    public:
        virtual ~Pool() = default;
        /// Closes the connection that has been idle for longest. Called only while the pool is said to have one.
        virtual void closeIdleConnection() = 0;
        /// Tries again to open the connection that the pool waits for.
        virtual void resume() = 0;

    private:
        friend class ConnectionLimiter;
        std::list<Pool *>::iterator idlePosition_;
        bool hasIdle_ = false;
        bool isWaiting_ = false;
    };

    /// `limit` returns the maximum number of open connections, which may change.
    ConnectionLimiter(boost::asio::io_context &io, std::function<std::size_t()> limit);

    void addPool()
    {
        ++pools_;
    }
    /// Divides the connections between this many pools, also before all of them are there.
    void expectPools(std::size_t pools)
    {
        expectedPools_ = pools;
    }
    /// Forgets a pool that opens no more connections.
    void removePool(Pool &pool);
    /// Returns how many connections each pool may have: an equal share, but at least two, so that a call that waits for
    /// its answer blocks no other, and at most `maximum`.
    std::size_t share(std::size_t maximum) const;
    /// Counts a new connection and returns true if one is left, after closing an idle one of any pool if necessary.
    bool tryOpen();
    /// Returns whether a connection is left without closing one.
    bool hasFree() const
    {
        return open_ < limit_();
    }
    void onClosed();
    /// Notes whether a pool has idle connections; it has just got one if `hasIdle`.
    void setIdle(Pool &pool, bool hasIdle);
    /// Resumes the pool when a connection is closed, and from time to time.
    void wait(Pool &pool);
    std::size_t open() const
    {
        return open_;
    }

private:
    void armTimer();
    void resumeAll();

    std::function<std::size_t()> limit_;
    boost::asio::steady_timer timer_;
    std::size_t pools_ = 0;
    std::size_t expectedPools_ = 0;
    std::size_t open_ = 0;
    std::list<Pool *> idle_; ///< Pools with idle connections, those that got one last at the end.
    std::deque<Pool *> waiting_;
    bool timerArmed_ = false;
};

} // namespace yuccawheel::http
