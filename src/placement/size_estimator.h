#pragma once

#include "placement/job.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace yuccawheel::placement
{

/// Identifies the jobs that are expected to have similar sizes and run times.
using HistoryKey = std::uint64_t;

/// Expected resources and run time of a task.
struct Estimate {
    Resources size;
    std::chrono::milliseconds runTime{0};
    bool learned = false; ///< False if the size is the declared one.
};

/// Estimates sizes and run times from the declared values and the usage of earlier tasks with the same team and job
/// name.
class SizeEstimator
{
public:
    /// Returns a hash of the team and of the job's name without its trailing digits and hyphens, such as a date.
    static HistoryKey keyOf(const JobSpec &spec);

    Estimate estimate(HistoryKey key, const JobSpec &spec) const;
    /// Records the peak usage of a task that succeeded with the reservation `reserved`.
    void learnSize(HistoryKey key, const JobSpec &spec, const Resources &peak, const Resources &reserved);
    void learnRunTime(HistoryKey key, const JobSpec &spec, std::chrono::milliseconds runTime);
    /// Returns a number that changes whenever the history's estimate may have changed.
    std::uint32_t version(HistoryKey key) const;

    /// Rounds an amount up, to keep the number of distinct sizes small.
    static Resources roundUp(const Resources &amount);

private:
    static constexpr std::size_t Samples = 8;
    static constexpr std::uint32_t MinSamples = 3;
    static constexpr std::size_t MaxHistories = 8192;

    /// The last ratios of used to declared amounts.
    struct Ratios {
        std::array<float, Samples> ring{};
        std::uint32_t count = 0;

        bool hasEnough() const
        {
            return count >= MinSamples;
        }
        void add(float ratio)
        {
            ring[count++ % Samples] = ratio;
        }
        float highest() const;
        float median() const;
    };
    struct History {
        Ratios milliCpu;
        Ratios memoryMib;
        Ratios runTime;
    };

    History &historyOf(HistoryKey key);

    std::unordered_map<HistoryKey, History> histories_;
    std::deque<HistoryKey> order_; ///< Oldest first, for eviction.
};

} // namespace yuccawheel::placement
