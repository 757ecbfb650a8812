#pragma once

#include "routing/types.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace yuccawheel::fakes
{

struct FakeUpstreamOptions {
    std::string executor = "e1";
    std::uint64_t incarnation = 1;
    std::string address = "127.0.0.1"; ///< IP address to listen on.
    std::uint16_t port = 0;
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    std::vector<std::string> services{"loan-check"};
    std::vector<std::string> entries; ///< `IP:PORT` of each entry that gets the heartbeats.
    std::chrono::microseconds delay{0}; ///< Delay of each answer.
    std::uint32_t failEvery = 0; ///< Answers every Nth request with 500; 0 for none.
    std::uint32_t cutEvery = 0; ///< Truncates every Nth answer; 0 for none.
    bool reportsRunning = true; ///< Heartbeats contain the number of requests in progress.
};

/// Counters of a fake upstream.
struct FakeUpstreamCounts {
    std::uint64_t requests = 0; ///< Complete requests received.
    std::uint64_t answered = 0; ///< Complete answers written.
    std::uint32_t running = 0;
    std::uint32_t maxRunning = 0;
    std::uint32_t connections = 0;
    std::uint32_t maxConnections = 0;
    std::uint32_t maxRunsPerKey = 0; ///< Maximum number of runs of one Yw-Key value.
    std::uint64_t afterLeaving = 0; ///< Requests received after `leave()`.
    std::chrono::milliseconds lastAfterLeaving{0}; ///< Time from `leave()` to the last request.
};

/// Stand-in for an executor. The path of a request selects the answer: `/echo` returns the body, `/bytes/N` a body of N
/// bytes, `/delay/MS` answers after MS milliseconds, `/cut` truncates the answer, `/close` closes the connection
/// without one, `/error` returns 500, `/refuse` returns 503 with the verdict "not-run", `/stall` never answers. Any
/// other path returns 200.
class FakeUpstream
{
public:
    explicit FakeUpstream(FakeUpstreamOptions options);
    ~FakeUpstream();
    FakeUpstream(const FakeUpstream &) = delete;
    FakeUpstream &operator=(const FakeUpstream &) = delete;

    std::uint16_t port() const;
    /// Returns the current heartbeat.
    routing::UpstreamAnnouncement announcement() const;
    /// Announces from now on that the upstream is leaving, and keeps serving.
    void leave();
    FakeUpstreamCounts counts() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace yuccawheel::fakes
