#include "coordination/failure_detector.h"

#include <algorithm>

namespace yuccawheel::coordination
{

bool FailureDetector::heartbeat(ProcessId process, base::TimePoint now)
{
    const auto found = heard_.find(process.node);
    if (found != heard_.end() && process.incarnation < found->second.incarnation) {
        return false;
    }
    if (found == heard_.end() || process.incarnation > found->second.incarnation) {
        heard_.insert_or_assign(process.node, Heard{process.incarnation, now, HeartbeatTimeoutEstimator(settings_)});
        return true;
    }
    Heard &heard = found->second;
    heard.rhythm.observe(now - heard.last);
    heard.last = std::max(heard.last, now);
    return true;
}

std::optional<base::TimePoint> FailureDetector::deadline(std::uint32_t node) const
{
    const auto found = heard_.find(node);
    if (found == heard_.end()) {
        return std::nullopt;
    }
    return found->second.last + found->second.rhythm.timeout();
}

bool FailureDetector::suspects(std::uint32_t node, base::TimePoint now) const
{
    const auto until = deadline(node);
    return until && now >= *until;
}

std::optional<std::uint64_t> FailureDetector::incarnation(std::uint32_t node) const
{
    const auto found = heard_.find(node);
    return found == heard_.end() ? std::nullopt : std::optional(found->second.incarnation);
}

void FailureDetector::forget(std::uint32_t node)
{
    heard_.erase(node);
}

} // namespace yuccawheel::coordination
