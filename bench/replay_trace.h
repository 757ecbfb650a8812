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

/// What a task really does, as opposed to what was declared.
struct TaskTruth {
    placement::Resources usage; ///< At its peak.
    milliseconds runTime{0}; ///< With as much as it uses; longer under a limit.
    std::int32_t failures = 0; ///< Attempts that fail before one succeeds; -1 for all.
};

// What happens to the zone from outside.

struct WorkersJoin {
    placement::WorkerId first = 0;
    std::uint32_t count = 0;
    std::uint32_t rackSize = 8;
    placement::Resources capacity;
};
struct JobArrives {
    placement::JobSpec spec;
    std::vector<TaskTruth> truths; ///< By index; the last one stands for all further.
};
struct JobsCancelled {
    placement::JobId first = 0;
    placement::JobId last = 0;
};
enum class WorkerFault : std::uint8_t {
    Silent, ///< It answers no more, its tasks run on.
    Back,
    LeasesExpired, ///< Its tasks have stopped.
    Rejoin, ///< It joins with the tasks that it still runs; messages on the way are lost.
    Drain,
    Undrain,
    FailsAll, ///< Each task that it starts fails at once.
    Healed,
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

/// A stated outcome: a figure of the run with its bounds.
struct Expectation {
    std::string figure;
    std::optional<std::uint64_t> job;
    std::optional<placement::WorkerId> worker;
    milliseconds from{0};
    milliseconds to{milliseconds::max()};
    double atLeast = -1e18;
    double atMost = 1e18;
};

struct Trace {
    std::string title;
    placement::Objective objective = placement::Objective::Packing;
    milliseconds length{0};
    std::multimap<milliseconds, Action> actions;
    std::vector<Expectation> expectations;
};

/// Reads a trace of one JSON object a line; throws std::runtime_error with the line's number.
Trace readTrace(std::istream &input);

} // namespace yuccawheel::bench
