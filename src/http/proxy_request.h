#pragma once

#include "base/clock.h"
#include "routing/types.h"

#include <tl/expected.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace yuccawheel::http
{

/// The header lines of a caller's request that the proxy acts on. Absent ones are empty.
struct CallerHeaders {
    std::string_view repeatable;
    std::string_view key;
    std::string_view urgency;
    std::string_view timeout;
    std::string_view caller;
};

/// A caller's request as the proxy understands it. Views refer to the text that was parsed.
struct CallerRequest {
    std::string_view service;
    std::string_view rest; ///< Target for the upstream, with the leading slash.
    std::string_view caller; ///< Empty if the request names none.
    std::string_view key; ///< Empty if the request is repeatable.
    bool repeatable = false;
    routing::Urgency urgency = routing::Urgency::Normal;
    std::chrono::milliseconds timeout{0};
};

struct CallerRequestError {
    unsigned status = 400; ///< HTTP status.
    std::string_view message;
};

struct CallerTimeouts {
    std::chrono::milliseconds defaultTimeout{10'000};
    std::chrono::milliseconds maxTimeout{60'000};
};

/// Checks and parses what the proxy acts on. `safeMethod` says that the method is GET or HEAD.
tl::expected<CallerRequest, CallerRequestError> parseCallerRequest(std::string_view target,
                                                                   bool safeMethod,
                                                                   const CallerHeaders &headers,
                                                                   const CallerTimeouts &timeouts);

} // namespace yuccawheel::http
