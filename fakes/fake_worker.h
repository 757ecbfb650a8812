#pragma once

#include "fakes/worker_state.h"
#include "settings/endpoint.h"

#include <memory>
#include <string>
#include <vector>

namespace yuccawheel::fakes
{

/// File to which every fake worker appends its task starts, ends and violations, one line each:
/// `BOOT_NANOSECONDS start|end|violation TASK WORKER INCARNATION DETAIL`.
class Journal
{
public:
    /// With an empty path, nothing is written.
    explicit Journal(const std::string &path);
    ~Journal();
    Journal(const Journal &) = delete;
    Journal &operator=(const Journal &) = delete;

    void append(const std::string &worker, const WorkerRecord &record);

private:
    int descriptor_ = -1;
};

/// Worker that polls its zone's schedulers from its own thread and runs a FakeUpstream for each of its service tasks.
class FakeWorker
{
public:
    struct Options {
        WorkerOptions worker;
        std::string zone;
        std::vector<settings::Endpoint> schedulers; ///< Worker addresses of the zone's schedulers.
        std::vector<std::string> entries; ///< `IP:PORT` of the upstream listeners of the zone's entries.
        std::string ip = "127.0.0.1"; ///< Address on which its upstreams listen.
    };

    FakeWorker(Options options, Journal &journal);
    ~FakeWorker();
    FakeWorker(const FakeWorker &) = delete;
    FakeWorker &operator=(const FakeWorker &) = delete;

    /// Ends tasks whose run time is over. Must be called every few milliseconds, since a poll may take much longer.
    void tick();
    void setFaults(const WorkerFaults &faults);
    WorkerFaults faults() const;
    void losePower();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace yuccawheel::fakes
