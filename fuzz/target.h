#pragma once

#include <cstdint>
#include <cstdlib>
#include <string_view>

/// Entry point of each fuzz target, called by libFuzzer or by replay.cpp.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

namespace yuccawheel::fuzz
{

/// Aborts the process if a property of the code under test doesn't hold, in every build type.
inline void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

/// Returns the input as text.
inline std::string_view view(const std::uint8_t *data, std::size_t size)
{
    return {reinterpret_cast<const char *>(data), size}; // NOLINT: libFuzzer passes unsigned bytes
}

} // namespace yuccawheel::fuzz
