#pragma once

#include "base/clock.h"
#include "placement/events.h"

#include <memory>
#include <string>
#include <vector>

namespace yuccawheel::placement
{

enum class Objective : std::uint8_t { Waiting, Packing };

struct PlannerOptions {
    Objective objective = Objective::Packing;
    std::uint64_t seed = 1;
};

/// A worker that is kept from most tasks because tasks on it failed.
struct WorkerRestriction {
    WorkerId worker = 0;
    bool probation = false; ///< One task at a time; else quarantined, none.
    std::string reason;
};

/// Decides where one zone's tasks run. Pure: events and the time come in, commands go out.
/// Not thread-safe; one thread owns it.
class Planner
{
public:
    explicit Planner(PlannerOptions options);
    ~Planner();

    /// Takes one event. Times must not go backwards.
    void handle(const Event &event, base::TimePoint now);

    /// Decides what can be decided now and appends the commands, in the order in which they must be sent.
    void decide(base::TimePoint now, std::vector<Command> &commands);

    /// Says in one line why a job waits, or where it runs.
    std::string explain(JobId job) const;

    std::vector<WorkerRestriction> restrictedWorkers() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace yuccawheel::placement
