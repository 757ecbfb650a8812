#include "coordination/failure_detector.h"

#include <algorithm>

namespace yuccawheel::coordination
{

bool FailureDetector::recordHeartbeat(ProcessId process, base::TimePoint now)
{
    const auto found = peers_.find(process.node);
    if (found != peers_.end() && process.incarnation < found->second.incarnation) {
        return false;
    }
    if (found == peers_.end() || process.incarnation > found->second.incarnation) {
        peers_.insert_or_assign(process.node,
                                PeerHeartbeats{process.incarnation, now, HeartbeatTimeoutEstimator(settings_)});
        return true;
    }
    PeerHeartbeats &peer = found->second;
    peer.timeoutEstimator.observe(now - peer.last);
    peer.last = std::max(peer.last, now);
    return true;
}

std::optional<base::TimePoint> FailureDetector::suspicionTime(std::uint32_t node) const
{
    const auto found = peers_.find(node);
    if (found == peers_.end()) {
        return std::nullopt;
    }
    return found->second.last + found->second.timeoutEstimator.timeout();
}

bool FailureDetector::isSuspected(std::uint32_t node, base::TimePoint now) const
{
    const auto until = suspicionTime(node);
    return until && now >= *until;
}

std::optional<std::uint64_t> FailureDetector::incarnation(std::uint32_t node) const
{
    const auto found = peers_.find(node);
    return found == peers_.end() ? std::nullopt : std::optional(found->second.incarnation);
}

void FailureDetector::forget(std::uint32_t node)
{
    peers_.erase(node);
}

} // namespace yuccawheel::coordination
