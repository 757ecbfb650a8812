#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace yuccawheel::settings
{

/// Reads a token file of one or two lines with one token each. Two tokens allow rotation: the old one stays valid while
/// the new one is distributed. Only the file's owner may have access to it. The error message never contains a token.
tl::expected<std::vector<std::string>, std::string> readTokens(const std::string &file);

/// Compares in a time that depends only on the lengths, to prevent timing attacks.
bool equalInConstantTime(std::string_view left, std::string_view right);

/// Checks operators' tokens against a token file. Not thread-safe.
class TokenFile
{
public:
    explicit TokenFile(std::string file);

    /// Returns whether a token is valid. Reads the file again if it has changed. While the file can't be read, or
    /// others have access to it, no token is valid.
    bool matches(std::string_view presented);

    /// Returns why the token file can't be used, or an empty text.
    const std::string &error() const
    {
        return error_;
    }

private:
    /// File metadata that differs if the file has changed.
    struct Stamp {
        std::uint64_t device = 0;
        std::uint64_t inode = 0;
        std::int64_t size = -1;
        std::int64_t changedAt = 0; ///< ctime in nanoseconds, which also changes with the permissions.
        bool operator==(const Stamp &) const = default;
    };

    void refresh();
    Stamp currentStamp() const;

    std::string file_;
    Stamp stamp_;
    std::vector<std::string> tokens_;
    std::string error_;
};

} // namespace yuccawheel::settings
