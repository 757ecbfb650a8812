#include "routing/rendezvous.h"

#define XXH_INLINE_ALL
#include <algorithm>
#include <xxhash.h>

namespace yuccawheel::routing
{

std::uint64_t rendezvousWeight(std::string_view key, std::string_view node)
{
    return XXH64(node.data(), node.size(), XXH64(key.data(), key.size(), 0));
}

// Ties are broken by name, so that every entry computes the same order.
std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> nodes)
{
    std::sort(nodes.begin(), nodes.end(), [key](const std::string &left, const std::string &right) {
        const auto leftWeight = rendezvousWeight(key, left);
        const auto rightWeight = rendezvousWeight(key, right);
        return leftWeight != rightWeight ? leftWeight > rightWeight : left < right;
    });
    return nodes;
}

} // namespace yuccawheel::routing
