#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace yuccawheel::fakes
{

/// An HTTP response as a caller sees it.
struct ClientAnswer {
    unsigned status = 0; ///< 0 if the connection failed or ended before a complete response.
    std::string verdict; ///< Value of the Yw-Verdict header.
    std::string retryAfter;
    std::string body;
};

using ClientFields = std::map<std::string, std::string>;

/// Sends one request to 127.0.0.1 on a new connection and waits for the response.
ClientAnswer sendRequest(std::uint16_t port,
                         const std::string &method,
                         const std::string &target,
                         const ClientFields &fields = {},
                         const std::string &body = {});

/// Sends `text` unchanged and returns everything received until the peer closes the connection. With `halfClose`, the
/// sending side is shut down after `text`.
std::string sendRaw(std::uint16_t port, const std::string &text, bool halfClose = false);

} // namespace yuccawheel::fakes
