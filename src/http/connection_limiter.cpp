#include "http/connection_limiter.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace yuccawheel::http
{

namespace
{

constexpr std::size_t MinShare = 2;
constexpr std::chrono::milliseconds RetryInterval{50};

} // namespace

ConnectionLimiter::ConnectionLimiter(boost::asio::io_context &io, std::function<std::size_t()> limit)
    : limit_(std::move(limit))
    , timer_(io)
{
}

void ConnectionLimiter::removePool(Pool &pool)
{
    --pools_;
    setIdle(pool, false);
    std::erase(waiting_, &pool);
}

std::size_t ConnectionLimiter::share(std::size_t maximum) const
{
    const std::size_t equal = limit_() / std::max<std::size_t>({pools_, expectedPools_, 1});
    return std::clamp(equal, std::min(MinShare, maximum), maximum);
}

bool ConnectionLimiter::tryOpen()
{
    if (!hasFree() && !idle_.empty()) {
        idle_.front()->closeIdleConnection();
    }
    if (!hasFree()) {
        return false;
    }
    ++open_;
    return true;
}

void ConnectionLimiter::onClosed()
{
    --open_;
    armTimer();
}

void ConnectionLimiter::setIdle(Pool &pool, bool hasIdle)
{
    if (std::exchange(pool.hasIdle_, hasIdle)) {
        idle_.erase(pool.idlePosition_);
    }
    if (hasIdle) {
        pool.idlePosition_ = idle_.insert(idle_.end(), &pool);
    }
}

void ConnectionLimiter::wait(Pool &pool)
{
    if (!std::exchange(pool.isWaiting_, true)) {
        waiting_.push_back(&pool);
    }
    armTimer();
}

// A timer rather than a call for each connection that is closed: calls of the waiting pools may also time out.
void ConnectionLimiter::armTimer()
{
    if (waiting_.empty() || std::exchange(timerArmed_, true)) {
        return;
    }
    timer_.expires_after(RetryInterval);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (self && !error) {
            self->timerArmed_ = false;
            self->resumeAll();
        }
    });
}

// Those that have waited longest go first.
void ConnectionLimiter::resumeAll()
{
    for (std::size_t count = waiting_.size(); count > 0 && !waiting_.empty(); --count) {
        Pool &pool = *waiting_.front();
        waiting_.pop_front();
        pool.isWaiting_ = false;
        pool.resume();
    }
}

} // namespace yuccawheel::http
