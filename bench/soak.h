#pragma once

namespace yuccawheel::bench
{

/// `yw-bench soak --daemon NAME=PID@IP:PORT`: reports CPU time, memory and control traffic of running daemons.
int runSoak(int argc, char **argv);

} // namespace yuccawheel::bench
