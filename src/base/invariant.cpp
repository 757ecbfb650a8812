#include "base/invariant.h"

#include <fmt/core.h>

#include <cstdio>
#include <cstdlib>

namespace yuccawheel::base
{

// Writes directly to standard error: the log thread may not run again before the process aborts.
void invariantFailed(const char *condition, const char *file, int line, const char *message)
{
    fmt::print(stderr,
               "level=fatal event=invariant_failed condition=\"{}\" at={}:{} message=\"{}\"\n",
               condition,
               file,
               line,
               message);
    std::fflush(stderr);
    std::abort();
}

} // namespace yuccawheel::base
