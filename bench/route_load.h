#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace yuccawheel::bench
{

/// Open-loop load: requests are sent at random times, regardless of outstanding responses.
struct HttpLoadOptions {
    double ratePerSecond = 1000;
    std::chrono::milliseconds duration{2000};
    std::chrono::milliseconds warmUp{500}; ///< Requests sent in this initial time don't count for the latencies.
    std::string target = "/serve/loan-check/x";
    std::uint64_t seed = 1;
    std::function<std::uint16_t()> nextPort; ///< Returns the loopback port for the next request.
    std::function<void(std::chrono::milliseconds)> onProgress; ///< Called periodically with the time since the start.
};

struct HttpLoadResult {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0; ///< Complete responses with status 200.
    std::uint64_t serverErrors = 0; ///< Complete responses with another status.
    std::uint64_t lost = 0; ///< Requests without a complete response.
    double requestsPerSecond = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
};

/// Runs the load on the calling thread and returns after the last response.
HttpLoadResult runHttpLoad(const HttpLoadOptions &options);

/// Opens connections, sends one request on each and keeps them open while `during` runs.
void withIdleConnections(std::uint16_t port, std::size_t count, const std::function<void()> &whileOpen);

} // namespace yuccawheel::bench
