#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace yuccawheel::routing
{

/// Rendezvous (highest random weight) hashing: the node with the highest weight for a key owns it.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

/// Orders nodes by descending weight for a key. Removing a node does not change the order of the others.
std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> nodes);

} // namespace yuccawheel::routing
