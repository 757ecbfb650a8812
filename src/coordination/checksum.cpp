#include "coordination/checksum.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace yuccawheel::coordination
{

std::uint64_t checksum(std::string_view data, std::uint64_t seed)
{
    return XXH64(data.data(), data.size(), seed);
}

} // namespace yuccawheel::coordination
