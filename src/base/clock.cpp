#include "base/clock.h"

#include <ctime>

namespace yuccawheel::base
{

BootClock::time_point BootClock::now() noexcept
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
}

} // namespace yuccawheel::base
