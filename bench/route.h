#pragma once

namespace yuccawheel::bench
{

/// `yw-bench route`: measures the request path on loopback.
int runRoute(int argc, char **argv);

} // namespace yuccawheel::bench
