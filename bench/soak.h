#pragma once

namespace yuccawheel::bench
{

/// Reports processor time, memory and control traffic of running daemons: `yw-bench soak --daemon NAME=PID@IP:PORT`.
int runSoak(int argc, char **argv);

} // namespace yuccawheel::bench
