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

constexpr std::size_t QueueCapacityLines = 8192;
constexpr std::chrono::milliseconds WriteTimeout{200};
constexpr std::chrono::milliseconds FinalWriteTimeout{500}; ///< For a slow reader at process exit.
constexpr std::size_t MaxBatchBytes = PIPE_BUF; ///< A pipe that polls as writable takes this much without blocking.

std::atomic<LogLevel> minLevel{LogLevel::Warning};
std::atomic<BoundedQueue<std::string> *> activeQueue{nullptr};
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
    TimedOut, ///< The reader did not read in time.
    Broken, ///< Standard output has no reader, or writing failed.
};

/// Writes `text` to standard output and removes the written part from it. Waits at most `timeout` before each partial
/// write.
WriteResult writeOut(std::string_view &text, std::chrono::milliseconds timeout)
{
    while (!text.empty()) {
        pollfd out{STDOUT_FILENO, POLLOUT, 0};
        const int ready = ::poll(&out, 1, static_cast<int>(timeout.count()));
        if (ready == 0) {
            return WriteResult::TimedOut;
        }
        if (ready < 0 && errno == EINTR) {
            continue;
        }
        // Writing to a pipe without a reader would raise SIGPIPE.
        if (ready < 0 || (out.revents & POLLOUT) == 0 || (out.revents & POLLERR) != 0) {
            return WriteResult::Broken;
        }
        const ssize_t written = ::write(STDOUT_FILENO, text.data(), std::min(text.size(), MaxBatchBytes));
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
    if (writeOut(line, WriteTimeout) != WriteResult::Written) {
        droppedLines.fetch_add(1, std::memory_order_relaxed);
    }
}

} // namespace

LogLine::LogLine(LogLevel level, std::string_view event) : enabled_(level >= minLevel.load(std::memory_order_relaxed))
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
    auto *queue = activeQueue.load(std::memory_order_acquire);
    if (queue == nullptr) {
        writeNow(text_);
    } else if (!queue->tryPush(std::move(text_))) {
        droppedLines.fetch_add(1, std::memory_order_relaxed);
    }
}

struct LogWriter::Impl {
    BoundedQueue<std::string> queue{QueueCapacityLines};
    std::thread thread;
    std::uint64_t reportedDropCount = 0;
    std::atomic<bool> closing{false};
    bool gaveUp = false; ///< The final write timed out: the remaining lines are dropped.

    void run()
    {
        // The reader may close the pipe between poll and write.
        sigset_t brokenPipe;
        sigemptyset(&brokenPipe);
        sigaddset(&brokenPipe, SIGPIPE);
        pthread_sigmask(SIG_BLOCK, &brokenPipe, nullptr);
        while (true) {
            auto line = waitForLine();
            const DutyScope duty(Duty::LogOutput);
            if (line) {
                writeBatch(std::move(*line));
            } else if (queue.isClosed()) {
                return;
            }
            reportDrops();
        }
    }

    std::optional<std::string> waitForLine()
    {
        const DutyScope duty(Duty::Waiting);
        return queue.popFor(WriteTimeout);
    }

    // Combines the queued lines into writes of about MaxBatchBytes.
    void writeBatch(std::string batch)
    {
        std::uint64_t lines = 1;
        while (batch.size() < MaxBatchBytes) {
            auto next = queue.tryPop();
            if (!next) {
                break;
            }
            batch += *next;
            ++lines;
        }
        write(batch, lines);
    }

    // Waits for a slow reader, while the queue fills up and then drops lines. At process exit each write waits at most
    // FinalWriteTimeout, and the first timeout drops all remaining lines.
    void write(std::string_view text, std::uint64_t lines)
    {
        WriteResult result = WriteResult::TimedOut;
        while (result == WriteResult::TimedOut && !closing) {
            result = writeOut(text, WriteTimeout);
        }
        if (result == WriteResult::TimedOut && !gaveUp) {
            result = writeOut(text, FinalWriteTimeout);
            gaveUp = result == WriteResult::TimedOut;
        }
        if (result != WriteResult::Written) {
            droppedLines.fetch_add(lines, std::memory_order_relaxed);
        }
    }

    void reportDrops()
    {
        const auto total = droppedLines.load(std::memory_order_relaxed);
        if (total != reportedDropCount) {
            const auto reported = reportedDropCount;
            reportedDropCount = total;
            write(fmt::format("time={} level=warning event=log_lines_dropped count={} total={}\n",
                              timestamp(),
                              total - reported,
                              total),
                  0);
        }
    }
};

LogWriter::LogWriter(LogLevel level) : impl_(new Impl)
{
    minLevel = level;
    impl_->thread = std::thread([this] { impl_->run(); });
    activeQueue.store(&impl_->queue, std::memory_order_release);
}

LogWriter::~LogWriter()
{
    activeQueue.store(nullptr, std::memory_order_release);
    impl_->closing = true;
    impl_->queue.close();
    impl_->thread.join();
    delete impl_;
}

std::uint64_t LogWriter::dropped()
{
    return droppedLines.load(std::memory_order_relaxed);
}

} // namespace yuccawheel::base
