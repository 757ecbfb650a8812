#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace yuccawheel::routing
{

/// Weight of a node for a key. The node with the highest weight owns the key.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

/// Orders nodes by falling weight for a key. Removing a node leaves the order of the others as it was.
std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> nodes);

} // namespace yuccawheel::routing
