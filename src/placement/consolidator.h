#pragma once

#include "placement/zone_state.h"

namespace yuccawheel::placement
{

/// Empties VMs of little use onto other busy ones by checkpoint, so that they can stay quiet. One at a time, and only a
/// VM that has been of little use for a while, so that load that comes and goes moves nothing.
class Consolidator
{
public:
    explicit Consolidator(ZoneState &zone) : zone_(zone)
    {
    }

    /// Looks for a VM to empty, now and then.
    void run();

private:
    bool little(WorkerId worker) const;
    /// Returns the workers that have been of little use for a while, and notes since when others are.
    std::vector<WorkerId> littleUsed();
    bool movable(LiveHandle live) const;
    bool fitsElsewhere(WorkerId worker) const;
    void empty(WorkerId worker);

    ZoneState &zone_;
    base::TimePoint next_;
    WorkerId resting_ = NoHandle;
    base::TimePoint restingUntil_;
};

} // namespace yuccawheel::placement
