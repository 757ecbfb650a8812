#pragma once

namespace yuccawheel::programs::yuccactl
{

/// Exit codes of `yuccactl`, for scripts.
enum class ExitCode : int {
    Ok = 0,
    Failed = 1, ///< The cluster answered with a failure, for example that the job does not exist.
    Usage = 2, ///< Wrong command line, settings, token file or document. Nothing was changed.
    Conflict = 3, ///< Another change was accepted first; this one was not applied.
    NotRun = 4, ///< No entry accepted the request; it did not run.
    MayHaveRun = 5, ///< The request was sent, but not answered. Running the same command again is safe.
    Refused = 6, ///< The token was refused.
};

} // namespace yuccawheel::programs::yuccactl
