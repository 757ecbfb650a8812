#pragma once

#include "base/verdict.h"
#include "settings/endpoint.h"

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
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
    /// A CallPool may send it once more on a new connection, if the server closes an idle one without an answer.
    bool mayBeRepeated = true;
};

/// What the user of a pool knows about the server at the other end of a connection; nothing on a new connection.
using ConnectionTag = std::optional<std::int64_t>;

/// When a call of a CallPool was sent and when it ended, from the time at which it was handed in.
struct CallTiming {
    std::optional<std::chrono::milliseconds> sentAfter; ///< Nothing if no part of the request was written.
    std::chrono::milliseconds endedAfter{0};
};

struct ClientResponse {
    int status = 0;
    std::vector<Header> headers;
    std::string body;
    ConnectionTag tagWhenSent; ///< Tag of the connection when the request was sent.
    /// Sets the tag of the pooled connection that carried the answer; null for an answer to `call`. Tags set before the
    /// callback with the answer returns hold for the next request on the connection.
    std::shared_ptr<ConnectionTag> connectionTag;
    CallTiming timing{};

    /// Returns the first value of a header, or an empty text. The name is not case-sensitive.
    std::string_view header(std::string_view name) const;
};

/// A call without a complete answer. `verdict` is NotRun only if no part of the request was written.
struct CallError {
    base::Verdict verdict = base::Verdict::MayHaveRun;
    std::string text;
    CallTiming timing{};
    bool timedOut = false; ///< Else the connection failed or ended, if the request was written.
};

/// Sends a request over a new connection and waits for the complete answer, for at most `timeout` in total.
tl::expected<ClientResponse, CallError>
call(const settings::Endpoint &server, const ClientRequest &request, std::chrono::milliseconds timeout);

} // namespace yuccawheel::http
