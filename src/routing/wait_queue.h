#pragma once

#include "routing/types.h"

#include <array>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace yuccawheel::routing
{

/// Requests of one service that wait for a slot. Urgency classes share the slots by weight (stride scheduling); callers
/// take turns within a class (round robin).
class WaitQueue
{
public:
    void push(RequestId request, Urgency urgency, const std::string &caller);
    /// Requeues a request before the other requests of its caller, for a retry.
    void pushFront(RequestId request, Urgency urgency, const std::string &caller);
    /// Removes a request. Returns false if it is not queued.
    bool remove(RequestId request, Urgency urgency, const std::string &caller);

    /// The next request to dispatch; bulk requests are considered only if `allowBulk`.
    std::optional<RequestId> front(bool allowBulk) const;
    /// Removes the request that `front(allowBulk)` returns.
    void popFront(bool allowBulk);
    /// The request to evict for one of class `urgency`: from the least urgent class below it, the newest request of the
    /// caller with the most waiting requests.
    std::optional<RequestId> findEvictionCandidate(Urgency urgency) const;

    std::size_t size() const;
    bool empty() const;
    /// Number of requests of this class and of more urgent classes.
    std::size_t sizeAtOrAbove(Urgency urgency) const;
    /// Number of requests of one caller in all classes.
    std::size_t sizeOfCaller(const std::string &caller) const;
    /// Appends all requests.
    void appendAll(std::vector<RequestId> &requests) const;

private:
    struct CallerQueue {
        std::string caller;
        std::deque<RequestId> requests;
    };
    struct UrgencyClass {
        std::deque<CallerQueue> callerQueues; ///< The front caller is next; no queue is empty.
        std::size_t size = 0;
        std::uint64_t pass = 0; ///< Virtual time of the class's next turn; the lowest goes first.
    };

    std::optional<std::size_t> nextClass(bool allowBulk) const;
    CallerQueue &callerQueue(UrgencyClass &urgencyClass, const std::string &caller);
    void addToClass(UrgencyClass &urgencyClass);

    std::array<UrgencyClass, UrgencyCount> classes_;
    std::uint64_t virtualTime_ = 0;
};

} // namespace yuccawheel::routing
