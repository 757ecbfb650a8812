#pragma once

#include "placement/events.h"
#include "placement/planner.h"

#include <chrono>
#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace yuccawheel::bench
{

using std::chrono::milliseconds;

/// Actual behaviour of a task, as opposed to its declaration.
struct TaskProfile {
    placement::Resources usage; ///< Peak usage.
    milliseconds runTime{0}; ///< At full speed; a limit below the usage makes it longer.
    std::int32_t failures = 0; ///< Attempts that fail before one succeeds; -1 if all fail.
};

// Inputs of a simulation.

struct WorkersJoin {
    placement::WorkerId first = 0;
    std::uint32_t count = 0;
    std::uint32_t rackSize = 8;
    placement::Resources capacity;
};
struct JobArrives {
    placement::JobSpec spec;
    std::vector<TaskProfile> profiles; ///< By task index; the last one applies to all further indices.
};
struct JobsCancelled {
    placement::JobId first = 0;
    placement::JobId last = 0;
};
enum class WorkerFault : std::uint8_t {
    Silent, ///< The worker becomes unreachable; its tasks keep running.
    Back, ///< The worker is reachable again.
    LeasesExpired, ///< The leases expire and the worker has stopped its tasks.
    Rejoin, ///< The worker joins again with its running tasks; messages in flight are lost.
    Drain,
    Undrain,
    FailsAll, ///< Every task that the worker starts fails after a short delay.
    Healed, ///< Ends FailsAll.
};
struct WorkersFail {
    placement::WorkerId first = 0;
    std::uint32_t count = 1;
    WorkerFault fault = WorkerFault::Silent;
};
struct QuotasSet {
    std::vector<placement::TeamQuota> quotas;
};
struct OwnerChanges {
    bool startsRecorded = true;
};

using Action = std::variant<WorkersJoin, JobArrives, JobsCancelled, WorkersFail, QuotasSet, OwnerChanges>;

/// Expected range of a metric of the run, optionally of one job, one worker or one interval.
struct Expectation {
    std::string metric;
    std::optional<std::uint64_t> job;
    std::optional<placement::WorkerId> worker;
    milliseconds from{0};
    milliseconds to{milliseconds::max()};
    double minValue = -1e18;
    double maxValue = 1e18;
};

struct Trace {
    std::string title;
    placement::Objective objective = placement::Objective::Packing;
    milliseconds length{0};
    std::multimap<milliseconds, Action> actions;
    std::vector<Expectation> expectations;
};

/// Reads a trace with one JSON object per line. Throws std::runtime_error with the line number on an invalid line.
Trace readTrace(std::istream &input);

} // namespace yuccawheel::bench
