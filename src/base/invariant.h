#pragma once

namespace yuccawheel::base
{

/// Prints a broken invariant with its source location and aborts the process.
[[noreturn]] void invariantFailed(const char *condition, const char *file, int line, const char *message);

} // namespace yuccawheel::base

/// Checks an invariant in every build. Aborts the process on failure: a restart is safer than running on broken state.
#define YW_INVARIANT(condition, message)                                                                               \
    do {                                                                                                               \
        if (!(condition)) {                                                                                            \
            ::yuccawheel::base::invariantFailed(#condition, __FILE__, __LINE__, message);                              \
        }                                                                                                              \
    } while (false)
