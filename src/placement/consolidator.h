#pragma once

#include "placement/zone_state.h"

namespace yuccawheel::placement
{

/// Evacuates underutilized VMs by moving their tasks, with a checkpoint, to other busy VMs, so that they become idle.
/// Evacuates one VM at a time, and only after it has been underutilized for a while, so that short dips in load move
/// nothing.
class Consolidator
{
public:
    explicit Consolidator(ZoneState &zone) : zone_(zone)
    {
    }

    /// Evacuates at most one VM; does nothing until the interval since the last run has passed.
    void run();

private:
    bool isUnderutilized(WorkerId worker) const;
    /// Returns the workers that have been underutilized for long enough, and updates Worker::underutilizedSince.
    std::vector<WorkerId> findUnderutilized();
    bool isMovable(LiveHandle live) const;
    bool canMoveElsewhere(WorkerId worker) const;
    void evacuate(WorkerId worker);

    ZoneState &zone_;
    base::TimePoint next_;
    WorkerId evacuating_ = NoHandle;
    base::TimePoint evacuatingUntil_;
};

} // namespace yuccawheel::placement
