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

/// Workers that crashed while a task, or a member of a gang, was running there. Nothing tells which of the tasks on a
/// crashed worker is to blame, so each of them counts the crash until it has run to its end.
struct CrashCount {
    std::uint32_t total = 0;
    std::uint32_t alone = 0; ///< While no task of another step ran there, nor another task unless both are of one gang.

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
    MSGPACK_DEFINE(total, alone)
};

} // namespace yuccawheel::workflow
