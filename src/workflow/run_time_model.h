#pragma once

#include <msgpack.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace yuccawheel::workflow
{

/// Expected run times of tasks. Callers' estimates are weighted by how well the estimates of their queue have predicted
/// run times so far: a regression of the logarithm of the run time on that of the estimate. Load pattern: queues whose
/// callers can hardly estimate. Objectives and ranks that rest on such estimates put jobs first or last at random.
class RunTimeModel
{
public:
    void record(const std::string &queue, std::chrono::milliseconds estimated, std::chrono::milliseconds taken);
    /// Returns the estimate itself until the queue has enough samples.
    std::chrono::milliseconds expectedRunTime(const std::string &queue, std::chrono::milliseconds estimated) const;

    MSGPACK_DEFINE(queues_)

private:
    /// Moving averages of the logarithms.
    struct Samples {
        std::uint32_t count = 0;
        double meanEstimate = 0;
        double meanRunTime = 0;
        double variance = 0; ///< Of the estimates.
        double covariance = 0;

        MSGPACK_DEFINE(count, meanEstimate, meanRunTime, variance, covariance)
    };
    std::map<std::string, Samples> queues_;
};

} // namespace yuccawheel::workflow
