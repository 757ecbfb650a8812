#pragma once

#include "coordination/types.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace yuccawheel::coordination
{

/// The part of the log kept in memory: the entries after a base that a snapshot covers.
class LogBuffer
{
public:
    /// Drops everything and starts after the given position.
    void reset(Index baseIndex, Term baseTerm);
    /// Appends an entry that continues the log.
    void append(Entry entry);
    /// Drops the entry at `index` and all later ones.
    void truncateFrom(Index index);
    /// Drops the entries up to and with `index`.
    void compactTo(Index index);

    Index baseIndex() const
    {
        return baseIndex_;
    }
    Index lastIndex() const
    {
        return baseIndex_ + entries_.size();
    }
    Term lastTerm() const
    {
        return entries_.empty() ? baseTerm_ : entries_.back().term;
    }
    /// Returns the term at `index`, or nothing if the index is below the base or above the end.
    std::optional<Term> termAt(Index index) const;
    /// Returns the entry at an index between the base and the end.
    const Entry &at(Index index) const;
    /// Copies entries from `first` on, at least one if there is one, up to `maxBytes` of data.
    std::vector<Entry> slice(Index first, Index last, std::size_t maxBytes) const;
    /// Returns the bytes held in memory.
    std::size_t bytes() const
    {
        return bytes_;
    }

private:
    Index baseIndex_ = 0;
    Term baseTerm_ = 0;
    std::size_t bytes_ = 0;
    std::deque<Entry> entries_;
};

/// Bytes that an entry counts for in batches and limits: its data and the fields beside it.
constexpr std::size_t EntryOverheadBytes = 32;

inline std::size_t sizeOf(const Entry &entry)
{
    return entry.data.size() + EntryOverheadBytes;
}

} // namespace yuccawheel::coordination
