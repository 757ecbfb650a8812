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

/// Headers of a caller's request that the proxy evaluates. Missing headers are empty.
struct CallerHeaders {
    std::string_view repeatable;
    std::string_view key;
    std::string_view urgency;
    std::string_view timeout;
    std::string_view caller;
};

/// Parsed target and headers of a caller's request. The views refer to the parsed text.
struct CallerRequest {
    std::string_view service;
    std::string_view rest; ///< Target for the upstream, with the leading slash.
    std::string_view caller; ///< Empty if the request has no Yw-Caller header.
    std::string_view key; ///< Empty if the request is repeatable.
    bool repeatable = false;
    routing::Urgency urgency = routing::Urgency::Normal;
    std::chrono::milliseconds timeout{0};
};

struct CallerRequestError {
    unsigned status = 400; ///< HTTP status.
    std::string_view message;
};

/// Time for a request, set by the Yw-Timeout-Ms header.
struct CallerTimeouts {
    std::chrono::milliseconds defaultTimeout{10'000};
    std::chrono::milliseconds maxTimeout{60'000};
};

/// Parses and validates a request's target and headers. `safeMethod` tells whether the method is GET or HEAD.
tl::expected<CallerRequest, CallerRequestError> parseCallerRequest(std::string_view target,
                                                                   bool safeMethod,
                                                                   const CallerHeaders &headers,
                                                                   const CallerTimeouts &timeouts);

} // namespace yuccawheel::http
