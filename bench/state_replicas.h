#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace yuccawheel::bench
{

struct AppendLoad {
    std::string folder; ///< Gets one sub-folder for each replica.
    std::size_t outstanding = 1; ///< Proposals not yet acknowledged.
    std::size_t entryBytes = 200;
    std::chrono::milliseconds duration{2'000};
};

struct AppendResult {
    double entriesPerSecond = 0;
    double p50Us = 0; ///< Proposal to acknowledgement.
    double p99Us = 0;
    std::uint64_t acknowledged = 0;
};

/// Runs three replicas, each on a thread and on files of its own with real syncs, joined by bounded rings in memory.
AppendResult measureAppends(const AppendLoad &load);

} // namespace yuccawheel::bench
