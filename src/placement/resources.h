#pragma once

#include <cstdint>

namespace yuccawheel::placement
{

/// An amount of processors (thousandths of a core), memory (MiB) and accelerators (whole devices).
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

    /// Says whether this amount is within the other one in every resource.
    constexpr bool fitsIn(const Resources &other) const
    {
        return milliCpu <= other.milliCpu && memoryMib <= other.memoryMib && accelerators <= other.accelerators;
    }
    constexpr bool nonNegative() const
    {
        return milliCpu >= 0 && memoryMib >= 0 && accelerators >= 0;
    }
    constexpr bool isZero() const
    {
        return *this == Resources{};
    }
};

} // namespace yuccawheel::placement
