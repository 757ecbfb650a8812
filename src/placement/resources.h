#pragma once

#include <cstdint>

namespace yuccawheel::placement
{

/// An amount of CPU (thousandths of a core), memory (MiB) and accelerators (whole devices).
struct Resources {
    std::int64_t milliCpu = 0;
    std::int64_t memoryMib = 0;
    std::int64_t accelerators = 0;

    constexpr bool operator==(const Resources &) const = default;

    constexpr Resources &operator+=(const Resources &other)
    {
        milliCpu += other.milliCpu;
        memoryMib += other.memoryMib;
        accelerators += other.accelerators;
        return *this;
    }
    constexpr Resources &operator-=(const Resources &other)
    {
        milliCpu -= other.milliCpu;
        memoryMib -= other.memoryMib;
        accelerators -= other.accelerators;
        return *this;
    }
    friend constexpr Resources operator+(Resources left, const Resources &right)
    {
        return left += right;
    }
    friend constexpr Resources operator-(Resources left, const Resources &right)
    {
        return left -= right;
    }
    friend constexpr Resources operator*(Resources amount, std::int64_t count)
    {
        return {amount.milliCpu * count, amount.memoryMib * count, amount.accelerators * count};
    }

    /// Returns whether this amount is at most the other one in every resource.
    constexpr bool fitsIn(const Resources &other) const
    {
        return milliCpu <= other.milliCpu && memoryMib <= other.memoryMib && accelerators <= other.accelerators;
    }
    /// Returns how many times this amount fits in the other one; a zero amount fits a billion times.
    constexpr std::int64_t countFittingIn(const Resources &other) const
    {
        std::int64_t times = 1'000'000'000;
        const auto limit = [&times](std::int64_t need, std::int64_t has) {
            if (need > 0) {
                times = has <= 0 ? 0 : (has / need < times ? has / need : times);
            }
        };
        limit(milliCpu, other.milliCpu);
        limit(memoryMib, other.memoryMib);
        limit(accelerators, other.accelerators);
        return times;
    }
    constexpr bool isNonNegative() const
    {
        return milliCpu >= 0 && memoryMib >= 0 && accelerators >= 0;
    }
    constexpr bool isZero() const
    {
        return *this == Resources{};
    }
};

/// Returns the maximum of two amounts for each resource.
constexpr Resources elementwiseMax(const Resources &left, const Resources &right)
{
    return {left.milliCpu > right.milliCpu ? left.milliCpu : right.milliCpu,
            left.memoryMib > right.memoryMib ? left.memoryMib : right.memoryMib,
            left.accelerators > right.accelerators ? left.accelerators : right.accelerators};
}

/// Returns the minimum of two amounts for each resource.
constexpr Resources elementwiseMin(const Resources &left, const Resources &right)
{
    return {left.milliCpu < right.milliCpu ? left.milliCpu : right.milliCpu,
            left.memoryMib < right.memoryMib ? left.memoryMib : right.memoryMib,
            left.accelerators < right.accelerators ? left.accelerators : right.accelerators};
}

} // namespace yuccawheel::placement
