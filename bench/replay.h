#pragma once

namespace yuccawheel::bench
{

/// Replays traces and compares the run with the outcomes that they state.
int runReplay(int argc, char **argv);

} // namespace yuccawheel::bench
