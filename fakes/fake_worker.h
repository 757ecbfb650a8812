#pragma once

#include "fakes/worker_state.h"
#include "settings/endpoint.h"

#include <memory>
#include <string>
#include <vector>

namespace yuccawheel::fakes
{

/// File that every fake worker appends its task starts and ends to, one line each:
/// `BOOT_NANOSECONDS start|end|violation TASK WORKER INCARNATION DETAIL`.
class Journal
{
public:
    /// An empty path writes nothing.
    explicit Journal(const std::string &path);
    ~Journal();
    Journal(const Journal &) = delete;
    Journal &operator=(const Journal &) = delete;

    void append(const std::string &worker, const WorkerRecord &record);

private:
    int descriptor_ = -1;
};

/// A worker that polls its zone's schedulers from a thread of its own, and serves the service tasks it is given.
class FakeWorker
{
public:
    struct Options {
        WorkerOptions worker;
        std::string zone;
        std::vector<settings::Endpoint> schedulers; ///< Worker addresses of the zone's schedulers.
        std::vector<std::string> entries; ///< `IP:PORT` of the upstream addresses of the zone's entries.
        std::string ip = "127.0.0.1"; ///< Where its upstreams listen.
    };

    FakeWorker(Options options, Journal &journal);
    ~FakeWorker();
    FakeWorker(const FakeWorker &) = delete;
    FakeWorker &operator=(const FakeWorker &) = delete;

    /// Ends tasks whose time is over. To be called every few milliseconds: a poll may be open much longer.
    void tick();
    void setFaults(const WorkerFaults &faults);
    WorkerFaults faults() const;
    void losePower();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace yuccawheel::fakes
