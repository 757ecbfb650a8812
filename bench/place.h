#pragma once

namespace yuccawheel::bench
{

/// `yw-bench place`: measures the planner at a steady state. In each tick tasks end, jobs arrive and the planner
/// decides once.
int runPlace(int argc, char **argv);
/// `yw-bench bench`: prints one signature of the planner's decisions over three fixed cluster sizes.
int runSignature(int argc, char **argv);

} // namespace yuccawheel::bench
