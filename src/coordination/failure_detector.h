#pragma once

#include "base/clock.h"
#include "coordination/epoch.h"
#include "coordination/heartbeat_timeout_estimator.h"

#include <cstdint>
#include <map>
#include <optional>

namespace yuccawheel::coordination
{

/// Suspects a process whose heartbeats stay out for longer than their own rhythm explains. A connection being open
/// counts for nothing.
class FailureDetector
{
public:
    explicit FailureDetector(DetectorSettings settings = {}) : settings_(settings)
    {
    }

    /// Counts a heartbeat. Returns false, counting nothing, if it is of an earlier incarnation.
    bool heartbeat(ProcessId process, base::TimePoint now);
    /// True if the node was heard of, and its silence has passed its timeout.
    bool suspects(std::uint32_t node, base::TimePoint now) const;
    /// Returns when a further silence makes the node suspect, or nothing if it was never heard of.
    std::optional<base::TimePoint> deadline(std::uint32_t node) const;
    /// Returns the highest incarnation heard of, or nothing.
    std::optional<std::uint64_t> incarnation(std::uint32_t node) const;
    void forget(std::uint32_t node);

private:
    struct Heard {
        std::uint64_t incarnation = 0;
        base::TimePoint last{};
        HeartbeatTimeoutEstimator rhythm;
    };

    DetectorSettings settings_;
    std::map<std::uint32_t, Heard> heard_;
};

} // namespace yuccawheel::coordination
