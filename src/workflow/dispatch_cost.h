#pragma once

#include <cstdint>

namespace yuccawheel::workflow
{

/// Work done by dispatches and for reports, which must not grow with the product of workers and waiting steps or
/// reports.
struct DispatchCost {
    std::uint64_t dispatches = 0;
    std::uint64_t workersExamined = 0; ///< Checks of one worker for one step.
    std::uint64_t workersIndexed = 0; ///< Entries made in indexes of free capacity.
    std::uint64_t workersMatched = 0; ///< Comparisons of a report with a known incarnation.
};

} // namespace yuccawheel::workflow
