#pragma once

namespace yuccawheel::bench
{

/// Measures how cost grows with workers, tasks, teams, zones, jobs and the rate of configuration changes.
int runScale(int argc, char **argv);

} // namespace yuccawheel::bench
