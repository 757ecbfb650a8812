#pragma once

#include <cstdint>
#include <tuple>

namespace yuccawheel::coordination
{

/// Identity of one run of a process: the node number of its settings and a number that rises with each start.
struct ProcessId {
    std::uint32_t node = 0; ///< 0 stands for no process.
    std::uint64_t incarnation = 0;

    bool operator==(const ProcessId &) const = default;
    bool operator<(const ProcessId &other) const
    {
        return std::tie(node, incarnation) < std::tie(other.node, other.incarnation);
    }
};

/// Orders the owners of a zone. The log issues the first part; the second one counts the successions since, which
/// happen inside a zone that the log cannot reach.
struct Epoch {
    std::uint64_t logIssued = 0;
    std::uint32_t successionRank = 0;

    bool operator==(const Epoch &) const = default;
    bool operator<(const Epoch &other) const
    {
        return std::tie(logIssued, successionRank) < std::tie(other.logIssued, other.successionRank);
    }
};

/// Returns the lowest epoch above `highest` that belongs to the candidate at `position` of a succession of `count`.
/// Candidates never share an epoch: its rank modulo `count` is the position.
constexpr Epoch nextSuccession(const Epoch &highest, std::uint32_t position, std::uint32_t count)
{
    const std::uint32_t base = highest.successionRank - highest.successionRank % count + position;
    return Epoch{highest.logIssued, base > highest.successionRank ? base : base + count};
}

} // namespace yuccawheel::coordination
