#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <vector>

namespace yuccawheel::protocol
{

/// Half-open range of task indices.
struct IndexRange {
    std::uint32_t first = 0;
    std::uint32_t end = 0;

    bool operator==(const IndexRange &) const = default;
    MSGPACK_DEFINE(first, end)
};

/// Set of task indices, kept as sorted ranges that do not touch.
class IndexSet
{
public:
    void insert(std::uint32_t index);
    void insert(IndexRange range);
    void insert(const IndexSet &other);
    void erase(const IndexSet &other);
    /// Keeps only what lies in one of the ranges of the other set.
    void intersect(const IndexSet &other);
    bool contains(std::uint32_t index) const;
    /// Number of indices in the set.
    std::uint32_t size() const;
    bool empty() const
    {
        return ranges_.empty();
    }
    const std::vector<IndexRange> &ranges() const
    {
        return ranges_;
    }
    /// Lists the indices one by one.
    std::vector<std::uint32_t> indices() const;

    bool operator==(const IndexSet &) const = default;

    template <typename Packer>
    void msgpack_pack(Packer &packer) const
    {
        packer.pack(ranges_);
    }
    /// Rebuilds the set range by range, so that untrusted ranges can't break its order.
    void msgpack_unpack(const msgpack::object &object);

private:
    std::vector<IndexRange> ranges_;
};

} // namespace yuccawheel::protocol
