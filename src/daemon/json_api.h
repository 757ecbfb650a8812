#pragma once

#include "base/verdict.h"
#include "http/server.h"
#include "protocol/error.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace yuccawheel::daemon
{

http::Response jsonResponse(int status, const nlohmann::json &body);

/// Returns an error response with a stable code for programs and a message for humans.
http::Response errorResponse(int status,
                             std::string_view code,
                             std::string_view message,
                             base::Verdict verdict = base::Verdict::NotRun);

/// Maps an error of a request between processes to the HTTP response for the operator.
http::Response errorResponse(const protocol::RequestError &error);

} // namespace yuccawheel::daemon
