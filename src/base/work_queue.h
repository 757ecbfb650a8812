#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>

namespace yuccawheel::base
{

/// Kinds of work that take turns.
enum class WorkKind : std::uint8_t {
    State, ///< Committed entries and what follows from them.
    Answers, ///< Answers to this process's own calls.
    Requests, ///< Requests of other processes on behalf of callers.
    Reports, ///< Reports of workers.
};
constexpr std::size_t WorkKindCount = 4;

/// Work of a thread that also runs an event loop, in the order of arrival of each kind. The kinds take turns of equal
/// time, so that none of them holds up another one, whether its items are many or long. The loop runs its own handlers
/// between two items.
/// Not thread-safe.
class WorkQueue
{
public:
    using Item = std::function<void()>;
    static constexpr std::chrono::microseconds Turn{500};

    /// `maxRequests` and `maxReports` limit the items of these kinds. The others are limited by what this process asks
    /// for.
    WorkQueue(std::size_t maxRequests, std::size_t maxReports);

    /// Appends an item. Returns false, without keeping it, if too many of its kind wait.
    bool post(WorkKind kind, Item item);
    /// Runs the next item. Returns false if there is none.
    bool runNext();
    bool empty() const;
    void clear();

private:
    std::array<std::deque<Item>, WorkKindCount> items_;
    std::array<std::size_t, WorkKindCount> limits_;
    std::size_t kind_ = 0; ///< Whose turn it is.
    std::chrono::steady_clock::duration used_{0}; ///< Of the turn.
};

} // namespace yuccawheel::base
