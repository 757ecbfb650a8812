#pragma once

#include "placement/resources.h"
#include "protocol/codec.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace yuccawheel::workflow
{

/// Number that the log assigns to one incarnation of a worker; never reused.
using WorkerNumber = std::uint32_t;

/// One incarnation of a worker, from the start to the end of its process. A later incarnation may have the same `id`;
/// `born` distinguishes them.
struct WorkerIdentity {
    std::string id;
    std::int64_t born = 0; ///< Start time in milliseconds since the Unix epoch; 0 if unknown.
    std::string address; ///< `IP:PORT` for calls to the worker.
    std::string service;
    std::string zone;
    placement::Resources capacity;
    std::vector<std::string> labels; ///< The kind of the worker first, its rack last.

    bool hasLabel(std::string_view label) const
    {
        return std::find(labels.begin(), labels.end(), label) != labels.end();
    }
    std::string_view rack() const
    {
        return labels.empty() ? std::string_view() : std::string_view(labels.back());
    }
    MSGPACK_DEFINE(id, born, address, service, zone, capacity, labels)
};

/// Periodic report of a worker.
struct WorkerReport {
    WorkerIdentity worker;
    std::chrono::milliseconds clock{0}; ///< Reading of the worker's steady clock.
    std::uint64_t sequence = 0; ///< Increases with each report of an incarnation.
    bool draining = false; ///< The worker ends soon; no task may start there.
    std::chrono::milliseconds drainRemaining{0}; ///< While draining: minimum time until the worker ends.
    std::chrono::milliseconds warmUpRemaining{0}; ///< Remaining time for which the worker is slow after its start.
    bool leaving = false; ///< The worker ends now; none of its tasks runs any more.

    MSGPACK_DEFINE(worker, clock, sequence, draining, drainRemaining, warmUpRemaining, leaving)
};

/// A run that a worker lists as running.
struct RunningTask {
    std::string task; ///< Text form of its TaskRef.
    std::uint32_t run = 0;
    std::string checkpoint;
    std::uint32_t progressPercent = 0; ///< Of its work; 0 while a member of a gang waits for the others.
};

enum class RunOutcome : std::uint8_t {
    Done,
    Failed,
    Stopped, ///< Stopped on order.
    LeaseExpired, ///< The worker's lease expired.
    GangBroken, ///< Another member of its gang ended.
    GangIncomplete, ///< The other members of its gang did not start in time.
};
std::string_view toString(RunOutcome end);

/// A run that a worker lists as ended until the end is acknowledged.
struct EndedTask {
    std::uint64_t number = 0; ///< Increases with each end of an incarnation.
    std::string task;
    std::uint32_t run = 0;
    RunOutcome outcome = RunOutcome::Failed;
    std::string checkpoint;
};

} // namespace yuccawheel::workflow

YW_MSGPACK_ENUM(yuccawheel::workflow::RunOutcome, yuccawheel::workflow::RunOutcome::GangIncomplete)
