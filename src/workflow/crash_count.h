#pragma once

#include "protocol/codec.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace yuccawheel::workflow
{

/// How a task that may crash its workers is kept apart from others.
enum class Suspicion : std::uint8_t {
    None,
    Low, ///< Goes where a crash costs least, beside no other suspect if possible.
    High, ///< Runs alone, so that the next crash shows whether it is to blame.
};

/// What may have crashed a worker under a task or a gang, in crashes per second.
struct CrashCauses {
    double unit = 0; ///< The unit, if it is one that crashes its workers.
    /// Other units on the worker, as probable as it is that they do, and causes of their own of all workers of the run.
    double others = 0;
};

/// How long a run had been at work when its worker crashed, as far as the worker's answers tell.
struct TimeAtWork {
    std::chrono::milliseconds atLeast{0};
    std::chrono::milliseconds atMost{std::chrono::seconds(1)};

    MSGPACK_DEFINE(atLeast, atMost)
};

/// Runs of a task, or of a gang, that ended since a worker crashed, and how probable they make it that the unit crashes
/// each worker it runs on. Nothing tells which unit on a crashed worker is to blame, or whether any is, so a crash
/// counts the less, the more there is that explains it as well.
struct CrashCount {
    std::uint32_t total = 0;
    std::uint32_t alone = 0; ///< While no task of another step ran there, nor another task unless both are of one gang.
    std::uint32_t lastRun = 0; ///< Latest run that is counted.
    bool wasLastAlone = false; ///< It is counted in `alone`.
    std::uint32_t unsettledRun = 0; ///< Latest run that is counted without a verdict yet; else 0.
    bool isToBlame = false; ///< By the latest verdict.
    double blame = Prior; ///< Probability that the unit crashes its workers, by the verdicts so far.
    double suspected = Prior; ///< The same with the crash that has no verdict yet, by what is known of it.
    /// One of the crashes that are counted, the latest last.
    struct OwnCrash {
        std::chrono::milliseconds at{0}; ///< Wall-clock time.
        double unexplained = 1; ///< Probability that no unit on the worker is to blame.
        MSGPACK_DEFINE(at, unexplained)
    };
    std::vector<OwnCrash> ownCrashes;
    TimeAtWork lastTimeAtWork; ///< In the latest run that is counted.

    /// Counts a crash at `at` during a run. Workers may crash together for a cause of their own, so those under one run
    /// of a gang are one crash, and those at one time. Returns whether this one is counted.
    bool record(std::uint32_t run,
                bool isAlone,
                const TimeAtWork &timeAtWork,
                std::chrono::milliseconds at,
                const CrashCauses &causes)
    {
        const bool isFirst =
            run > lastRun && (ownCrashes.empty() || std::chrono::abs(at - ownCrashes.back().at) > MinRestartTime);
        if (isFirst) {
            lastRun = run;
            lastTimeAtWork = timeAtWork;
            unsettledRun = run;
            wasLastAlone = false;
            ++total;
            suspected = afterCrash(suspected, causes);
            if (ownCrashes.size() == MaxOwnCrashes) {
                ownCrashes.erase(ownCrashes.begin());
            }
            ownCrashes.push_back({at});
        }
        if (isAlone && !wasLastAlone && run == lastRun) {
            wasLastAlone = true;
            ++alone;
        }
        return isFirst;
    }
    /// Records the verdict on a crash, once all crashes at about that time are known.
    void settle(std::uint32_t run, std::chrono::milliseconds at, double unexplained, const CrashCauses &causes)
    {
        for (OwnCrash &crash : ownCrashes) {
            crash.unexplained = crash.at == at ? unexplained : crash.unexplained;
        }
        blame = afterCrash(blame, causes);
        isToBlame = blame >= (total < ManyCrashes ? MinFinalBlame : MinIsolated);
        unsettledRun = run == unsettledRun ? 0 : unsettledRun;
        if (unsettledRun == 0) {
            suspected = blame;
        }
    }

    /// Returns how often the unit crashes its workers after this time at work, per second, if it does so. The first
    /// time, milliseconds are as probable as hours; later on, times of the same order.
    double crashRateAfter(const TimeAtWork &time) const
    {
        const bool isAsBefore = total > 0 && time.atLeast <= SimilarFactor * (lastTimeAtWork.atMost + Resolution)
            && lastTimeAtWork.atLeast <= SimilarFactor * (time.atMost + Resolution);
        const double rate = 1 / ((isAsBefore ? MagnitudesAsBefore : Magnitudes) * typicalSeconds(time));
        const std::chrono::duration<double> span = time.atMost - time.atLeast + Resolution;
        return std::min(rate, 1 / span.count());
    }

    /// Returns whether no further run is worth a worker. At least one crash must have no other unit to explain it.
    bool isFinal() const
    {
        return total >= MinFinalCrashes && alone > 0 && isToBlame;
    }
    /// Returns whether the next verdict may make the count final, so that no run should start before.
    bool isUndecided() const
    {
        return total >= MinFinalCrashes && unsettledRun != 0;
    }
    Suspicion suspicion() const
    {
        return suspected < MinSuspected            ? Suspicion::None
            : total < 2 || suspected < MinIsolated ? Suspicion::Low
                                                   : Suspicion::High;
    }

    MSGPACK_DEFINE(
        total, alone, lastRun, wasLastAlone, unsettledRun, isToBlame, blame, suspected, lastTimeAtWork, ownCrashes)

private:
    // The logarithmic mean of both bounds, by a good approximation: replicas have to compute the same, which they do
    // with basic operations and roots only.
    static double typicalSeconds(const TimeAtWork &time)
    {
        const double low = std::chrono::duration<double>(time.atLeast + Resolution).count();
        const double high = std::chrono::duration<double>(std::max(time.atMost, time.atLeast) + Resolution).count();
        return (2 * std::sqrt(low * high) + (low + high) / 2) / 3;
    }
    // Bayes' rule. That a unit has survived something is no reason to trust it more than any other, and certainty could
    // not be taken back.
    static double afterCrash(double before, const CrashCauses &causes)
    {
        const double toBlame = before * causes.unit;
        return std::clamp(toBlame / (toBlame + (1 - before) * causes.others), Prior, MaxBlame);
    }

    static constexpr std::uint32_t MinFinalCrashes = 3;
    // Each further crash costs a worker, so from this one on high suspicion is enough.
    static constexpr std::uint32_t ManyCrashes = 5;
    static constexpr std::size_t MaxOwnCrashes = 8;
    static constexpr std::chrono::milliseconds MinRestartTime{100}; ///< From one crash to the next of the next run.
    static constexpr std::chrono::milliseconds Resolution{20}; ///< Of times at work.
    static constexpr double Magnitudes = 18; ///< Natural logarithm of the span from milliseconds to a day.
    static constexpr int SimilarFactor = 4;
    static constexpr double MagnitudesAsBefore = 2.8; ///< The same of the span of similar times.
    static constexpr double Prior = 0.01; ///< Share of units that crash their workers, before any crash.
    static constexpr double MinSuspected = 0.02;
    static constexpr double MinIsolated = 0.15;
    static constexpr double MinFinalBlame = 0.8;
    static constexpr double MaxBlame = 0.999;
};

} // namespace yuccawheel::workflow
