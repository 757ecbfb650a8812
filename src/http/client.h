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

/// One request over a connection of its own.
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
    bool onNewConnection = false; ///< No earlier answer came over the connection.

    /// Returns the first value of a header, compared without regard to case; empty if there is none.
    std::string_view header(std::string_view name) const;
};

/// A call without a whole answer. `verdict` is NotRun only if nothing of the request was written.
struct CallError {
    base::Verdict verdict = base::Verdict::MayHaveRun;
    std::string text;
};

/// Sends a request and waits for the whole answer, for at most `timeout` in all.
tl::expected<ClientResponse, CallError>
call(const settings::Endpoint &server, const ClientRequest &request, std::chrono::milliseconds timeout);

} // namespace yuccawheel::http
