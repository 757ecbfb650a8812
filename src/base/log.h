#pragma once

#include "base/duty_time.h"

#include <fmt/core.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace yuccawheel::base
{

enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/// A structured log line: `time=… level=… event=… key=value …`. Values with spaces or quotes are quoted.
/// The destructor passes the line to the log thread.
class LogLine
{
public:
    LogLine(LogLevel level, std::string_view event);
    ~LogLine();
    LogLine(const LogLine &) = delete;
    LogLine &operator=(const LogLine &) = delete;

    /// Adds a text value, quoted and escaped where needed.
    LogLine &with(std::string_view key, std::string_view value);
    /// Adds a value of any type that fmt can print.
    template <typename Value>
    requires(!std::is_convertible_v<Value, std::string_view>) LogLine &with(std::string_view key, const Value &value)
    {
        return with(key, std::string_view(fmt::format("{}", value)));
    }

private:
    DutyScope duty_{Duty::LogLines};
    bool enabled_;
    std::string text_;
};

/// Starts a log line of an event, for example `logInfo("task_placed").with("task", id);`.
inline LogLine logDebug(std::string_view event)
{
    return LogLine(LogLevel::Debug, event);
}
inline LogLine logInfo(std::string_view event)
{
    return LogLine(LogLevel::Info, event);
}
inline LogLine logWarning(std::string_view event)
{
    return LogLine(LogLevel::Warning, event);
}
inline LogLine logError(std::string_view event)
{
    return LogLine(LogLevel::Error, event);
}

/// Runs the thread that writes log lines to standard output. Without a LogWriter, lines are written synchronously.
/// Lines that do not fit into the queue are dropped and counted; a log line of its own reports them.
class LogWriter
{
public:
    explicit LogWriter(LogLevel level);
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /// Returns the number of lines dropped since the process started.
    static std::uint64_t dropped();

private:
    struct Impl;
    Impl *impl_;
};

} // namespace yuccawheel::base
