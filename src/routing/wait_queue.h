#pragma once

#include "routing/types.h"

#include <array>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace yuccawheel::routing
{

/// Requests of one service that wait for a slot. Urgent classes go first by weight, callers take turns within a class.
class WaitQueue
{
public:
    void push(RequestId request, Urgency urgency, const std::string &caller);
    /// Puts a request that had its turn before the others of its caller.
    void pushFront(RequestId request, Urgency urgency, const std::string &caller);
    /// Removes a request. Returns false if it isn't there.
    bool remove(RequestId request, Urgency urgency, const std::string &caller);

    /// The request whose turn it is; bulk ones only count if `allowBulk`.
    std::optional<RequestId> front(bool allowBulk) const;
    /// Removes the request that `front(allowBulk)` returns.
    void popFront(bool allowBulk);
    /// The newest request of the least urgent class below `urgency`.
    std::optional<RequestId> findEvictionCandidate(Urgency urgency) const;

    std::size_t size() const;
    bool empty() const;
    /// Requests of this class and of more urgent ones.
    std::size_t sizeAtOrAbove(Urgency urgency) const;
    /// Requests of one caller, over all classes.
    std::size_t sizeOfCaller(const std::string &caller) const;
    /// Appends every request.
    void appendAll(std::vector<RequestId> &requests) const;

private:
    struct CallerQueue {
        std::string caller;
        std::deque<RequestId> requests;
    };
    struct UrgencyClass {
        std::deque<CallerQueue> callerQueues; ///< The front lane has its turn; no lane is empty.
        std::size_t size = 0;
        std::uint64_t pass = 0; ///< Virtual time at which the class has its next turn.
    };

    std::optional<std::size_t> nextClass(bool allowBulk) const;
    CallerQueue &callerQueue(UrgencyClass &urgencyClass, const std::string &caller);
    void addToClass(UrgencyClass &urgencyClass);

    std::array<UrgencyClass, UrgencyCount> classes_;
    std::uint64_t virtualTime_ = 0;
};

} // namespace yuccawheel::routing
