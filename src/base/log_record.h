#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccawheel::base
{

/// A parsed log line.
struct LogRecord {
    std::string time; ///< Timestamp as written; sorts lexicographically.
    std::string level;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields; ///< All other fields, in the order of the line.

    /// Returns the value of a field, or an empty string if it is absent.
    std::string_view field(std::string_view key) const;
};

/// Parses a line in the format of `LogLine`. Returns nothing for any other text.
std::optional<LogRecord> parseLogRecord(std::string_view line);

} // namespace yuccawheel::base
