#pragma once

#include "protocol/codec.h"

#include <cstdint>

namespace yuccawheel::workflow
{

/// How a task that may crash its workers is kept apart from others.
enum class Suspicion : std::uint8_t {
    None,
    Low, ///< A worker has crashed: goes where a crash costs least, beside no other suspect if possible.
    High, ///< Runs alone, so that the next crash shows whether it is to blame.
};

/// Runs of a task, or of a gang, that ended since a worker crashed. Nothing tells which of the tasks on a crashed
/// worker is to blame, so each of them counts the crash until it has run to its end.
struct CrashCount {
    std::uint32_t total = 0;
    std::uint32_t alone = 0; ///< While no task of another step ran there, nor another task unless both are of one gang.
    std::uint32_t lastRun = 0; ///< Latest run that is counted.
    bool wasLastAlone = false; ///< It is counted in `alone`.

    /// Counts a crash during a run. Workers may crash together for a cause of their own, so those under one run of a
    /// gang are one crash.
    void record(std::uint32_t run, bool isAlone)
    {
        if (run > lastRun) {
            lastRun = run;
            wasLastAlone = false;
            ++total;
        }
        if (isAlone && !wasLastAlone && run == lastRun) {
            wasLastAlone = true;
            ++alone;
        }
    }

    /// Returns whether no further run is worth a worker. At least one crash must have no other explanation.
    bool isFinal() const
    {
        constexpr std::uint32_t MaxCrashes = 3;
        return total >= MaxCrashes && alone > 0;
    }
    Suspicion suspicion() const
    {
        return total == 0 ? Suspicion::None : total == 1 ? Suspicion::Low : Suspicion::High;
    }
    MSGPACK_DEFINE(total, alone, lastRun, wasLastAlone)
};

} // namespace yuccawheel::workflow
