#pragma once

#include "base/verdict.h"
#include "http/server.h"
#include "protocol/error.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace yuccawheel::daemon
{

http::Response jsonResponse(int status, const nlohmann::json &body);

/// Error body with a stable code for programs and a message for people.
http::Response errorResponse(int status,
                             std::string_view code,
                             std::string_view message,
                             base::Verdict verdict = base::Verdict::NotRun);

/// Turns a failure between processes into the answer for the operator.
http::Response errorResponse(const protocol::RequestError &error);

} // namespace yuccawheel::daemon
