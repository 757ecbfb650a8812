#include "routing/announcement.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace yuccawheel::routing
{

namespace
{

constexpr std::size_t MaxNameLength = 64;
constexpr std::size_t MaxServices = 64;
constexpr std::size_t MaxBodyLength = std::size_t{16} * 1024;
constexpr std::uint32_t MaxSlots = 4096;
constexpr unsigned MaxPort = 65535;

using Json = nlohmann::json;
using Error = tl::unexpected<AnnouncementError>;

Error error(std::string message)
{
    return Error(AnnouncementError{std::move(message)});
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= MaxNameLength && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
            || c == '.';
    });
}

template <typename Number>
std::optional<Number> readNumber(const Json &object, const char *key, std::uint64_t min, std::uint64_t max)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    const auto value = found->get<std::uint64_t>();
    if (value < min || value > max) {
        return std::nullopt;
    }
    return static_cast<Number>(value);
}

std::string readString(const Json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

// Returns whether the whole text is a decimal number of at most `max`.
bool isDecimalUpTo(std::string_view digits, unsigned max)
{
    unsigned value = 0;
    const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    return status == std::errc() && end == digits.data() + digits.size() && value <= max;
}

bool isAddress(std::string_view address)
{
    constexpr unsigned MaxOctet = 255;
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos || !isDecimalUpTo(address.substr(colon + 1), MaxPort)
        || address.substr(colon + 1) == "0") {
        return false;
    }
    std::string_view host = address.substr(0, colon);
    for (int octet = 0; octet < 3; ++octet) {
        const auto dot = host.find('.');
        if (dot == std::string_view::npos || !isDecimalUpTo(host.substr(0, dot), MaxOctet)) {
            return false;
        }
        host.remove_prefix(dot + 1);
    }
    return isDecimalUpTo(host, MaxOctet);
}

tl::expected<std::vector<std::string>, AnnouncementError> readServices(const Json &object)
{
    const auto found = object.find("services");
    if (found == object.end() || !found->is_array() || found->size() > MaxServices) {
        return error("services: must be an array of at most 64 names");
    }
    std::vector<std::string> names;
    for (const Json &service : *found) {
        if (!service.is_string() || !isName(service.get_ref<const std::string &>())) {
            return error("services: a name must consist of 1 to 64 letters, digits, '-', '_' or '.'");
        }
        names.push_back(service.get<std::string>());
    }
    return names;
}

tl::expected<UpstreamState, AnnouncementError> readState(const Json &object)
{
    const std::string name = readString(object, "state");
    if (name == "serving") {
        return UpstreamState::Serving;
    }
    if (name == "leaving") {
        return UpstreamState::Leaving;
    }
    return error("state: must be serving or leaving");
}

} // namespace

tl::expected<UpstreamAnnouncement, AnnouncementError> parseAnnouncement(std::string_view json)
{
    if (json.size() > MaxBodyLength) {
        return error("the body exceeds 16 KiB");
    }
    const Json object = Json::parse(json, nullptr, false);
    if (!object.is_object()) {
        return error("the body is not a JSON object");
    }
    const auto incarnation = readNumber<std::uint64_t>(object, "incarnation", 0, UINT64_MAX);
    const auto slots = readNumber<std::uint32_t>(object, "slots", 1, MaxSlots);
    const auto connections = readNumber<std::uint32_t>(object, "connections", 1, UINT32_MAX);
    auto names = readServices(object);
    const auto status = readState(object);
    UpstreamAnnouncement announcement;
    announcement.executor = readString(object, "executor");
    announcement.address = readString(object, "address");
    if (!isName(announcement.executor)) {
        return error("executor: a name must consist of 1 to 64 letters, digits, '-', '_' or '.'");
    }
    if (!isAddress(announcement.address)) {
        return error("address: must have the form IP:PORT");
    }
    if (!incarnation || !slots || !connections) {
        return error("incarnation, slots and connections: must be whole numbers within their range");
    }
    if (!names || !status) {
        return tl::unexpected(names ? status.error() : names.error());
    }
    announcement.incarnation = *incarnation;
    announcement.slots = *slots;
    announcement.connections = *connections;
    announcement.services = std::move(*names);
    announcement.state = *status;
    announcement.running = readNumber<std::uint32_t>(object, "running", 0, UINT32_MAX);
    return announcement;
}

std::string formatAnnouncement(const UpstreamAnnouncement &announcement)
{
    Json object{{"executor", announcement.executor},
                {"incarnation", announcement.incarnation},
                {"address", announcement.address},
                {"slots", announcement.slots},
                {"connections", announcement.connections},
                {"services", announcement.services},
                {"state", announcement.state == UpstreamState::Serving ? "serving" : "leaving"}};
    if (announcement.running) {
        object["running"] = *announcement.running;
    }
    return object.dump();
}

} // namespace yuccawheel::routing
