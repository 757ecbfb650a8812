#pragma once

#include "replay_platform.h"

namespace yuccawheel::bench
{

enum class BaselineRule : std::uint8_t {
    FifoFirstFit, ///< The oldest job blocks all others; the first worker with room is taken.
    WorstFit, ///< Any job that fits starts, on the worker with the most room.
};

/// A scheduler without priorities, learning or preemption, to compare with. It reserves what was declared.
std::unique_ptr<Scheduler> makeBaseline(BaselineRule rule);

} // namespace yuccawheel::bench
