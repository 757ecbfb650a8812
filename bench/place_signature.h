#pragma once

#include "placement/events.h"

#include <cstdint>
#include <span>

namespace yuccawheel::bench
{

/// Hash of all commands of a run; a changed decision changes the hash. Used to detect changes in scheduling behaviour.
class Signature
{
public:
    void add(std::span<const placement::Command> commands);
    std::uint64_t value() const
    {
        return hash_;
    }

private:
    void mix(std::uint64_t value);

    std::uint64_t hash_ = 0;
};

} // namespace yuccawheel::bench
