#include "settings/endpoint.h"

#include <fmt/core.h>

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace yuccawheel::settings
{

namespace
{

bool isAddress(int family, const std::string &text)
{
    std::array<unsigned char, sizeof(in6_addr)> address{};
    return inet_pton(family, text.c_str(), address.data()) == 1;
}

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    const char *const end = text.data() + text.size();
    const auto [next, error] = std::from_chars(text.data(), end, port);
    if (error != std::errc() || next != end) {
        return std::nullopt;
    }
    return port;
}

} // namespace

bool Endpoint::isIpv6() const
{
    return ip.find(':') != std::string::npos;
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    const auto port = parsePort(text.substr(colon + 1));
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    std::string ip(host);
    // inet_pton takes a C string and would ignore everything after an embedded zero byte.
    if (!port || ip.find('\0') != std::string::npos || !isAddress(bracketed ? AF_INET6 : AF_INET, ip)) {
        return std::nullopt;
    }
    return Endpoint{std::move(ip), *port};
}

std::string toString(const Endpoint &endpoint)
{
    return endpoint.isIpv6() ? fmt::format("[{}]:{}", endpoint.ip, endpoint.port)
                             : fmt::format("{}:{}", endpoint.ip, endpoint.port);
}

} // namespace yuccawheel::settings
