#include "routing/wait_queue.h"

#include "base/invariant.h"

#include <algorithm>

namespace yuccawheel::routing
{

namespace
{

/// Virtual time per request of each class: out of 21 turns, urgent gets 16, normal 4 and bulk 1.
constexpr std::array<std::uint64_t, UrgencyCount> Stride{1, 4, 16};
constexpr auto BulkClass = static_cast<std::size_t>(Urgency::Bulk);

} // namespace

void WaitQueue::push(RequestId request, Urgency urgency, const std::string &caller)
{
    UrgencyClass &urgencyClass = classes_[static_cast<std::size_t>(urgency)];
    addToClass(urgencyClass);
    callerQueue(urgencyClass, caller).requests.push_back(request);
}

void WaitQueue::pushFront(RequestId request, Urgency urgency, const std::string &caller)
{
    UrgencyClass &urgencyClass = classes_[static_cast<std::size_t>(urgency)];
    addToClass(urgencyClass);
    callerQueue(urgencyClass, caller).requests.push_front(request);
}

bool WaitQueue::remove(RequestId request, Urgency urgency, const std::string &caller)
{
    UrgencyClass &urgencyClass = classes_[static_cast<std::size_t>(urgency)];
    const auto found = std::find_if(urgencyClass.callerQueues.begin(),
                                    urgencyClass.callerQueues.end(),
                                    [&](const CallerQueue &candidate) { return candidate.caller == caller; });
    if (found == urgencyClass.callerQueues.end() || std::erase(found->requests, request) == 0) {
        return false;
    }
    --urgencyClass.size;
    if (found->requests.empty()) {
        urgencyClass.callerQueues.erase(found);
    }
    return true;
}

std::optional<RequestId> WaitQueue::front(bool allowBulk) const
{
    const auto next = nextClass(allowBulk);
    if (!next) {
        return std::nullopt;
    }
    return classes_[*next].callerQueues.front().requests.front();
}

// The caller moves to the back after its turn, so that callers alternate regardless of their queue lengths.
void WaitQueue::popFront(bool allowBulk)
{
    const auto next = nextClass(allowBulk);
    YW_INVARIANT(next.has_value(), "popFront requires a request that may be dispatched");
    UrgencyClass &urgencyClass = classes_[*next];
    CallerQueue current = std::move(urgencyClass.callerQueues.front());
    urgencyClass.callerQueues.pop_front();
    current.requests.pop_front();
    if (!current.requests.empty()) {
        urgencyClass.callerQueues.push_back(std::move(current));
    }
    --urgencyClass.size;
    virtualTime_ = std::max(virtualTime_, urgencyClass.pass);
    urgencyClass.pass += Stride[*next];
}

std::optional<RequestId> WaitQueue::findEvictionCandidate(Urgency urgency) const
{
    for (std::size_t i = UrgencyCount; i-- > static_cast<std::size_t>(urgency) + 1;) {
        if (classes_[i].size > 0) {
            const auto longest = std::max_element(classes_[i].callerQueues.begin(),
                                                  classes_[i].callerQueues.end(),
                                                  [](const CallerQueue &left, const CallerQueue &right) {
                                                      return left.requests.size() < right.requests.size();
                                                  });
            return longest->requests.back();
        }
    }
    return std::nullopt;
}

std::size_t WaitQueue::size() const
{
    return sizeAtOrAbove(Urgency::Bulk);
}

bool WaitQueue::empty() const
{
    return size() == 0;
}

std::size_t WaitQueue::sizeAtOrAbove(Urgency urgency) const
{
    std::size_t total = 0;
    for (std::size_t i = 0; i <= static_cast<std::size_t>(urgency); ++i) {
        total += classes_[i].size;
    }
    return total;
}

std::size_t WaitQueue::sizeOfCaller(const std::string &caller) const
{
    std::size_t total = 0;
    for (const UrgencyClass &urgencyClass : classes_) {
        for (const CallerQueue &candidate : urgencyClass.callerQueues) {
            total += candidate.caller == caller ? candidate.requests.size() : 0;
        }
    }
    return total;
}

void WaitQueue::appendAll(std::vector<RequestId> &requests) const
{
    for (const UrgencyClass &urgencyClass : classes_) {
        for (const CallerQueue &candidate : urgencyClass.callerQueues) {
            requests.insert(requests.end(), candidate.requests.begin(), candidate.requests.end());
        }
    }
}

std::optional<std::size_t> WaitQueue::nextClass(bool allowBulk) const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < UrgencyCount; ++i) {
        if (classes_[i].size == 0 || (i == BulkClass && !allowBulk)) {
            continue;
        }
        if (!best || classes_[i].pass < classes_[*best].pass) {
            best = i;
        }
    }
    return best;
}

WaitQueue::CallerQueue &WaitQueue::callerQueue(UrgencyClass &urgencyClass, const std::string &caller)
{
    for (CallerQueue &candidate : urgencyClass.callerQueues) {
        if (candidate.caller == caller) {
            return candidate;
        }
    }
    return urgencyClass.callerQueues.emplace_back(CallerQueue{caller, {}});
}

// An empty class rejoins at the current virtual time, so that it gains no credit while idle.
void WaitQueue::addToClass(UrgencyClass &urgencyClass)
{
    if (urgencyClass.size == 0) {
        urgencyClass.pass = std::max(urgencyClass.pass, virtualTime_);
    }
    ++urgencyClass.size;
}

} // namespace yuccawheel::routing
