#pragma once

#include "placement/room_maker.h"
#include "placement/zone_state.h"

#include <vector>

namespace yuccawheel::placement
{

/// Meets tasks whose use nears their reservation, which is the limit that the worker holds them to.
/// There is room: the reservation grows. There is none: a task that was given less than it declared has a neighbour
/// stopped for it; a task that outgrew its own declaration is throttled, then checkpointed and started again larger.
class GrowthWatch
{
public:
    GrowthWatch(ZoneState &zone, const RoomMaker &rooms) : zone_(zone), rooms_(rooms)
    {
    }

    /// Takes a report of a running task's use.
    void reported(LiveHandle live, const TaskReport &report);
    /// Gives room that came free on a worker to the tasks there that wait to grow.
    void roomCameFree(WorkerId worker);

private:
    bool grow(LiveHandle live, const Resources &wanted);
    void restoreLimit(LiveHandle live, const TaskReport &report);
    void stopNeighbour(LiveHandle live, const Resources &wanted);
    void restartLarger(LiveHandle live, const Resources &wanted);

    struct Waiting {
        WorkerId worker = 0;
        TaskId task;
        Resources wanted;
    };

    ZoneState &zone_;
    const RoomMaker &rooms_;
    std::vector<Waiting> waiting_;
};

} // namespace yuccawheel::placement
