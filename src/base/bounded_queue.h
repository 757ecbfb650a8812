#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace yuccawheel::base
{

/// Bounded queue between two threads. A full queue refuses new items and never blocks the producer.
template <typename Item>
class BoundedQueue
{
public:
    explicit BoundedQueue(std::size_t capacity) : capacity_(capacity)
    {
    }

    /// Appends an item. Returns false, leaving the item untouched, if the queue is full or closed.
    bool tryPush(Item &&item)
    {
        {
            const std::lock_guard lock(mutex_);
            if (closed_ || items_.size() >= capacity_) {
                return false;
            }
            items_.push_back(std::move(item));
        }
        available_.notify_one();
        return true;
    }

    /// Like `tryPush`, for an item that the caller retries: it is moved from only if it was appended.
    bool tryPushFrom(Item &item)
    {
        return tryPush(std::move(item));
    }

    /// Removes and returns the oldest item, or returns nothing if the queue is empty.
    std::optional<Item> tryPop()
    {
        const std::lock_guard lock(mutex_);
        return popLocked();
    }

    /// Waits for an item. Returns nothing on timeout, or when the queue is closed and empty.
    template <typename Rep, typename Period>
    std::optional<Item> popFor(std::chrono::duration<Rep, Period> timeout)
    {
        std::unique_lock lock(mutex_);
        available_.wait_for(lock, timeout, [this] { return closed_ || !items_.empty(); });
        return popLocked();
    }

    /// Refuses further items and wakes every waiter; queued items can still be removed.
    void close()
    {
        {
            const std::lock_guard lock(mutex_);
            closed_ = true;
        }
        available_.notify_all();
    }

    bool isClosed() const
    {
        const std::lock_guard lock(mutex_);
        return closed_;
    }

private:
    std::optional<Item> popLocked()
    {
        if (items_.empty()) {
            return std::nullopt;
        }
        std::optional<Item> item(std::move(items_.front()));
        items_.pop_front();
        return item;
    }

    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::condition_variable available_;
    std::deque<Item> items_;
    bool closed_ = false;
};

} // namespace yuccawheel::base
