#pragma once

namespace yuccawheel::programs::yuccactl
{

/// Exit codes of `yuccactl`, for scripts.
enum class ExitCode : int {
    Ok = 0,
    Failed = 1, ///< The cluster answered that it failed, or that there is no such thing.
    Usage = 2, ///< Wrong command line, settings or document. Nothing was sent.
    Conflict = 3, ///< Another change came first. This one was not made.
    NotRun = 4, ///< No entry could take the request. It did not run.
    MayHaveRun = 5, ///< The request was sent, but no answer came. Running the same command again is safe.
    Refused = 6, ///< The token was refused.
};

} // namespace yuccawheel::programs::yuccactl
