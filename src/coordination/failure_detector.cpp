#include "coordination/failure_detector.h"

#include <algorithm>

namespace yuccawheel::coordination
{

namespace
{

// Weights of a new interval in the running mean and deviation, as in TCP's estimate of the round trip.
constexpr int MeanWeight = 8;
constexpr int DeviationWeight = 4;

} // namespace

// One long gap, after which the process speaks again, counts as no more than the longest timeout: a pause must not make
// the detector patient for long after it.
bool FailureDetector::heartbeat(ProcessId process, base::TimePoint now)
{
    const auto [place, added] = rhythms_.try_emplace(process.node);
    Rhythm &rhythm = place->second;
    if (!added && process.incarnation < rhythm.incarnation) {
        return false;
    }
    if (added || process.incarnation > rhythm.incarnation) {
        rhythm = Rhythm{process.incarnation, now, settings_.expectedInterval, settings_.expectedInterval / 4};
        return true;
    }
    const base::Duration gap = std::min<base::Duration>(now - rhythm.last, settings_.maxTimeout);
    const base::Duration error = gap > rhythm.mean ? gap - rhythm.mean : rhythm.mean - gap;
    rhythm.deviation += (error - rhythm.deviation) / DeviationWeight;
    rhythm.mean += (gap - rhythm.mean) / MeanWeight;
    rhythm.last = std::max(rhythm.last, now);
    return true;
}

base::Duration FailureDetector::timeout(const Rhythm &rhythm) const
{
    const base::Duration adapted = rhythm.mean + settings_.deviations * rhythm.deviation;
    return std::clamp<base::Duration>(adapted, settings_.minTimeout, settings_.maxTimeout);
}

std::optional<base::TimePoint> FailureDetector::deadline(std::uint32_t node) const
{
    const auto found = rhythms_.find(node);
    if (found == rhythms_.end()) {
        return std::nullopt;
    }
    return found->second.last + timeout(found->second);
}

bool FailureDetector::suspects(std::uint32_t node, base::TimePoint now) const
{
    const auto until = deadline(node);
    return until && now >= *until;
}

std::optional<std::uint64_t> FailureDetector::incarnation(std::uint32_t node) const
{
    const auto found = rhythms_.find(node);
    return found == rhythms_.end() ? std::nullopt : std::optional(found->second.incarnation);
}

void FailureDetector::forget(std::uint32_t node)
{
    rhythms_.erase(node);
}

} // namespace yuccawheel::coordination
