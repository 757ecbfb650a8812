#pragma once

#include "base/clock.h"
#include "placement/events.h"

#include <memory>
#include <string>
#include <vector>

namespace yuccawheel::placement
{

/// What placement optimizes: short waiting times, or few busy VMs.
enum class Objective : std::uint8_t { Waiting, Packing };

struct PlannerOptions {
    Objective objective = Objective::Packing;
    std::uint64_t seed = 1;
};

/// A worker that gets few or no tasks because tasks on it failed.
struct WorkerRestriction {
    WorkerId worker = 0;
    bool probation = false; ///< Runs one task at a time; if false, quarantined: no tasks.
    std::string reason;
};

/// Decides where the tasks of one zone run. Deterministic and without I/O: takes events and the time, returns commands.
/// Not thread-safe.
class Planner
{
public:
    explicit Planner(PlannerOptions options);
    ~Planner();

    /// Handles one event. `now` must not go backwards.
    void handle(const Event &event, base::TimePoint now);

    /// Runs timers and placement, and appends the resulting commands in the order in which they must be sent.
    void decide(base::TimePoint now, std::vector<Command> &commands);

    /// Returns one line on a job's progress and why its tasks wait.
    std::string explain(JobId job) const;

    std::vector<WorkerRestriction> restrictedWorkers() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace yuccawheel::placement
