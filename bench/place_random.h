#pragma once

#include <cstdint>

namespace yuccawheel::bench
{

/// Pseudo-random number generator (splitmix64) with the same sequence on every platform.
class Random
{
public:
    explicit Random(std::uint64_t seed) : state_(seed)
    {
    }
    std::uint64_t next()
    {
        state_ += 0x9e3779b97f4a7c15ULL;
        std::uint64_t value = state_;
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31U);
    }
    /// Returns a uniform integer in [0, count).
    std::uint32_t nextBelow(std::uint32_t count)
    {
        return static_cast<std::uint32_t>((next() >> 32U) * count >> 32U);
    }
    /// Returns a uniform real number in [0, 1).
    double nextReal()
    {
        return static_cast<double>(next() >> 11U) * 0x1.0p-53;
    }

private:
    std::uint64_t state_;
};

} // namespace yuccawheel::bench
