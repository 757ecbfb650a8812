#pragma once

#include "placement/resources.h"
#include "workflow/job.h"
#include "workflow/worker.h"

#include <cstdint>
#include <vector>

namespace yuccawheel::workflow
{

/// A running task that may be stopped for more urgent work; it resumes elsewhere from its checkpoint.
struct Victim {
    TaskRef task;
    std::uint32_t run = 0;
    placement::Resources amount;
};

/// A worker that may run a gang: what is free there, and what could be made free.
struct Crowded {
    WorkerNumber worker = 0;
    placement::Resources free;
    std::uint32_t mostTasks = 0; ///< Of the gang, whatever room there is.
    std::vector<Victim> victims;
};

struct RoomPlan {
    std::vector<WorkerNumber> workers; ///< That then hold the gang together.
    std::vector<std::pair<WorkerNumber, Victim>> stops;
};

/// Chooses which tasks to stop so that a gang of `tasks` tasks of `amount` each finds room at once; an empty plan if
/// that is not possible, or not needed. Load pattern: many small tasks with time to spare fill the few workers that may
/// run a gang with little time.
RoomPlan makeRoom(std::vector<Crowded> workers, const placement::Resources &amount, std::size_t tasks);

} // namespace yuccawheel::workflow
