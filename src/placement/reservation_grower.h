#pragma once

#include "placement/preemptor.h"
#include "placement/zone_state.h"

#include <vector>

namespace yuccawheel::placement
{

/// Enlarges the reservations of tasks whose usage approaches them; the worker enforces the reservation as a limit.
/// Without free room on the worker, a task that reserves less than it declared gets room by stopping a neighbour. A
/// task that outgrew its declaration is throttled, then checkpointed and restarted with a larger reservation.
class ReservationGrower
{
public:
    ReservationGrower(ZoneState &zone, const Preemptor &preemptor) : zone_(zone), preemptor_(preemptor)
    {
    }

    /// Handles a usage report of a running task.
    void handleReport(LiveHandle live, const TaskReport &report);
    /// Gives room that became free on a worker to the tasks there that wait to grow.
    void handleFreedRoom(WorkerId worker);

private:
    /// Enlarges a reservation within the free room. Returns true if all of the wanted memory was added.
    bool tryGrow(LiveHandle live, const Resources &wanted);
    void restoreLimit(LiveHandle live, const TaskReport &report);
    void stopNeighbour(LiveHandle live, const Resources &wanted);
    void restartLarger(LiveHandle live, const Resources &wanted);

    struct Waiting {
        WorkerId worker = 0;
        TaskId task;
        Resources wanted;
    };

    ZoneState &zone_;
    const Preemptor &preemptor_;
    std::vector<Waiting> waiting_;
};

} // namespace yuccawheel::placement
