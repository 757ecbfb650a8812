#pragma once

#include "workflow/crash_count.h"
#include "workflow/log_entry.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace yuccawheel::workflow
{

/// Crashes of workers in the last minute. The more of them crash, the more probable is a cause of their own, and the
/// less the tasks that were there are to blame. Part of the replicated state.
class RecentCrashes
{
public:
    struct Crash {
        WallTime at{0}; ///< When it was noticed.
        std::vector<RunRef> units; ///< Tasks that were there; the first member stands for a gang.
        bool isSettled = false;
        /// Of each unit: the workers that its run was on, or zero if another crash is counted for that run.
        std::vector<std::uint32_t> workers;
        std::vector<double> crashRates; ///< Of each unit, by CrashCount::crashRateAfter().
        double unexplained = 1; ///< Probability that no unit on the worker is to blame.
        MSGPACK_DEFINE(at, units, isSettled, workers, crashRates, unexplained)
    };
    struct Suspect {
        RunRef unit;
        std::uint32_t workers = 1; ///< That its run was on.
        bool isCounted = true; ///< The crash is the one that is counted for its run.
        double crashRate = 0; ///< By CrashCount::crashRateAfter().
        double otherCrashes = 0; ///< Crashes per second of a worker, by what other workers did at about that time.
    };
    using Suspects = std::vector<Suspect>;

    void add(Crash crash)
    {
        crashes_.push_back(std::move(crash));
    }
    /// Returns whether settle() has something to decide on at `now`.
    bool isDue(WallTime now) const;
    /// Calls `decide(Crash &, const Suspects &)` for each crash when all others at about that time should be known.
    /// `workers` is the number of all workers.
    template <typename Decide>
    void settle(WallTime now, std::size_t workers, Decide decide)
    {
        if (!isDue(now)) {
            return;
        }
        for (Crash &crash : crashes_) {
            if (isDue(crash, now)) {
                crash.isSettled = true;
                decide(crash, suspectsOf(crash, workers));
            }
        }
        forgetOld(now);
    }
    /// Returns the suspects of a crash by what is known already.
    Suspects suspectsOf(const Crash &crash, std::size_t workers) const;

    MSGPACK_DEFINE(crashes_)

private:
    static bool isDue(const Crash &crash, WallTime now);
    void forgetOld(WallTime now);

    std::vector<Crash> crashes_;
};

} // namespace yuccawheel::workflow
