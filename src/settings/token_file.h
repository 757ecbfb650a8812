#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace yuccawheel::settings
{

/// Reads a token file: one token a line, two lines at most, so that an old one stays valid while a new one is handed
/// out. The file must be readable by its owner only. The error is a text for people that never holds a token.
tl::expected<std::vector<std::string>, std::string> readTokens(const std::string &file);

/// Compares in a time that depends on the lengths only.
bool equalInConstantTime(std::string_view left, std::string_view right);

/// The operators' token as a daemon checks it. Not thread-safe.
class TokenFile
{
public:
    explicit TokenFile(std::string file);

    /// Says whether a presented token is valid now. The file is read again when it has changed;
    /// a file that can't be read, or that others may read, makes every token invalid.
    bool matches(std::string_view presented);

    /// Returns why no token is valid, or an empty text.
    const std::string &fault() const
    {
        return fault_;
    }

private:
    /// What tells one state of the file from another.
    struct Stamp {
        std::uint64_t device = 0;
        std::uint64_t inode = 0;
        std::int64_t size = -1;
        std::int64_t changedAt = 0; ///< Nanoseconds; changes with the permissions too.
        bool operator==(const Stamp &) const = default;
    };

    void refresh();
    Stamp currentStamp() const;

    std::string file_;
    Stamp stamp_;
    std::vector<std::string> tokens_;
    std::string fault_;
};

} // namespace yuccawheel::settings
