#pragma once

#include <cstdint>
#include <cstdlib>
#include <string_view>

/// Entry point of each fuzz target, by the name that libFuzzer calls.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

namespace yuccawheel::fuzz
{

/// Ends the process if a property of the parser under test does not hold, in every build.
inline void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

inline std::string_view view(const std::uint8_t *data, std::size_t size)
{
    return {reinterpret_cast<const char *>(data), size}; // NOLINT: libFuzzer gives bytes, the parsers take text
}

} // namespace yuccawheel::fuzz
