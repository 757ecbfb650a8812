#pragma once

#include "placement/events.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>

namespace yuccawheel::scheduler
{

/// Task starts of the last 24 hours for the operators' report: waiting times and retries, aggregated per time slot.
class StartHistory
{
public:
    /// Counts a start. `retry` is true if the task was started before. `now` is Unix time; slots older than 24 hours
    /// before it are dropped.
    void add(const placement::StartTask &start, bool retry, std::chrono::milliseconds now);
    /// Returns the sum of all slots that end after `since` (Unix time): starts, retries, waits as pairs of upper bound
    /// (ms) and count, and retried jobs as pairs of id and count.
    nlohmann::json summarize(std::chrono::milliseconds since) const;

private:
    struct Slot {
        std::chrono::milliseconds begin{0};
        std::uint64_t starts = 0;
        std::uint64_t retries = 0;
        std::map<std::int64_t, std::uint64_t> waits; ///< Number of starts by upper bound of their waiting time (ms).
        std::map<placement::JobId, std::uint64_t> retriesOfJob;
    };

    std::deque<Slot> slots_;
};

} // namespace yuccawheel::scheduler
