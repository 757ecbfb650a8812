#include "workflow/pace.h"

#include <algorithm>

namespace yuccawheel::workflow
{

namespace
{

constexpr double WorkerWeight = 0.1; ///< Of a sample; estimates are off by up to half, so that ten are needed.
constexpr double OverallWeight = 0.01;
constexpr std::uint32_t SamplesNeeded = 8;
constexpr double LargestSample = 10; ///< A task that stood still says little about the next one.
// Estimates are off by half, tasks of a step differ by a third, and slow workers take a third longer.
constexpr double LongestFactor = 3;
constexpr std::chrono::milliseconds LongestExtra{500}; ///< Start-up, and the way of the news.

} // namespace

void PaceBook::Average::add(double sample, double weight)
{
    ++samples;
    // The first samples count alike.
    value += std::max(weight, 1.0 / samples) * (sample - value);
}

void PaceBook::learn(WorkerNumber worker, std::chrono::milliseconds estimated, std::chrono::milliseconds taken)
{
    if (estimated.count() <= 0) {
        return;
    }
    const double sample =
        std::min(LargestSample, static_cast<double>(taken.count()) / static_cast<double>(estimated.count()));
    all_.add(sample, OverallWeight);
    workers_[worker].add(sample, WorkerWeight);
}

void PaceBook::forget(WorkerNumber worker)
{
    workers_.erase(worker);
}

double PaceBook::slowness(WorkerNumber worker) const
{
    const auto found = workers_.find(worker);
    return found == workers_.end() || found->second.samples < SamplesNeeded ? 1 : found->second.value / all_.value;
}

std::chrono::milliseconds PaceBook::longest(std::chrono::milliseconds estimated) const
{
    const double usual = static_cast<double>(estimated.count()) * std::max(1.0, all_.value);
    return std::chrono::milliseconds(static_cast<std::int64_t>(usual * LongestFactor)) + LongestExtra;
}

} // namespace yuccawheel::workflow
