#pragma once

#include "base/clock.h"
#include "coordination/epoch.h"
#include "coordination/heartbeat_timeout_estimator.h"

#include <cstdint>
#include <map>
#include <optional>

namespace yuccawheel::coordination
{

/// Suspects a process once it has sent no heartbeat for longer than a timeout estimated from its earlier intervals.
/// Whether a connection to it is open does not matter.
class FailureDetector
{
public:
    explicit FailureDetector(DetectorSettings settings = {}) : settings_(settings)
    {
    }

    /// Records a heartbeat. Returns false and ignores it if a later incarnation of the node has been seen.
    bool recordHeartbeat(ProcessId process, base::TimePoint now);
    /// Returns whether the node has sent a heartbeat before, but none within its timeout.
    bool isSuspected(std::uint32_t node, base::TimePoint now) const;
    /// Returns when the node becomes suspected without a further heartbeat, or nothing if it never sent one.
    std::optional<base::TimePoint> suspicionTime(std::uint32_t node) const;
    /// Returns the highest incarnation seen, or nothing if the node never sent a heartbeat.
    std::optional<std::uint64_t> incarnation(std::uint32_t node) const;
    void forget(std::uint32_t node);

private:
    struct PeerHeartbeats {
        std::uint64_t incarnation = 0;
        base::TimePoint last{};
        HeartbeatTimeoutEstimator timeoutEstimator;
    };

    DetectorSettings settings_;
    std::map<std::uint32_t, PeerHeartbeats> peers_;
};

} // namespace yuccawheel::coordination
