#pragma once

namespace yuccawheel::bench
{

/// Measures waiting time and packing of the policies beside baselines, on a trace or on made loads.
int runPolicy(int argc, char **argv);

} // namespace yuccawheel::bench
