#pragma once

#include "placement/zone_state.h"

#include <optional>

namespace yuccawheel::placement
{

/// Places single tasks: best fit for batch jobs, spread over racks for services.
class TaskPlacer
{
public:
    explicit TaskPlacer(ZoneState &zone) : zone_(zone)
    {
    }

    /// Starts one task of a job. Returns false if no worker has room.
    bool place(JobHandle handle);

private:
    std::optional<WorkerId> findWorker(JobHandle handle) const;
    std::optional<WorkerId> findAmongHeld(const Job &job) const;
    std::optional<WorkerId> findSpread(const Job &job) const;

    ZoneState &zone_;
};

/// Starts all tasks of a gang together, on as few racks as possible, or none of them.
class GangPlacer
{
public:
    explicit GangPlacer(ZoneState &zone) : zone_(zone)
    {
    }

    /// Starts the gang. Returns false if there is no room for all of its tasks.
    bool place(JobHandle handle);

private:
    /// Number of tasks of the gang that fit on one worker.
    struct Room {
        WorkerId worker = 0;
        std::uint32_t tasks = 0;
    };
    struct RackRoom {
        std::uint32_t tasks = 0;
        std::vector<Room> workers;
    };

    std::vector<RackRoom> roomByRack(JobHandle handle) const;
    static std::vector<Room> choose(std::vector<RackRoom> racks, std::uint32_t needed);

    ZoneState &zone_;
};

} // namespace yuccawheel::placement
