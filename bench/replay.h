#pragma once

namespace yuccawheel::bench
{

/// `yw-bench replay`: replays traces and checks the expectations in them. Returns 1 if one isn't met.
int runReplay(int argc, char **argv);

} // namespace yuccawheel::bench
