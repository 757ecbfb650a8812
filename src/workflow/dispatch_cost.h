#pragma once

#include <cstdint>

namespace yuccawheel::workflow
{

/// Work done by dispatches, which grows with the number of workers and of waiting steps.
struct DispatchCost {
    std::uint64_t dispatches = 0;
    std::uint64_t workersExamined = 0; ///< Checks of one worker, for one step or for the index of free capacity.
};

} // namespace yuccawheel::workflow
