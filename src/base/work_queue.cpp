#include "base/work_queue.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace yuccawheel::base
{

WorkQueue::WorkQueue(std::size_t maxRequests, std::size_t maxReports)
{
    limits_.fill(std::numeric_limits<std::size_t>::max());
    limits_[static_cast<std::size_t>(WorkKind::Requests)] = maxRequests;
    limits_[static_cast<std::size_t>(WorkKind::Reports)] = maxReports;
}

bool WorkQueue::post(WorkKind kind, Item item)
{
    const auto index = static_cast<std::size_t>(kind);
    if (items_[index].size() >= limits_[index]) {
        return false;
    }
    items_[index].push_back(std::move(item));
    return true;
}

bool WorkQueue::runNext()
{
    if (empty()) {
        return false;
    }
    while (items_[kind_].empty() || used_ >= Turn) {
        kind_ = (kind_ + 1) % WorkKindCount;
        used_ = {};
    }
    const Item item = std::move(items_[kind_].front());
    items_[kind_].pop_front();
    const auto begin = std::chrono::steady_clock::now();
    item();
    used_ += std::chrono::steady_clock::now() - begin;
    return true;
}

bool WorkQueue::empty() const
{
    return std::all_of(items_.begin(), items_.end(), [](const auto &items) { return items.empty(); });
}

void WorkQueue::clear()
{
    for (auto &items : items_) {
        items.clear();
    }
}

} // namespace yuccawheel::base
