#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace yuccawheel::settings
{

/// An IP number and a port. Host names are never resolved.
struct Endpoint {
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const Endpoint &) const = default;
    bool isIpv6() const;
};

/// Parses `10.0.0.1:7400` or `[::1]:7400`; nothing if it is malformed.
std::optional<Endpoint> parseEndpoint(std::string_view text);
std::string toString(const Endpoint &endpoint);

} // namespace yuccawheel::settings
