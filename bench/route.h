#pragma once

namespace yuccawheel::bench
{

/// `yw-bench route`: measures latency, drain and memory of the request path on loopback.
int runRoute(int argc, char **argv);

} // namespace yuccawheel::bench
