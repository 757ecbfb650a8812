#include "settings/token_file.h"

#include "base/log.h"
#include "base/scope_guard.h"

#include <fmt/core.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace yuccawheel::settings
{

namespace
{

constexpr std::size_t MinTokenBytes = 16;
constexpr std::size_t MaxFileBytes = 1'024;
constexpr std::size_t MaxTokens = 2;
constexpr mode_t OthersMask = S_IRWXG | S_IRWXO;
constexpr std::int64_t NanosecondsPerSecond = 1'000'000'000;

bool isToken(std::string_view text)
{
    for (const char c : text) {
        if (c <= ' ' || c >= 0x7f) {
            return false;
        }
    }
    return text.size() >= MinTokenBytes;
}

tl::expected<std::vector<std::string>, std::string> splitTokens(const std::string &file, const std::string &text)
{
    std::vector<std::string> tokens;
    for (std::size_t start = 0; start < text.size();) {
        const std::size_t end = std::min(text.find('\n', start), text.size());
        tokens.push_back(text.substr(start, end - start));
        start = end + 1;
        if (!isToken(tokens.back())) {
            return tl::unexpected(fmt::format("{}: line {} is not a token of {} or more visible ASCII characters",
                                              file,
                                              tokens.size(),
                                              MinTokenBytes));
        }
    }
    if (tokens.empty() || tokens.size() > MaxTokens) {
        return tl::unexpected(fmt::format("{}: holds {} tokens, allowed: 1 or 2, one per line", file, tokens.size()));
    }
    return tokens;
}

std::string checkOwnerOnly(const std::string &file, const struct stat &status)
{
    if (!S_ISREG(status.st_mode)) {
        return file + ": not a regular file";
    }
    if (status.st_uid != geteuid() && status.st_uid != 0) {
        return file + ": belongs to another user";
    }
    if ((status.st_mode & OthersMask) != 0) {
        return fmt::format("{}: mode {:04o}, allowed: 0600 or less (chmod 600)", file, status.st_mode & 07777U);
    }
    return "";
}

} // namespace

tl::expected<std::vector<std::string>, std::string> readTokens(const std::string &file)
{
    const int descriptor = open(file.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK);
    if (descriptor < 0) {
        return tl::unexpected(fmt::format("{}: {}", file, std::strerror(errno)));
    }
    const base::ScopeGuard closer([descriptor] { close(descriptor); });
    // Checks the open file rather than the path, so that the file can't be replaced between check and read.
    struct stat status {
    };
    if (fstat(descriptor, &status) != 0) {
        return tl::unexpected(fmt::format("{}: {}", file, std::strerror(errno)));
    }
    if (std::string error = checkOwnerOnly(file, status); !error.empty()) {
        return tl::unexpected(std::move(error));
    }
    std::array<char, MaxFileBytes + 1> buffer{};
    const ssize_t size = read(descriptor, buffer.data(), buffer.size());
    if (size < 0 || static_cast<std::size_t>(size) > MaxFileBytes) {
        return tl::unexpected(fmt::format("{}: can't be read, or longer than {} bytes", file, MaxFileBytes));
    }
    return splitTokens(file, std::string(buffer.data(), static_cast<std::size_t>(size)));
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    unsigned difference = left.size() == right.size() ? 0 : 1;
    for (std::size_t i = 0; i < left.size(); ++i) {
        const unsigned char other = right.empty() ? 0 : static_cast<unsigned char>(right[i % right.size()]);
        difference |= static_cast<unsigned>(static_cast<unsigned char>(left[i]) ^ other);
    }
    return difference == 0;
}

TokenFile::TokenFile(std::string file) : file_(std::move(file))
{
    refresh();
}

bool TokenFile::matches(std::string_view presented)
{
    if (currentStamp() != stamp_) {
        refresh();
    }
    bool matched = false;
    for (const std::string &token : tokens_) {
        const bool same = equalInConstantTime(token, presented);
        matched = matched || same;
    }
    return matched;
}

// Takes the stamp before reading, so that a change during the read is detected at the next check.
void TokenFile::refresh()
{
    stamp_ = currentStamp();
    auto tokens = readTokens(file_);
    error_ = tokens ? "" : tokens.error();
    tokens_ = tokens ? std::move(*tokens) : std::vector<std::string>();
    if (error_.empty()) {
        base::logInfo("token_file_read").with("file", file_).with("tokens", tokens_.size());
    } else {
        base::logError("token_file_refused").with("reason", error_);
    }
}

TokenFile::Stamp TokenFile::currentStamp() const
{
    struct stat status {
    };
    if (stat(file_.c_str(), &status) != 0) {
        return {};
    }
    return {status.st_dev,
            status.st_ino,
            status.st_size,
            status.st_ctim.tv_sec * NanosecondsPerSecond + status.st_ctim.tv_nsec};
}

} // namespace yuccawheel::settings
