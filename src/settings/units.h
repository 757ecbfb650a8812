#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace yuccawheel::settings
{

/// Parses a whole number with a unit of `ms`, `s`, `m`, `h` or `d`, for example `500ms`.
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);
/// Returns the duration in the largest unit that keeps it whole.
std::string formatDuration(std::chrono::milliseconds duration);

/// Parses a whole number with a unit of `MiB`, `GiB` or `TiB`. Returns MiB.
std::optional<std::int64_t> parseMemory(std::string_view text);
/// Returns an amount given in MiB in the largest unit that keeps it whole.
std::string formatMemory(std::int64_t mib);

/// Parses cores with up to three decimals, for example `0.5`. Returns thousandths of a core.
std::optional<std::int64_t> parseCpu(std::string_view text);
/// Returns thousandths of a core as cores.
std::string formatCpu(std::int64_t milliCpu);

/// Parses a whole number, optionally negative.
std::optional<std::int64_t> parseInteger(std::string_view text);

} // namespace yuccawheel::settings
