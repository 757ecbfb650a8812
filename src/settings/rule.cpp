#include "settings/rule.h"

#include "settings/units.h"

#include <array>

namespace yuccawheel::settings
{

namespace
{

constexpr std::size_t LongestName = 63;
constexpr std::size_t LongestPath = 4'096;

bool isLetterOrDigit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool isName(std::string_view text)
{
    if (text.empty() || text.size() > LongestName || !isLetterOrDigit(text.front())) {
        return false;
    }
    for (const char c : text) {
        if (!isLetterOrDigit(c) && c != '-' && c != '_' && c != '.') {
            return false;
        }
    }
    return true;
}

template <typename Value, typename Parse>
auto within(Value lowest, Value highest, Parse parse)
{
    return [=](std::string_view text) -> std::optional<Value> {
        const std::optional<Value> value = parse(text);
        return value && *value >= lowest && *value <= highest ? value : std::nullopt;
    };
}

// Text goes on into JSON and logs, which hold UTF-8 only.
bool isUtf8(std::string_view text)
{
    constexpr std::array<std::uint32_t, 4> LowestOfLength{0x0, 0x80, 0x800, 0x10000};
    for (std::size_t i = 0; i < text.size();) {
        const auto lead = static_cast<unsigned char>(text[i]);
        const std::size_t more = lead < 0x80 ? 0 : (lead & 0xe0U) == 0xc0 ? 1 : (lead & 0xf0U) == 0xe0 ? 2 : 3;
        if ((more == 3 && (lead & 0xf8U) != 0xf0) || i + more >= text.size()) {
            return false;
        }
        std::uint32_t code = more == 0 ? lead : lead & (0x3fU >> more);
        for (std::size_t k = 1; k <= more; ++k) {
            const auto next = static_cast<unsigned char>(text[i + k]);
            if ((next & 0xc0U) != 0x80) {
                return false;
            }
            code = (code << 6U) | (next & 0x3fU);
        }
        const bool surrogate = code >= 0xd800 && code <= 0xdfff;
        if (code < LowestOfLength.at(more) || surrogate || code > 0x10ffff) {
            return false;
        }
        i += more + 1;
    }
    return true;
}

std::optional<std::string> boundedText(std::string_view text, std::size_t shortest, std::size_t longest)
{
    if (text.size() < shortest || text.size() > longest || !isUtf8(text)) {
        return std::nullopt;
    }
    return std::string(text);
}

} // namespace

Rule<std::int64_t> integerRule(std::int64_t lowest, std::int64_t highest)
{
    return {fmt::format("a whole number from {} to {}", lowest, highest), within(lowest, highest, parseInteger)};
}

Rule<bool> booleanRule()
{
    auto rule = choiceRule<bool>({{"true", true}, {"false", false}});
    rule.allowed = "true or false";
    rule.quotedAllowed = false;
    return rule;
}

Rule<std::chrono::milliseconds> durationRule(std::chrono::milliseconds lowest, std::chrono::milliseconds highest)
{
    return {fmt::format("a duration from {} to {} with a unit (ms, s, m, h, d)",
                        formatDuration(lowest),
                        formatDuration(highest)),
            within(lowest, highest, parseDuration),
            true};
}

Rule<std::int64_t> memoryRule(std::int64_t lowestMib, std::int64_t highestMib)
{
    return {fmt::format("an amount from {} to {} with a unit (MiB, GiB, TiB)",
                        formatMemory(lowestMib),
                        formatMemory(highestMib)),
            within(lowestMib, highestMib, parseMemory),
            true};
}

Rule<std::int64_t> cpuRule(std::int64_t lowestMilli, std::int64_t highestMilli)
{
    return {fmt::format("cores from {} to {}, up to three decimals", formatCpu(lowestMilli), formatCpu(highestMilli)),
            within(lowestMilli, highestMilli, parseCpu)};
}

Rule<std::string> nameRule()
{
    auto parse = [](std::string_view text) {
        return isName(text) ? std::optional(std::string(text)) : std::nullopt;
    };
    return {"a name of 1 to 63 letters, digits, '-', '_' or '.', the first a letter or digit", parse, true};
}

Rule<std::string> textRule(std::size_t longest)
{
    return {fmt::format("UTF-8 text of at most {} bytes", longest),
            [longest](std::string_view text) { return boundedText(text, 0, longest); },
            true};
}

Rule<std::string> pathRule()
{
    auto parse = [](std::string_view text) {
        return text.find('\0') == std::string_view::npos ? boundedText(text, 1, LongestPath) : std::nullopt;
    };
    return {"a path", parse, true};
}

Rule<Endpoint> endpointRule(bool portZeroAllowed)
{
    auto parse = [portZeroAllowed](std::string_view text) -> std::optional<Endpoint> {
        auto endpoint = parseEndpoint(text);
        return endpoint && (portZeroAllowed || endpoint->port != 0) ? endpoint : std::nullopt;
    };
    return {fmt::format("IP:PORT or [IPv6]:PORT by IP number, port {} to 65535", portZeroAllowed ? 0 : 1), parse, true};
}

} // namespace yuccawheel::settings
