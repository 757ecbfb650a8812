#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace yuccawheel::bench
{

/// Requests that arrive at random times, whether or not earlier ones have been answered.
struct LoadOptions {
    double ratePerSecond = 1000;
    std::chrono::milliseconds duration{2000};
    std::chrono::milliseconds warmUp{500}; ///< Not counted.
    std::string target = "/serve/loan-check/x";
    std::uint64_t seed = 1;
    std::function<std::uint16_t()> nextPort; ///< On loopback; called for each request.
    std::function<void(std::chrono::milliseconds)> onProgress; ///< Called now and then with the time since the start.
};

struct LoadResult {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0; ///< With status 200, whole.
    std::uint64_t serverErrors = 0; ///< Answered with another status.
    std::uint64_t lost = 0; ///< Not answered, or cut.
    double requestsPerSecond = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
};

/// Runs the load on the calling thread and waits for the last answer.
LoadResult runLoad(const LoadOptions &options);

/// Opens connections, sends one request on each and keeps them open while `during` runs.
void withIdleConnections(std::uint16_t port, std::size_t count, const std::function<void()> &during);

} // namespace yuccawheel::bench
