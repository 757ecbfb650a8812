#pragma once

namespace yuccawheel::bench
{

/// `yw-bench state`: the replicated log on real files, and its elections in virtual time.
int runState(int argc, char **argv);

} // namespace yuccawheel::bench
