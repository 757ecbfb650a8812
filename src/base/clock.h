#pragma once

#include <chrono>

namespace yuccawheel::base
{

/// Clock that counts from boot and goes on while the VM is suspended (CLOCK_BOOTTIME).
/// Leases are counted on it, so a suspended owner finds its lease expired when it resumes.
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): named by the standard library

    static time_point now() noexcept;
};

using TimePoint = BootClock::time_point;
using Duration = BootClock::duration;

} // namespace yuccawheel::base
