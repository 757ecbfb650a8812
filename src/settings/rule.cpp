#include "settings/rule.h"

#include "settings/units.h"

#include <array>

namespace yuccawheel::settings
{

namespace
{

constexpr std::size_t MaxNameBytes = 63;
constexpr std::size_t MaxPathBytes = 4'096;

bool isLetterOrDigit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool isName(std::string_view text)
{
    if (text.empty() || text.size() > MaxNameBytes || !isLetterOrDigit(text.front())) {
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
auto rangeParser(Value min, Value max, Parse parse)
{
    return [=](std::string_view text) -> std::optional<Value> {
        const std::optional<Value> value = parse(text);
        return value && *value >= min && *value <= max ? value : std::nullopt;
    };
}

// Text ends up in JSON and logs, which must be UTF-8.
bool isUtf8(std::string_view text)
{
    constexpr std::array<std::uint32_t, 4> MinCodePoints{0x0, 0x80, 0x800, 0x10000};
    for (std::size_t i = 0; i < text.size();) {
        const auto lead = static_cast<unsigned char>(text[i]);
        const std::size_t continuationBytes = lead < 0x80 ? 0
            : (lead & 0xe0U) == 0xc0                      ? 1
            : (lead & 0xf0U) == 0xe0                      ? 2
                                                          : 3;
        if ((continuationBytes == 3 && (lead & 0xf8U) != 0xf0) || i + continuationBytes >= text.size()) {
            return false;
        }
        std::uint32_t code = continuationBytes == 0 ? lead : lead & (0x3fU >> continuationBytes);
        for (std::size_t k = 1; k <= continuationBytes; ++k) {
            const auto next = static_cast<unsigned char>(text[i + k]);
            if ((next & 0xc0U) != 0x80) {
                return false;
            }
            code = (code << 6U) | (next & 0x3fU);
        }
        const bool surrogate = code >= 0xd800 && code <= 0xdfff;
        if (code < MinCodePoints.at(continuationBytes) || surrogate || code > 0x10ffff) {
            return false;
        }
        i += continuationBytes + 1;
    }
    return true;
}

std::optional<std::string> boundedText(std::string_view text, std::size_t minBytes, std::size_t maxBytes)
{
    if (text.size() < minBytes || text.size() > maxBytes || !isUtf8(text)) {
        return std::nullopt;
    }
    return std::string(text);
}

} // namespace

Rule<std::int64_t> integerRule(std::int64_t min, std::int64_t max)
{
    return {fmt::format("a whole number from {} to {}", min, max), rangeParser(min, max, parseInteger)};
}

Rule<bool> booleanRule()
{
    auto rule = choiceRule<bool>({{"true", true}, {"false", false}});
    rule.allowed = "true or false";
    rule.quotedAllowed = false;
    return rule;
}

Rule<std::chrono::milliseconds> durationRule(std::chrono::milliseconds min, std::chrono::milliseconds max)
{
    return {
        fmt::format("a duration from {} to {} with a unit (ms, s, m, h, d)", formatDuration(min), formatDuration(max)),
        rangeParser(min, max, parseDuration),
        true};
}

Rule<std::int64_t> memoryRule(std::int64_t minMib, std::int64_t maxMib)
{
    return {
        fmt::format("an amount from {} to {} with a unit (MiB, GiB, TiB)", formatMemory(minMib), formatMemory(maxMib)),
        rangeParser(minMib, maxMib, parseMemory),
        true};
}

Rule<std::int64_t> cpuRule(std::int64_t minMilli, std::int64_t maxMilli)
{
    return {fmt::format("cores from {} to {}, up to three decimals", formatCpu(minMilli), formatCpu(maxMilli)),
            rangeParser(minMilli, maxMilli, parseCpu)};
}

Rule<std::string> nameRule()
{
    auto parse = [](std::string_view text) {
        return isName(text) ? std::optional(std::string(text)) : std::nullopt;
    };
    return {"a name of 1 to 63 letters, digits, '-', '_' or '.', the first a letter or digit", parse, true};
}

Rule<std::string> textRule(std::size_t maxBytes)
{
    return {fmt::format("UTF-8 text of at most {} bytes", maxBytes),
            [maxBytes](std::string_view text) { return boundedText(text, 0, maxBytes); },
            true};
}

Rule<std::string> pathRule()
{
    auto parse = [](std::string_view text) {
        return text.find('\0') == std::string_view::npos ? boundedText(text, 1, MaxPathBytes) : std::nullopt;
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
