#include "workflow/run_time_model.h"

#include <algorithm>
#include <cmath>

namespace yuccawheel::workflow
{

namespace
{

constexpr std::uint32_t MinSamples = 30; ///< A few steps; tasks of one step are alike.
constexpr double SampleWeight = 0.005; ///< About ten steps of twenty tasks; a few odd jobs change little.

} // namespace

void RunTimeModel::record(const std::string &queue,
                          std::chrono::milliseconds estimated,
                          std::chrono::milliseconds taken)
{
    if (estimated.count() <= 0 || taken.count() <= 0) {
        return;
    }
    Samples &samples = queues_[queue];
    ++samples.count;
    const double weight = std::max(SampleWeight, 1.0 / samples.count); // The first samples have equal weight.
    const double estimate = std::log(static_cast<double>(estimated.count())) - samples.meanEstimate;
    const double runTime = std::log(static_cast<double>(taken.count())) - samples.meanRunTime;
    samples.meanEstimate += weight * estimate;
    samples.meanRunTime += weight * runTime;
    samples.variance = (1 - weight) * (samples.variance + weight * estimate * estimate);
    samples.covariance = (1 - weight) * (samples.covariance + weight * estimate * runTime);
}

std::chrono::milliseconds RunTimeModel::expectedRunTime(const std::string &queue,
                                                        std::chrono::milliseconds estimated) const
{
    const auto found = queues_.find(queue);
    if (found == queues_.end() || found->second.count < MinSamples || estimated.count() <= 0) {
        return estimated;
    }
    const Samples &samples = found->second;
    const double slope = samples.variance > 0 ? std::clamp(samples.covariance / samples.variance, 0.0, 1.0) : 1;
    const double logarithm =
        samples.meanRunTime + slope * (std::log(static_cast<double>(estimated.count())) - samples.meanEstimate);
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::exp(logarithm)) + 1);
}

} // namespace yuccawheel::workflow
