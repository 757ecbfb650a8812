#pragma once

#include <cstdint>
#include <string_view>

namespace yuccawheel::base
{

/// Says whether the work behind a request may have run. It is decided where the fact is known.
enum class Verdict : std::uint8_t {
    NotRun, ///< The work did not run and never will for this attempt.
    MayHaveRun, ///< Some of the request left this process and no whole answer came back.
    Ran, ///< A whole answer came back.
};

/// Returns the verdict's name as it stands in headers, logs and messages.
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

/// Joins the verdicts of two attempts at one request: it did not run only if neither attempt did.
constexpr Verdict combine(Verdict first, Verdict second)
{
    return first > second ? first : second;
}

} // namespace yuccawheel::base
