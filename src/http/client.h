#pragma once

#include "base/verdict.h"
#include "settings/endpoint.h"

#include <tl/expected.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace yuccawheel::http
{

struct Header {
    std::string name;
    std::string value;
};

/// A request to be sent by `call` or by a CallPool.
struct ClientRequest {
    std::string method;
    std::string target;
    std::vector<Header> headers;
    std::string body;
};

struct ClientResponse {
    int status = 0;
    std::vector<Header> headers;
    std::string body;
    bool onNewConnection = false; ///< Whether this is the first answer over its connection.

    /// Returns the first value of a header, or an empty text. The name is not case-sensitive.
    std::string_view header(std::string_view name) const;
};

/// A call without a complete answer. `verdict` is NotRun only if no part of the request was written.
struct CallError {
    base::Verdict verdict = base::Verdict::MayHaveRun;
    std::string text;
};

/// Sends a request over a new connection and waits for the complete answer, for at most `timeout` in total.
tl::expected<ClientResponse, CallError>
call(const settings::Endpoint &server, const ClientRequest &request, std::chrono::milliseconds timeout);

} // namespace yuccawheel::http
