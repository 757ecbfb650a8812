#include "base/log.h"

#include "base/bounded_queue.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <climits>
#include <csignal>
#include <poll.h>
#include <thread>
#include <unistd.h>

namespace yuccawheel::base
{

namespace
{

constexpr std::size_t LogRingLines = 8192;
constexpr std::chrono::milliseconds WriterWait{200};
constexpr std::chrono::milliseconds LastWait{500}; ///< For a reader that lags, once the process ends.
constexpr std::size_t MostBatchBytes = PIPE_BUF; ///< A pipe that is ready takes so much without blocking.

std::atomic<LogLevel> lowestLevel{LogLevel::Warning};
std::atomic<BoundedQueue<std::string> *> activeRing{nullptr};
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

enum class WriteResult : std::uint8_t {
    Written,
    Full, ///< Nobody has read for the time given.
    Broken, ///< There is no reader, or no space.
};

/// Writes as much of `text` as standard output takes, and removes that from it. Blocks no longer than `patience` for
/// each part.
WriteResult writeOut(std::string_view &text, std::chrono::milliseconds patience)
{
    while (!text.empty()) {
        pollfd out{STDOUT_FILENO, POLLOUT, 0};
        const int ready = ::poll(&out, 1, static_cast<int>(patience.count()));
        if (ready == 0) {
            return WriteResult::Full;
        }
        if (ready < 0 && errno == EINTR) {
            continue;
        }
        // To write without a reader would raise a signal that ends the process.
        if (ready < 0 || (out.revents & POLLOUT) == 0 || (out.revents & POLLERR) != 0) {
            return WriteResult::Broken;
        }
        const ssize_t written = ::write(STDOUT_FILENO, text.data(), std::min(text.size(), MostBatchBytes));
        if (written >= 0) {
            text.remove_prefix(static_cast<std::size_t>(written));
        } else if (errno != EINTR && errno != EAGAIN) {
            return WriteResult::Broken;
        }
    }
    return WriteResult::Written;
}

void writeNow(std::string_view line)
{
    if (writeOut(line, WriterWait) != WriteResult::Written) {
        droppedLines.fetch_add(1, std::memory_order_relaxed);
    }
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
        writeNow(text_);
    } else if (!ring->tryPush(std::move(text_))) {
        droppedLines.fetch_add(1, std::memory_order_relaxed);
    }
}

struct LogWriter::Impl {
    BoundedQueue<std::string> ring{LogRingLines};
    std::thread thread;
    std::uint64_t reportedDrops = 0;
    std::atomic<bool> closing{false};
    bool gaveUp = false; ///< Nobody read for the last wait: what is left is dropped.

    void run()
    {
        // The reader may go away between the look at the pipe and the write.
        sigset_t brokenPipe;
        sigemptyset(&brokenPipe);
        sigaddset(&brokenPipe, SIGPIPE);
        pthread_sigmask(SIG_BLOCK, &brokenPipe, nullptr);
        while (true) {
            auto line = ring.popFor(WriterWait);
            if (line) {
                writeBatch(std::move(*line));
            } else if (ring.closed()) {
                return;
            }
            reportDrops();
        }
    }

    // Lines that have come together are written together.
    void writeBatch(std::string batch)
    {
        std::uint64_t lines = 1;
        while (batch.size() < MostBatchBytes) {
            auto next = ring.tryPop();
            if (!next) {
                break;
            }
            batch += *next;
            ++lines;
        }
        write(batch, lines);
    }

    // A reader that lags is waited for, while the ring fills and then drops; but not once the process is to end.
    void write(std::string_view text, std::uint64_t lines)
    {
        WriteResult result = WriteResult::Full;
        while (result == WriteResult::Full && !closing) {
            result = writeOut(text, WriterWait);
        }
        if (result == WriteResult::Full && !gaveUp) {
            result = writeOut(text, LastWait);
            gaveUp = result == WriteResult::Full;
        }
        if (result != WriteResult::Written) {
            droppedLines.fetch_add(lines, std::memory_order_relaxed);
        }
    }

    void reportDrops()
    {
        const auto total = droppedLines.load(std::memory_order_relaxed);
        if (total != reportedDrops) {
            const auto reported = reportedDrops;
            reportedDrops = total;
            write(fmt::format("time={} level=warning event=log_lines_dropped count={} total={}\n",
                              timestamp(),
                              total - reported,
                              total),
                  0);
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
    impl_->closing = true;
    impl_->ring.close();
    impl_->thread.join();
    delete impl_;
}

std::uint64_t LogWriter::dropped()
{
    return droppedLines.load(std::memory_order_relaxed);
}

} // namespace yuccawheel::base
