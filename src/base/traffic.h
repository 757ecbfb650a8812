#pragma once

#include <atomic>
#include <cstdint>

namespace yuccawheel::base
{

/// Bytes of control traffic of this process: the inner protocol and the control interfaces, without callers' requests.
struct ControlTraffic {
    std::atomic<std::uint64_t> sentBytes{0};
    std::atomic<std::uint64_t> receivedBytes{0};
};

inline ControlTraffic &controlTraffic()
{
    static ControlTraffic traffic;
    return traffic;
}

} // namespace yuccawheel::base
