#pragma once

#include "workflow/step_placer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace yuccawheel::workflow
{

/// Makes room for a gang by stopping tasks that can be resumed with nothing lost.
/// Load pattern: workers full of small tasks that end at different times. Room for a gang that is gathered as they end
/// lies idle until the last piece has come; so tasks that may yield go on using it until all of it can be had at once.
class RoomMaker
{
public:
    RoomMaker(const WorkerViews &workers, const State &state, base::TimePoint now)
        : workers_(workers)
        , state_(state)
        , now_(now)
    {
    }

    struct Stop {
        WorkerNumber worker = 0;
        TaskRef task;
    };
    struct Plan {
        std::vector<Stop> stops;
        std::map<WorkerNumber, std::uint32_t> room; ///< Tasks of the gang that each worker then has room for.
    };

    /// Returns which tasks of less urgent jobs to stop, or nothing if that would not make room for the whole gang.
    std::optional<Plan> plan(const StepPlacer &placer, const StepPlacer::Request &request) const;
    /// Returns for how many of the gang's tasks a worker can make room.
    std::uint32_t mostRoom(const StepPlacer &placer, const StepPlacer::Request &request, WorkerNumber number) const;

private:
    struct Candidate {
        WorkerNumber worker = 0;
        placement::Resources free; ///< With what the stops chosen so far give back.
        std::uint32_t room = 0; ///< Tasks of the gang, by `free`.
        std::uint32_t mostRoom = 0;
        std::vector<Stop> yielding; ///< Not chosen yet; the largest last.
    };

    bool yields(const TaskRef &task, const LiveRun &run, std::int32_t priority) const;
    placement::Resources amountOf(const TaskRef &task) const;
    template <typename Visit>
    void forEachYielding(WorkerNumber number, std::int32_t priority, Visit visit) const;
    Candidate candidateOf(const StepPlacer &placer, const StepPlacer::Request &request, WorkerNumber number) const;

    const WorkerViews &workers_;
    const State &state_;
    base::TimePoint now_;
};

} // namespace yuccawheel::workflow
