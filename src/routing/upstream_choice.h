#pragma once

#include "base/clock.h"
#include "routing/types.h"

#include <cstdint>
#include <memory>
#include <span>

namespace yuccawheel::routing
{

/// An upstream with a free slot, as input to the load balancing policy.
struct Candidate {
    UpstreamIndex upstream = 0;
    std::uint32_t outstanding = 0; ///< Requests of this entry in progress at the upstream.
    std::uint32_t usable = 1; ///< Slots of the upstream that this entry may use.
    base::Duration latency{0}; ///< EWMA of the answer time; zero if unknown.
};

/// Load balancing policy: picks one of several upstreams with a free slot.
class UpstreamChoice
{
public:
    virtual ~UpstreamChoice() = default;

    /// Returns the index of the chosen candidate. `candidates` must not be empty.
    virtual std::size_t choose(std::span<const Candidate> candidates) = 0;
};

enum class ChoiceKind : std::uint8_t { RoundRobin, LeastOutstanding, TwoChoices };

std::unique_ptr<UpstreamChoice> makeUpstreamChoice(ChoiceKind kind, std::uint64_t seed);

} // namespace yuccawheel::routing
