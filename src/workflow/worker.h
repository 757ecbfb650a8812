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

/// Number that the log gives to one life of a worker; never reused.
using WorkerNumber = std::uint32_t;

/// One life of a worker. `id` may come again in a later life; `born` tells the lives apart.
struct WorkerIdentity {
    std::string id;
    std::int64_t born = 0; ///< Milliseconds since the Unix epoch at the start of this life; 0 if it does not say.
    std::string address; ///< `IP:PORT` where it takes calls.
    std::string service;
    std::string zone;
    placement::Resources capacity;
    std::vector<std::string> labels; ///< Its kind, then its rack.

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

/// What a worker says of itself from time to time.
struct WorkerReport {
    WorkerIdentity worker;
    std::chrono::milliseconds clock{0}; ///< Reading of the worker's own steady clock.
    std::uint64_t sequence = 0; ///< Grows with each report of one life.
    bool draining = false; ///< It ends soon; nothing may start there.
    std::chrono::milliseconds drainRemaining{0}; ///< While draining: at least so long until it ends.
    std::chrono::milliseconds warmUpRemaining{0}; ///< How much longer it is slow after its start.
    bool leaving = false; ///< It ends now; nothing runs there any more.

    MSGPACK_DEFINE(worker, clock, sequence, draining, drainRemaining, warmUpRemaining, leaving)
};

/// A task that a worker lists as present.
struct RunningTask {
    std::string task; ///< Text form of its TaskRef.
    std::uint32_t run = 0;
    std::string checkpoint;
};

enum class RunOutcome : std::uint8_t {
    Done,
    Failed,
    Stopped, ///< It was told to.
    LeaseExpired, ///< The worker's lease ran out.
    GangBroken, ///< Another member of its gang ended.
    GangIncomplete, ///< It waited in vain for the other members of its gang.
};
std::string_view toString(RunOutcome end);

/// A run that a worker lists as ended, until it hears that this was taken note of.
struct EndedTask {
    std::uint64_t number = 0; ///< Grows with each end of one life.
    std::string task;
    std::uint32_t run = 0;
    RunOutcome outcome = RunOutcome::Failed;
    std::string checkpoint;
};

} // namespace yuccawheel::workflow

YW_MSGPACK_ENUM(yuccawheel::workflow::RunOutcome, yuccawheel::workflow::RunOutcome::GangIncomplete)
