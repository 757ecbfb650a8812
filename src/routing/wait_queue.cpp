#include "routing/wait_queue.h"

#include "base/invariant.h"

#include <algorithm>

namespace yuccawheel::routing
{

namespace
{

/// Virtual time that one request of a class costs: out of 21 turns urgent gets 16, normal 4 and bulk 1.
constexpr std::array<std::uint64_t, UrgencyCount> Stride{1, 4, 16};
constexpr auto BulkClass = static_cast<std::size_t>(Urgency::Bulk);

} // namespace

void WaitQueue::push(RequestId request, Urgency urgency, const std::string &caller)
{
    Class &queue = classes_[static_cast<std::size_t>(urgency)];
    enter(queue);
    lane(queue, caller).requests.push_back(request);
}

void WaitQueue::pushFront(RequestId request, Urgency urgency, const std::string &caller)
{
    Class &queue = classes_[static_cast<std::size_t>(urgency)];
    enter(queue);
    lane(queue, caller).requests.push_front(request);
}

bool WaitQueue::remove(RequestId request, Urgency urgency, const std::string &caller)
{
    Class &queue = classes_[static_cast<std::size_t>(urgency)];
    const auto found = std::find_if(
        queue.lanes.begin(), queue.lanes.end(), [&](const Lane &candidate) { return candidate.caller == caller; });
    if (found == queue.lanes.end() || std::erase(found->requests, request) == 0) {
        return false;
    }
    --queue.size;
    if (found->requests.empty()) {
        queue.lanes.erase(found);
    }
    return true;
}

std::optional<RequestId> WaitQueue::front(bool allowBulk) const
{
    const auto next = nextClass(allowBulk);
    if (!next) {
        return std::nullopt;
    }
    return classes_[*next].lanes.front().requests.front();
}

// The lane goes to the back after its turn, so that callers alternate whatever the length of their lanes.
void WaitQueue::popFront(bool allowBulk)
{
    const auto next = nextClass(allowBulk);
    YW_INVARIANT(next.has_value(), "a request is only taken from a queue that has one");
    Class &queue = classes_[*next];
    Lane lane = std::move(queue.lanes.front());
    queue.lanes.pop_front();
    lane.requests.pop_front();
    if (!lane.requests.empty()) {
        queue.lanes.push_back(std::move(lane));
    }
    --queue.size;
    virtualTime_ = std::max(virtualTime_, queue.pass);
    queue.pass += Stride[*next];
}

std::optional<RequestId> WaitQueue::newestBelow(Urgency urgency) const
{
    for (std::size_t i = UrgencyCount; i-- > static_cast<std::size_t>(urgency) + 1;) {
        if (classes_[i].size > 0) {
            const auto longest = std::max_element(
                classes_[i].lanes.begin(), classes_[i].lanes.end(), [](const Lane &left, const Lane &right) {
                    return left.requests.size() < right.requests.size();
                });
            return longest->requests.back();
        }
    }
    return std::nullopt;
}

std::size_t WaitQueue::size() const
{
    return sizeAhead(Urgency::Bulk);
}

bool WaitQueue::empty() const
{
    return size() == 0;
}

std::size_t WaitQueue::sizeAhead(Urgency urgency) const
{
    std::size_t total = 0;
    for (std::size_t i = 0; i <= static_cast<std::size_t>(urgency); ++i) {
        total += classes_[i].size;
    }
    return total;
}

std::size_t WaitQueue::sizeOf(const std::string &caller) const
{
    std::size_t total = 0;
    for (const Class &queue : classes_) {
        for (const Lane &candidate : queue.lanes) {
            total += candidate.caller == caller ? candidate.requests.size() : 0;
        }
    }
    return total;
}

void WaitQueue::list(std::vector<RequestId> &requests) const
{
    for (const Class &queue : classes_) {
        for (const Lane &candidate : queue.lanes) {
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

WaitQueue::Lane &WaitQueue::lane(Class &queue, const std::string &caller)
{
    for (Lane &candidate : queue.lanes) {
        if (candidate.caller == caller) {
            return candidate;
        }
    }
    return queue.lanes.emplace_back(Lane{caller, {}});
}

// A class that was empty joins at the present virtual time: idleness earns no credit.
void WaitQueue::enter(Class &queue)
{
    if (queue.size == 0) {
        queue.pass = std::max(queue.pass, virtualTime_);
    }
    ++queue.size;
}

} // namespace yuccawheel::routing
