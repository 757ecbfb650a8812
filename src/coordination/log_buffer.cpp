#include "coordination/log_buffer.h"

#include "base/invariant.h"

#include <utility>

namespace yuccawheel::coordination
{

void LogBuffer::reset(Index baseIndex, Term baseTerm)
{
    entries_.clear();
    bytes_ = 0;
    baseIndex_ = baseIndex;
    baseTerm_ = baseTerm;
}

void LogBuffer::append(Entry entry)
{
    YW_INVARIANT(entry.index == lastIndex() + 1, "an entry must continue the log");
    YW_INVARIANT(entry.term >= lastTerm(), "terms must not decrease along the log");
    bytes_ += sizeOf(entry);
    entries_.push_back(std::move(entry));
}

void LogBuffer::truncateFrom(Index index)
{
    YW_INVARIANT(index > baseIndex_, "entries covered by a snapshot cannot be truncated");
    while (lastIndex() >= index) {
        bytes_ -= sizeOf(entries_.back());
        entries_.pop_back();
    }
}

void LogBuffer::compactTo(Index index)
{
    YW_INVARIANT(index <= lastIndex(), "compaction must not go past the end of the log");
    while (baseIndex_ < index) {
        bytes_ -= sizeOf(entries_.front());
        baseTerm_ = entries_.front().term;
        entries_.pop_front();
        ++baseIndex_;
    }
}

std::optional<Term> LogBuffer::termAt(Index index) const
{
    if (index == baseIndex_) {
        return baseTerm_;
    }
    if (index < baseIndex_ || index > lastIndex()) {
        return std::nullopt;
    }
    return at(index).term;
}

const Entry &LogBuffer::at(Index index) const
{
    YW_INVARIANT(index > baseIndex_ && index <= lastIndex(), "the entry must be in memory");
    return entries_[index - baseIndex_ - 1];
}

std::vector<Entry> LogBuffer::slice(Index first, Index last, std::size_t maxBytes) const
{
    std::vector<Entry> entries;
    std::size_t bytes = 0;
    for (Index index = first; index <= last; ++index) {
        const Entry &entry = at(index);
        bytes += sizeOf(entry);
        if (!entries.empty() && bytes > maxBytes) {
            break;
        }
        entries.push_back(entry);
    }
    return entries;
}

} // namespace yuccawheel::coordination
