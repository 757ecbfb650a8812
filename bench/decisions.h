#pragma once

namespace yuccawheel::bench
{

/// `yw-bench decisions`: measures what the decisions of the leader cost at several sizes.
int runDecisions(int argc, char **argv);

} // namespace yuccawheel::bench
