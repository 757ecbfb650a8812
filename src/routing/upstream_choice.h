#pragma once

#include "base/clock.h"
#include "routing/types.h"

#include <cstdint>
#include <memory>
#include <span>

namespace yuccawheel::routing
{

/// An upstream with a free slot, as a choice sees it.
struct Candidate {
    UpstreamIndex upstream = 0;
    std::uint32_t outstanding = 0; ///< Requests of this entry in progress there.
    std::uint32_t usable = 1; ///< Slots of this entry's share.
    base::Duration latency{0}; ///< Smoothed time of an answer; zero if unknown.
};

/// Picks one of several upstreams with a free slot.
class UpstreamChoice
{
public:
    virtual ~UpstreamChoice() = default;

    /// Returns the position of the pick. `candidates` isn't empty.
    virtual std::size_t choose(std::span<const Candidate> candidates) = 0;
};

enum class ChoiceKind : std::uint8_t { RoundRobin, LeastOutstanding, TwoChoices };

std::unique_ptr<UpstreamChoice> makeUpstreamChoice(ChoiceKind kind, std::uint64_t seed);

} // namespace yuccawheel::routing
