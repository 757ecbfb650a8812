#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace yuccawheel::entry
{

/// The operators' token, read from a file that only its owner may read. A changed file is taken over without a
/// restart; a file that became unreadable refuses everybody.
class OperatorToken
{
public:
    /// Throws std::runtime_error if the file can't be used.
    explicit OperatorToken(std::string file);

    /// Compares in a time that does not depend on where the texts differ.
    bool matches(std::string_view authorization);

private:
    void reload();

    std::string file_;
    std::string token_;
    std::chrono::steady_clock::time_point checkedAt_{};
};

} // namespace yuccawheel::entry
