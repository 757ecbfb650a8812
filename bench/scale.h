#pragma once

namespace yuccawheel::bench
{

/// `yw-bench scale`: measures how CPU, memory and message sizes grow with workers, tasks, teams, zones and jobs.
int runScale(int argc, char **argv);

} // namespace yuccawheel::bench
