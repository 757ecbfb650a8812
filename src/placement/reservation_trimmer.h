#pragma once

#include "placement/events.h"
#include "placement/zone_state.h"

namespace yuccawheel::placement
{

/// Lowers the reservations of running tasks to what they use, with a margin.
/// The worker is told the lower limit first; the reservation follows once a report says that this limit is in force, so
/// the ledger always covers what the worker may still allow.
class ReservationTrimmer
{
public:
    explicit ReservationTrimmer(ZoneState &zone) : zone_(zone)
    {
    }

    /// Takes a report of a running task.
    void reported(LiveHandle live, const TaskReport &report);

private:
    void confirm(LiveHandle live, const Resources &limit);
    static void countSteady(LiveTask &task, const Resources &usage);
    static Resources target(const LiveTask &task, const Resources &usage);
    void lower(LiveTask &task, const Resources &limit);

    ZoneState &zone_;
};

} // namespace yuccawheel::placement
