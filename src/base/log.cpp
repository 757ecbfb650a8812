#include "base/log.h"

#include "base/bounded_ring.h"

#include <fmt/chrono.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <thread>

namespace yuccawheel::base
{

namespace
{

constexpr std::size_t LogRingLines = 8192;
constexpr std::chrono::milliseconds WriterWait{200};

std::atomic<LogLevel> lowestLevel{LogLevel::Warning};
std::atomic<BoundedRing<std::string> *> activeRing{nullptr};
std::atomic<std::uint64_t> droppedLines{0};

constexpr std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

bool needsQuotes(std::string_view value)
{
    if (value.empty()) {
        return true;
    }
    for (const char c : value) {
        if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f) {
            return true;
        }
    }
    return false;
}

// Control characters are escaped so that untrusted text cannot forge a second log line.
void appendQuoted(std::string &text, std::string_view value)
{
    text += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
            text += c;
        } else if (static_cast<unsigned char>(c) < ' ' || c == 0x7f) {
            text += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
        } else {
            text += c;
        }
    }
    text += '"';
}

std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()) % 1000;
    return fmt::format(
        "{:%Y-%m-%dT%H:%M:%S}.{:03d}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis.count());
}

void writeLine(const std::string &line)
{
    std::fwrite(line.data(), 1, line.size(), stdout);
    std::fflush(stdout);
}

} // namespace

LogLine::LogLine(LogLevel level, std::string_view event)
    : enabled_(level >= lowestLevel.load(std::memory_order_relaxed))
{
    if (enabled_) {
        text_ = fmt::format("time={} level={} event={}", timestamp(), levelName(level), event);
    }
}

LogLine &LogLine::with(std::string_view key, std::string_view value)
{
    if (!enabled_) {
        return *this;
    }
    text_ += ' ';
    text_ += key;
    text_ += '=';
    if (needsQuotes(value)) {
        appendQuoted(text_, value);
    } else {
        text_ += value;
    }
    return *this;
}

LogLine::~LogLine()
{
    if (!enabled_) {
        return;
    }
    text_ += '\n';
    auto *ring = activeRing.load(std::memory_order_acquire);
    if (ring == nullptr) {
        writeLine(text_);
    } else if (!ring->tryPush(std::move(text_))) {
        droppedLines.fetch_add(1, std::memory_order_relaxed);
    }
}

struct LogWriter::Impl {
    BoundedRing<std::string> ring{LogRingLines};
    std::thread thread;
    std::uint64_t reportedDrops = 0;

    void run()
    {
        while (true) {
            auto line = ring.popFor(WriterWait);
            if (line) {
                writeLine(*line);
            } else if (ring.closed()) {
                return;
            }
            reportDrops();
        }
    }

    void reportDrops()
    {
        const auto total = droppedLines.load(std::memory_order_relaxed);
        if (total != reportedDrops) {
            writeLine(fmt::format("time={} level=warning event=log_lines_dropped count={} total={}\n",
                                  timestamp(),
                                  total - reportedDrops,
                                  total));
            reportedDrops = total;
        }
    }
};

LogWriter::LogWriter(LogLevel lowest) : impl_(new Impl)
{
    lowestLevel = lowest;
    impl_->thread = std::thread([this] { impl_->run(); });
    activeRing.store(&impl_->ring, std::memory_order_release);
}

LogWriter::~LogWriter()
{
    activeRing.store(nullptr, std::memory_order_release);
    impl_->ring.close();
    impl_->thread.join();
    delete impl_;
}

std::uint64_t LogWriter::dropped()
{
    return droppedLines.load(std::memory_order_relaxed);
}

} // namespace yuccawheel::base
