#pragma once

#include <cstdint>
#include <string_view>

namespace yuccawheel::base
{

/// Whether the work of a request may have run. Decided by the component that knows; others pass it on.
enum class Verdict : std::uint8_t {
    NotRun, ///< The work of this attempt did not run and never will.
    MayHaveRun, ///< Part of the request was sent, but no complete answer arrived.
    Ran, ///< A complete answer arrived.
};

/// Returns the name of the verdict in headers, logs and messages.
constexpr std::string_view toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    case Verdict::Ran:
        return "ran";
    }
    return "may-have-run";
}

/// Combines the verdicts of two attempts at one request: NotRun only if neither attempt ran.
constexpr Verdict combine(Verdict first, Verdict second)
{
    return first > second ? first : second;
}

} // namespace yuccawheel::base
