#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccawheel::base
{

/// A log line that was read back.
struct LogRecord {
    std::string time; ///< As it is written: sorts as text.
    std::string level;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields; ///< All others, in their order.

    /// Returns the value of a field, or an empty text.
    std::string_view field(std::string_view key) const;
};

/// Reads one line as `LogLine` writes it. Returns nothing for any other text.
std::optional<LogRecord> parseLogRecord(std::string_view line);

} // namespace yuccawheel::base
