#pragma once

#include "placement/events.h"
#include "placement/zone_state.h"

namespace yuccawheel::placement
{

/// Lowers the reservations of running tasks to their peak usage plus a margin.
/// The lower limit is sent to the worker first. The reservation is lowered only when a report shows that the limit is
/// in force, so that the ledger always covers what the worker allows.
class ReservationTrimmer
{
public:
    explicit ReservationTrimmer(ZoneState &zone) : zone_(zone)
    {
    }

    /// Handles a report of a running task.
    void handleReport(LiveHandle live, const TaskReport &report);

private:
    void applyConfirmedLimit(LiveHandle live, const Resources &limit);
    static void updateSteadyCount(LiveTask &task, const Resources &usage);
    static Resources targetReservation(const LiveTask &task, const Resources &usage);
    void sendLowerLimit(LiveTask &task, const Resources &limit);

    ZoneState &zone_;
};

} // namespace yuccawheel::placement
