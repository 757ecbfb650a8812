#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace yuccawheel::settings
{

/// Parses a whole number with one of the units `ms`, `s`, `m`, `h` and `d`, for example `500ms`.
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);
/// Returns the duration as a whole number of the largest possible unit.
std::string formatDuration(std::chrono::milliseconds duration);

/// Parses a whole number with one of the units `MiB`, `GiB` and `TiB`. Returns MiB.
std::optional<std::int64_t> parseMemory(std::string_view text);
/// Returns an amount in MiB as a whole number of the largest possible unit.
std::string formatMemory(std::int64_t mib);

/// Parses cores with up to three decimals, for example `0.5`. Returns thousandths of a core.
std::optional<std::int64_t> parseCpu(std::string_view text);
/// Returns thousandths of a core as cores.
std::string formatCpu(std::int64_t milliCpu);

/// Parses a whole number, optionally negative.
std::optional<std::int64_t> parseInteger(std::string_view text);

} // namespace yuccawheel::settings
