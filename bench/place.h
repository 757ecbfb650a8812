#pragma once

namespace yuccawheel::bench
{

/// Measures the planner at a steady state: tasks end and jobs arrive, each tick is one decision.
int runPlace(int argc, char **argv);
/// Prints one signature of the decisions over a fixed mix of sizes.
int runSignature(int argc, char **argv);

} // namespace yuccawheel::bench
