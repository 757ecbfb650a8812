#pragma once

#include <cstddef>
#include <memory>

namespace yuccawheel::http
{

/// Bounds the memory that the messages of several connections take together. Not thread-safe.
class MemoryBudget
{
public:
    /// Part of each message that doesn't count: messages of the usual size always have room, however many large ones
    /// are on their way. Connections are limited, and so is the sum of these parts.
    static constexpr std::size_t FreeBytes = std::size_t{12} * 1024;

    explicit MemoryBudget(std::size_t limit) : limit_(limit)
    {
    }
    /// Returns how many bytes are in use.
    std::size_t used() const
    {
        return used_;
    }

private:
    friend class MemoryShare;

    std::size_t limit_;
    std::size_t used_ = 0;
};

/// What one message takes of a budget, until the share is released or destroyed.
class MemoryShare
{
public:
    explicit MemoryShare(std::shared_ptr<MemoryBudget> budget);
    ~MemoryShare();
    MemoryShare(const MemoryShare &) = delete;
    MemoryShare &operator=(const MemoryShare &) = delete;

    /// Adapts the share to the size of the message in bytes. Returns false, and keeps the share, if there is no room.
    bool resize(std::size_t messageBytes);
    void release();

private:
    std::shared_ptr<MemoryBudget> budget_;
    std::size_t bytes_ = 0;
};

} // namespace yuccawheel::http
