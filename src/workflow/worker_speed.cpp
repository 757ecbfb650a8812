#include "workflow/worker_speed.h"

#include <algorithm>

namespace yuccawheel::workflow
{

namespace
{

constexpr double WorkerSampleWeight = 0.1; ///< Estimates are off by up to half, so about ten samples are needed.
constexpr double OverallSampleWeight = 0.01;
constexpr std::uint32_t MinSamples = 8;
constexpr double MaxSample = 10; ///< Limits the influence of a task that hung.
// Estimates are off by up to half, tasks of a step differ by a third and slow workers take a third longer.
constexpr double MaxRunTimeFactor = 3;
constexpr std::chrono::milliseconds MaxRunTimeOverhead{500}; ///< Startup and communication delay.

} // namespace

void WorkerSpeedTracker::Average::add(double sample, double weight)
{
    ++samples;
    // The first samples have equal weight.
    value += std::max(weight, 1.0 / samples) * (sample - value);
}

void WorkerSpeedTracker::recordRunTime(WorkerNumber worker,
                                       std::chrono::milliseconds estimated,
                                       std::chrono::milliseconds taken)
{
    if (estimated.count() <= 0) {
        return;
    }
    const double sample =
        std::min(MaxSample, static_cast<double>(taken.count()) / static_cast<double>(estimated.count()));
    all_.add(sample, OverallSampleWeight);
    workers_[worker].add(sample, WorkerSampleWeight);
}

void WorkerSpeedTracker::removeWorker(WorkerNumber worker)
{
    workers_.erase(worker);
}

double WorkerSpeedTracker::slowdown(WorkerNumber worker) const
{
    const auto found = workers_.find(worker);
    return found == workers_.end() || found->second.samples < MinSamples ? 1 : found->second.value / all_.value;
}

std::chrono::milliseconds WorkerSpeedTracker::maxRunTime(std::chrono::milliseconds estimated) const
{
    const double expected = static_cast<double>(estimated.count()) * std::max(1.0, all_.value);
    return std::chrono::milliseconds(static_cast<std::int64_t>(expected * MaxRunTimeFactor)) + MaxRunTimeOverhead;
}

} // namespace yuccawheel::workflow
