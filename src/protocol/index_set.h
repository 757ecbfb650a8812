#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <vector>

namespace yuccawheel::protocol
{

/// Half-open range [first, end) of task indices.
struct IndexRange {
    std::uint32_t first = 0;
    std::uint32_t end = 0;

    bool operator==(const IndexRange &) const = default;
    MSGPACK_DEFINE(first, end)
};

/// Set of task indices, stored as sorted ranges that neither overlap nor adjoin.
class IndexSet
{
public:
    void insert(std::uint32_t index);
    void insert(IndexRange range);
    void insert(const IndexSet &other);
    void erase(const IndexSet &other);
    /// Removes the indices that are not in the other set.
    void intersect(const IndexSet &other);
    bool contains(std::uint32_t index) const;
    /// Returns the number of indices.
    std::uint32_t size() const;
    bool empty() const
    {
        return ranges_.empty();
    }
    const std::vector<IndexRange> &ranges() const
    {
        return ranges_;
    }
    /// Returns all indices in ascending order.
    std::vector<std::uint32_t> indices() const;

    bool operator==(const IndexSet &) const = default;

    template <typename Packer>
    void msgpack_pack(Packer &packer) const
    {
        packer.pack(ranges_);
    }
    /// Inserts the ranges one by one, so that untrusted input can't violate the order of `ranges_`.
    void msgpack_unpack(const msgpack::object &object);

private:
    std::vector<IndexRange> ranges_;
};

} // namespace yuccawheel::protocol
