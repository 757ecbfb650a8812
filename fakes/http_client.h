#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace yuccawheel::fakes
{

/// An answer as a caller sees it.
struct ClientAnswer {
    unsigned status = 0; ///< Zero if the connection ended before a whole answer.
    std::string verdict; ///< Yw-Verdict.
    std::string retryAfter;
    std::string body;
};

using ClientFields = std::map<std::string, std::string>;

/// Sends one request on a connection of its own and waits for the answer.
ClientAnswer sendRequest(std::uint16_t port,
                         const std::string &method,
                         const std::string &target,
                         const ClientFields &fields = {},
                         const std::string &body = {});

/// Sends text as it is, waits until the other side closes, and returns all that it sent.
std::string sendRaw(std::uint16_t port, const std::string &text, bool halfClose = false);

} // namespace yuccawheel::fakes
