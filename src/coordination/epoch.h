#pragma once

#include <cstdint>
#include <tuple>

namespace yuccawheel::coordination
{

/// Identifies one run of a process: the node number from its settings and a number that grows with each start.
struct ProcessId {
    std::uint32_t node = 0; ///< 0 means no process.
    std::uint64_t incarnation = 0;

    bool operator==(const ProcessId &) const = default;
    bool operator<(const ProcessId &other) const
    {
        return std::tie(node, incarnation) < std::tie(other.node, other.incarnation);
    }
};

/// Orders the successive owners of a zone. Compared by `logEpoch` first, then by `successionRank`.
struct Epoch {
    std::uint64_t logEpoch = 0; ///< Issued by the replicated log.
    std::uint32_t successionRank = 0; ///< Grows with each takeover that the zone decides while it cannot reach the log.

    bool operator==(const Epoch &) const = default;
    bool operator<(const Epoch &other) const
    {
        return std::tie(logEpoch, successionRank) < std::tie(other.logEpoch, other.successionRank);
    }
};

/// Returns the lowest epoch above `highest` that the candidate at `position` of `count` candidates may claim.
/// A candidate only uses ranks that equal its position modulo `count`, so two candidates never share an epoch.
constexpr Epoch nextSuccessionEpoch(const Epoch &highest, std::uint32_t position, std::uint32_t count)
{
    const std::uint32_t base = highest.successionRank - highest.successionRank % count + position;
    return Epoch{highest.logEpoch, base > highest.successionRank ? base : base + count};
}

} // namespace yuccawheel::coordination
