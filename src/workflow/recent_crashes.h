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
        std::vector<RunRef> units; ///< Until it is settled: tasks that were there; the first member stands for a gang.
        bool isSettled = false;
        /// Of each unit: the workers that its run was on, or zero if another crash is counted for that run.
        std::vector<std::uint32_t> workers;
        std::vector<double> crashRates; ///< Of each unit, by CrashCount::crashRateAfter().
        double unexplained = 1; ///< Probability that no unit on the worker is to blame.
        MSGPACK_DEFINE(at, units, isSettled, workers, crashRates, unexplained)
    };
    /// Crashes near a point in time.
    class Near
    {
    public:
        /// Returns how often a worker crashes for a cause of its own, per second, by the crashes other than the unit's
        /// own. `workers` is the number of all workers.
        double rateWithout(const std::vector<CrashCount::OwnCrash> &own, std::size_t workers) const;

    private:
        friend class RecentCrashes;

        WallTime at_{0};
        std::vector<double> sums_; ///< Of each span: how many crashes no unit explains.
    };

    void add(Crash crash)
    {
        crashes_.push_back(std::move(crash));
    }
    /// Returns whether settle() has something to decide on at `now`.
    bool isDue(WallTime now) const;
    /// Calls `decide(Crash &)` for each crash when all others at about that time should be known.
    template <typename Decide>
    void settle(WallTime now, Decide decide)
    {
        if (!isDue(now)) {
            return;
        }
        for (Crash &crash : crashes_) {
            if (isDue(crash, now)) {
                crash.isSettled = true;
                decide(crash);
                crash.units.clear();
                crash.workers.clear();
                crash.crashRates.clear();
            }
        }
        forgetOld(now);
    }
    /// Returns the other crashes near this one that have been added.
    Near near(const Crash &crash) const;

    MSGPACK_DEFINE(crashes_)

private:
    static bool isDue(const Crash &crash, WallTime now);
    void forgetOld(WallTime now);

    std::vector<Crash> crashes_;
};

} // namespace yuccawheel::workflow
