#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace yuccawheel::bench
{

struct AppendLoad {
    std::string folder; ///< Holds one subfolder per replica; removed after the run.
    std::size_t outstanding = 1; ///< Number of proposals that the leader keeps unacknowledged.
    std::size_t entryBytes = 200;
    std::chrono::milliseconds duration{2'000};
};

struct AppendResult {
    double entriesPerSecond = 0;
    double p50Us = 0; ///< Time from proposal to acknowledgement.
    double p99Us = 0;
    std::uint64_t acknowledged = 0;
};

/// Measures appends of three replicas, each with its own thread and its own synced files, connected by bounded
/// in-memory queues.
AppendResult measureAppends(const AppendLoad &load);

} // namespace yuccawheel::bench
