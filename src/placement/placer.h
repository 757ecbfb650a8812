#pragma once

#include "placement/zone_state.h"

#include <optional>

namespace yuccawheel::placement
{

/// Finds workers for single tasks: best fit for batch work, spread over racks for services.
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

/// Starts all tasks of a gang together, on few racks, or none.
class GangPlacer
{
public:
    explicit GangPlacer(ZoneState &zone) : zone_(zone)
    {
    }

    bool place(JobHandle handle);

private:
    /// How many tasks of the gang one worker can take.
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
