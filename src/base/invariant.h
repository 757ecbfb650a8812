#pragma once

namespace yuccawheel::base
{

/// Reports a broken invariant with its place and ends the process. Never returns.
[[noreturn]] void invariantFailed(const char *condition, const char *file, int line, const char *message);

} // namespace yuccawheel::base

/// Checks an invariant of the product in every build. A broken promise is worse than a restart, so it ends the process.
#define YW_INVARIANT(condition, message)                                                                               \
    do {                                                                                                               \
        if (!(condition)) {                                                                                            \
            ::yuccawheel::base::invariantFailed(#condition, __FILE__, __LINE__, message);                              \
        }                                                                                                              \
    } while (false)
