#pragma once

#include <chrono>

namespace yuccawheel::base
{

/// Monotonic clock that counts from boot and also runs while the VM is suspended (CLOCK_BOOTTIME).
/// Leases use it, so that an owner that resumes from a long suspension finds its lease expired.
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name required by the standard

    static time_point now() noexcept;
};

using TimePoint = BootClock::time_point;
using Duration = BootClock::duration;

} // namespace yuccawheel::base
