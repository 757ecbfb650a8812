#include "protocol/index_set.h"

#include <algorithm>

namespace yuccawheel::protocol
{

void IndexSet::insert(std::uint32_t index)
{
    insert(IndexRange{index, index + 1});
}

void IndexSet::insert(IndexRange range)
{
    if (range.first >= range.end) {
        return;
    }
    const auto begin =
        std::lower_bound(ranges_.begin(), ranges_.end(), range.first, [](const IndexRange &held, std::uint32_t first) {
            return held.end < first;
        });
    auto end = begin;
    while (end != ranges_.end() && end->first <= range.end) {
        range.first = std::min(range.first, end->first);
        range.end = std::max(range.end, end->end);
        ++end;
    }
    ranges_.insert(ranges_.erase(begin, end), range);
}

void IndexSet::insert(const IndexSet &other)
{
    for (const IndexRange &range : other.ranges_) {
        insert(range);
    }
}

void IndexSet::erase(const IndexSet &other)
{
    for (const IndexRange &erased : other.ranges_) {
        std::vector<IndexRange> remaining;
        for (const IndexRange &range : ranges_) {
            if (range.first < std::min(range.end, erased.first)) {
                remaining.push_back({range.first, std::min(range.end, erased.first)});
            }
            if (std::max(range.first, erased.end) < range.end) {
                remaining.push_back({std::max(range.first, erased.end), range.end});
            }
        }
        ranges_ = std::move(remaining);
    }
}

void IndexSet::intersect(const IndexSet &other)
{
    IndexSet difference = *this;
    difference.erase(other);
    erase(difference);
}

bool IndexSet::contains(std::uint32_t index) const
{
    const auto found =
        std::upper_bound(ranges_.begin(), ranges_.end(), index, [](std::uint32_t value, const IndexRange &held) {
            return value < held.end;
        });
    return found != ranges_.end() && found->first <= index;
}

std::uint32_t IndexSet::size() const
{
    std::uint32_t count = 0;
    for (const IndexRange &range : ranges_) {
        count += range.end - range.first;
    }
    return count;
}

std::vector<std::uint32_t> IndexSet::indices() const
{
    std::vector<std::uint32_t> list;
    list.reserve(size());
    for (const IndexRange &range : ranges_) {
        for (std::uint32_t index = range.first; index < range.end; ++index) {
            list.push_back(index);
        }
    }
    return list;
}

void IndexSet::msgpack_unpack(const msgpack::object &object)
{
    ranges_.clear();
    for (const IndexRange &range : object.as<std::vector<IndexRange>>()) {
        insert(range);
    }
}

} // namespace yuccawheel::protocol
