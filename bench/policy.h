#pragma once

namespace yuccawheel::bench
{

/// `yw-bench policy`: compares waiting time and packing of the planner's objectives with baseline schedulers, on a
/// trace or on generated workloads.
int runPolicy(int argc, char **argv);

} // namespace yuccawheel::bench
