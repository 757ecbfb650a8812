#pragma once

#include "placement/job.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace yuccawheel::placement
{

/// Names the jobs whose sizes and run times are taken to be alike.
using HistoryKey = std::uint64_t;

/// What a task is expected to need.
struct Estimate {
    Resources size;
    std::chrono::milliseconds runTime{0};
    bool learned = false; ///< False if it is only what was declared.
};

/// Corrects declared sizes and run times by what earlier tasks of the same team and job name used.
class SizeEstimator
{
public:
    /// Joins the team with the job's name less its trailing number or date.
    static HistoryKey keyOf(const JobSpec &spec);

    Estimate estimate(HistoryKey key, const JobSpec &spec) const;
    /// Takes the highest use of a task that succeeded under a limit of `reserved`.
    void learnSize(HistoryKey key, const JobSpec &spec, const Resources &peak, const Resources &reserved);
    void learnRunTime(HistoryKey key, const JobSpec &spec, std::chrono::milliseconds runTime);
    /// Counts the changes of a history's estimate.
    std::uint32_t version(HistoryKey key) const;

    /// Rounds an amount up, so that few different sizes exist.
    static Resources roundUp(const Resources &amount);

private:
    static constexpr std::size_t Samples = 8;
    static constexpr std::uint32_t MinSamples = 3;
    static constexpr std::size_t MaxHistories = 8192;

    /// Ratios of what was used to what was declared.
    struct Ratios {
        std::array<float, Samples> ring{};
        std::uint32_t count = 0;

        bool enough() const
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
