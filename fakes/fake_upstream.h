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
    std::string address = "127.0.0.1"; ///< IP on which it listens.
    std::uint16_t port = 0;
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    std::vector<std::string> services{"loan-check"};
    std::vector<std::string> entries; ///< `IP:PORT` of each entry that it announces itself to.
    std::chrono::microseconds delay{0}; ///< Before each answer.
    std::uint32_t failEvery = 0; ///< Each so manieth request is answered with 500; zero: none.
    std::uint32_t cutEvery = 0; ///< Each so manieth answer is cut short; zero: none.
    bool reportsRunning = true; ///< Its heartbeats say how many requests are in progress.
};

/// What a fake upstream has seen.
struct FakeUpstreamCounts {
    std::uint64_t requests = 0; ///< Whole requests received.
    std::uint64_t answered = 0; ///< Whole answers written.
    std::uint32_t running = 0;
    std::uint32_t maxRunning = 0;
    std::uint32_t connections = 0;
    std::uint32_t maxConnections = 0;
    std::uint32_t mostRunsOfOneKey = 0; ///< Over the Yw-Key values seen.
    std::uint64_t afterLeaving = 0; ///< Requests received after `leave`.
    std::chrono::milliseconds lastAfterLeaving{0}; ///< From `leave` to the last request.
};

/// Stand-in for an executor. The path of a request says how it is answered:
/// `/echo` the body, `/bytes/N` a body of N bytes, `/delay/MS` late, `/cut` with half an answer, `/close` with none,
/// `/error` with 500, `/refuse` with 503 and "not run", `/stall` never; any other path at once.
class FakeUpstream
{
public:
    explicit FakeUpstream(FakeUpstreamOptions options);
    ~FakeUpstream();
    FakeUpstream(const FakeUpstream &) = delete;
    FakeUpstream &operator=(const FakeUpstream &) = delete;

    std::uint16_t port() const;
    /// What it announces now.
    routing::UpstreamAnnouncement announcement() const;
    /// Announces from now on that it is leaving. Goes on serving.
    void leave();
    FakeUpstreamCounts counts() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace yuccawheel::fakes
