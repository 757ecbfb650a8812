#pragma once

#include <cstdint>
#include <string_view>

namespace yuccawheel::coordination
{

/// Returns the XXH64 hash of the data.
std::uint64_t checksum(std::string_view data, std::uint64_t seed = 0);

} // namespace yuccawheel::coordination
