#include "base/log_record.h"

#include <algorithm>
#include <charconv>

namespace yuccawheel::base
{

namespace
{

constexpr std::size_t HexDigits = 2;
constexpr int HexBase = 16;

/// Reads keys and values from the front of a line.
class LineReader
{
public:
    explicit LineReader(std::string_view text) : text_(text)
    {
    }

    bool atEnd() const
    {
        return text_.empty();
    }
    std::optional<std::string> readKey()
    {
        const std::size_t end = text_.find('=');
        if (end == 0 || end == std::string_view::npos || text_.substr(0, end).find(' ') != std::string_view::npos) {
            return std::nullopt;
        }
        std::string key(text_.substr(0, end));
        text_.remove_prefix(end + 1);
        return key;
    }
    std::optional<std::string> readValue()
    {
        if (!text_.empty() && text_.front() == '"') {
            return readQuoted();
        }
        const std::size_t end = std::min(text_.find(' '), text_.size());
        std::string value(text_.substr(0, end));
        text_.remove_prefix(end);
        skipSpace();
        return value;
    }

private:
    void skipSpace()
    {
        if (!text_.empty() && text_.front() == ' ') {
            text_.remove_prefix(1);
        }
    }
    std::optional<std::string> readQuoted()
    {
        text_.remove_prefix(1);
        std::string value;
        while (!text_.empty()) {
            const char c = text_.front();
            text_.remove_prefix(1);
            if (c == '"') {
                skipSpace();
                return value;
            }
            if (c != '\\') {
                value += c;
            } else if (!readEscape(value)) {
                return std::nullopt;
            }
        }
        return std::nullopt;
    }
    bool readEscape(std::string &value)
    {
        if (text_.empty()) {
            return false;
        }
        const char c = text_.front();
        text_.remove_prefix(1);
        if (c != 'x') {
            value += c;
            return true;
        }
        unsigned code = 0;
        const std::string_view digits = text_.substr(0, HexDigits);
        const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), code, HexBase);
        if (digits.size() != HexDigits || result.ec != std::errc() || result.ptr != digits.data() + HexDigits) {
            return false;
        }
        text_.remove_prefix(HexDigits);
        value += static_cast<char>(code);
        return true;
    }

    std::string_view text_;
};

} // namespace

std::string_view LogRecord::field(std::string_view key) const
{
    const auto found =
        std::find_if(fields.begin(), fields.end(), [key](const auto &each) { return each.first == key; });
    return found == fields.end() ? std::string_view() : std::string_view(found->second);
}

std::optional<LogRecord> parseLogRecord(std::string_view line)
{
    LogRecord record;
    LineReader reader(line);
    while (!reader.atEnd()) {
        auto key = reader.readKey();
        auto value = key ? reader.readValue() : std::nullopt;
        if (!value) {
            return std::nullopt;
        }
        if (*key == "time") {
            record.time = std::move(*value);
        } else if (*key == "level") {
            record.level = std::move(*value);
        } else if (*key == "event") {
            record.event = std::move(*value);
        } else {
            record.fields.emplace_back(std::move(*key), std::move(*value));
        }
    }
    return record.time.empty() || record.event.empty() ? std::nullopt : std::optional<LogRecord>(std::move(record));
}

} // namespace yuccawheel::base
