#pragma once

#include "replay_simulation.h"

namespace yuccawheel::bench
{

enum class BaselineRule : std::uint8_t {
    FifoFirstFit, ///< Jobs start in order of arrival, each on the first worker that fits; a job that doesn't fit blocks
                  ///< the rest.
    WorstFit, ///< Every job that fits starts, on the worker with the most free CPU.
};

/// Returns a reference scheduler without priorities, size estimation or preemption. It reserves the declared size.
std::unique_ptr<Scheduler> makeBaseline(BaselineRule rule);

} // namespace yuccawheel::bench
