#include "settings/units.h"

#include <fmt/core.h>

#include <array>
#include <charconv>
#include <limits>

namespace yuccawheel::settings
{

namespace
{

struct Unit {
    std::string_view name;
    std::int64_t factor;
};

// In ascending order; each unit is a multiple of the previous one.
constexpr std::array DurationUnits{
    Unit{"ms", 1}, Unit{"s", 1'000}, Unit{"m", 60'000}, Unit{"h", 3'600'000}, Unit{"d", 86'400'000}};
constexpr std::array MemoryUnits{Unit{"MiB", 1}, Unit{"GiB", 1'024}, Unit{"TiB", 1'048'576}};

constexpr std::int64_t MilliPerCore = 1'000;
constexpr std::size_t CpuDecimals = 3;

template <typename Units>
std::optional<std::int64_t> parseWithUnit(std::string_view text, const Units &units)
{
    const auto digits = text.find_first_not_of("0123456789");
    if (digits == 0 || digits == std::string_view::npos) {
        return std::nullopt;
    }
    const auto number = parseInteger(text.substr(0, digits));
    for (const Unit &unit : units) {
        if (number && unit.name == text.substr(digits)) {
            if (*number > std::numeric_limits<std::int64_t>::max() / unit.factor) {
                return std::nullopt;
            }
            return *number * unit.factor;
        }
    }
    return std::nullopt;
}

template <typename Units>
std::string formatWithUnit(std::int64_t amount, const Units &units)
{
    const Unit *best = &units.front();
    for (const Unit &unit : units) {
        if (amount != 0 && amount % unit.factor == 0) {
            best = &unit;
        }
    }
    return fmt::format("{}{}", amount / best->factor, best->name);
}

} // namespace

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t value = 0;
    const char *const end = text.data() + text.size();
    const auto [next, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || next != end) {
        return std::nullopt;
    }
    return value;
}

std::optional<std::chrono::milliseconds> parseDuration(std::string_view text)
{
    const auto millis = parseWithUnit(text, DurationUnits);
    return millis ? std::optional(std::chrono::milliseconds(*millis)) : std::nullopt;
}

std::string formatDuration(std::chrono::milliseconds duration)
{
    return formatWithUnit(duration.count(), DurationUnits);
}

std::optional<std::int64_t> parseMemory(std::string_view text)
{
    return parseWithUnit(text, MemoryUnits);
}

std::string formatMemory(std::int64_t mib)
{
    return formatWithUnit(mib, MemoryUnits);
}

std::optional<std::int64_t> parseCpu(std::string_view text)
{
    const auto point = text.find('.');
    const std::string_view whole = text.substr(0, point);
    std::string decimals(point == std::string_view::npos ? "" : text.substr(point + 1));
    const bool pointWithoutDecimals = point != std::string_view::npos && decimals.empty();
    const bool onlyDigits = (std::string(whole) + decimals).find_first_not_of("0123456789") == std::string::npos;
    if (whole.empty() || pointWithoutDecimals || !onlyDigits || decimals.size() > CpuDecimals) {
        return std::nullopt;
    }
    decimals.resize(CpuDecimals, '0');
    const auto cores = parseInteger(whole);
    const auto milli = parseInteger(decimals);
    if (!cores || !milli || *cores > std::numeric_limits<std::int64_t>::max() / MilliPerCore - 1) {
        return std::nullopt;
    }
    return *cores * MilliPerCore + *milli;
}

std::string formatCpu(std::int64_t milliCpu)
{
    std::string text = fmt::format("{}.{:03}", milliCpu / MilliPerCore, milliCpu % MilliPerCore);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') {
        text.pop_back();
    }
    return text;
}

} // namespace yuccawheel::settings
