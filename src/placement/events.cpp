#include "placement/events.h"

namespace yuccawheel::placement
{

std::string_view toString(StopReason reason)
{
    switch (reason) {
    case StopReason::Cancelled:
        return "cancelled";
    case StopReason::Preempted:
        return "preempted";
    case StopReason::Drained:
        return "drained";
    case StopReason::Overgrown:
        return "overgrown";
    case StopReason::NotOurs:
        return "not_ours";
    case StopReason::GangRollback:
        return "gang_rollback";
    case StopReason::Consolidated:
        return "consolidated";
    case StopReason::Missing:
        return "missing";
    case StopReason::DoneEarlier:
        return "done_earlier";
    }
    return "unknown";
}

} // namespace yuccawheel::placement
