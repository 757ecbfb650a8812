#pragma once

#include "placement/events.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>

namespace yuccawheel::scheduler
{

/// What a scheduler started in the last day, for the operators' report: waiting times and retries, in slots of time.
class StartHistory
{
public:
    /// Counts a start; `retry` says whether its task was started before. `now` is Unix time and also ends what is older
    /// than a day.
    void add(const placement::StartTask &start, bool retry, std::chrono::milliseconds now);
    /// Sums the slots that reach beyond `since`: starts, retries, waits as pairs of upper bound in ms and count,
    /// and retried jobs as pairs of id and count.
    nlohmann::json since(std::chrono::milliseconds since) const;

private:
    struct Slot {
        std::chrono::milliseconds begin{0};
        std::uint64_t starts = 0;
        std::uint64_t retries = 0;
        std::map<std::int64_t, std::uint64_t> waits; ///< Count by upper bound in ms.
        std::map<placement::JobId, std::uint64_t> retriesOfJob;
    };

    std::deque<Slot> slots_;
};

} // namespace yuccawheel::scheduler
