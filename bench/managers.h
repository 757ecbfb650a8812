#pragma once

namespace yuccawheel::bench
{

/// `yw-bench managers`: searches for broken guarantees of whole managers in virtual time.
int runManagers(int argc, char **argv);

} // namespace yuccawheel::bench
