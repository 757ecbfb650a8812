#include "start_history.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace yuccawheel::scheduler
{

namespace
{

constexpr std::chrono::minutes SlotLength{10};
constexpr std::chrono::hours Retention{24};
constexpr std::size_t MaxRetriedJobsPerSlot = 64;
/// Histogram resolution: each bound is at most 20 % above the waiting times that it counts.
constexpr double BoundsPerDoubling = 4;

std::int64_t upperBoundMs(std::chrono::nanoseconds waited)
{
    const double milliseconds = std::chrono::duration<double, std::milli>(waited).count();
    const double step = std::ceil(std::log2(std::max(milliseconds, 1.0)) * BoundsPerDoubling);
    return static_cast<std::int64_t>(std::ceil(std::exp2(step / BoundsPerDoubling)));
}

} // namespace

void StartHistory::add(const placement::StartTask &start, bool retry, std::chrono::milliseconds now)
{
    if (slots_.empty() || now >= slots_.back().begin + SlotLength) {
        Slot slot;
        slot.begin = now;
        slots_.push_back(std::move(slot));
    }
    while (slots_.front().begin + Retention < now) {
        slots_.pop_front();
    }
    Slot &slot = slots_.back();
    ++slot.starts;
    ++slot.waits[upperBoundMs(start.waited)];
    if (!retry) {
        return;
    }
    ++slot.retries;
    const bool known = slot.retriesOfJob.count(start.task.job) > 0;
    if (known || slot.retriesOfJob.size() < MaxRetriedJobsPerSlot) {
        ++slot.retriesOfJob[start.task.job];
    }
}

nlohmann::json StartHistory::summarize(std::chrono::milliseconds since) const
{
    Slot sum;
    for (const Slot &slot : slots_) {
        if (slot.begin + SlotLength <= since) {
            continue;
        }
        sum.starts += slot.starts;
        sum.retries += slot.retries;
        for (const auto &[bound, count] : slot.waits) {
            sum.waits[bound] += count;
        }
        for (const auto &[job, count] : slot.retriesOfJob) {
            sum.retriesOfJob[job] += count;
        }
    }
    return {{"starts", sum.starts}, {"retries", sum.retries}, {"waits", sum.waits}, {"retried", sum.retriesOfJob}};
}

} // namespace yuccawheel::scheduler
