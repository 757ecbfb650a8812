#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace yuccawheel::settings
{

/// An IP address and a port. Host names are not supported.
struct Endpoint {
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const Endpoint &) const = default;
    bool isIpv6() const;
};

/// Parses an address such as `10.0.0.1:7400` or `[::1]:7400`. Returns nothing if it is malformed.
std::optional<Endpoint> parseEndpoint(std::string_view text);
std::string toString(const Endpoint &endpoint);

} // namespace yuccawheel::settings
