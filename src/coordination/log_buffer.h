#pragma once

#include "coordination/types.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace yuccawheel::coordination
{

/// The part of the log kept in memory: all entries after a base position that a snapshot covers.
class LogBuffer
{
public:
    /// Drops all entries and makes the given position the base.
    void reset(Index baseIndex, Term baseTerm);
    /// Appends the entry that follows `lastIndex`.
    void append(Entry entry);
    /// Drops the entry at `index` and all later ones.
    void truncateFrom(Index index);
    /// Drops the entries up to and including `index`, which becomes the base.
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
    /// Returns the term at `index`, or nothing if the index is below the base or after the last entry.
    std::optional<Term> termAt(Index index) const;
    /// Returns the entry at `index`, which must be after the base and not after the last entry.
    const Entry &at(Index index) const;
    /// Copies the entries from `first` to `last`, stopping early at `maxBytes` but not before one entry.
    std::vector<Entry> slice(Index first, Index last, std::size_t maxBytes) const;
    /// Returns the size of all entries in memory.
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

/// Bytes added to the data of an entry for its other fields, in batches and limits.
constexpr std::size_t EntryOverheadBytes = 32;

inline std::size_t sizeOf(const Entry &entry)
{
    return entry.data.size() + EntryOverheadBytes;
}

} // namespace yuccawheel::coordination
