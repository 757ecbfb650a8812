#include "workflow/manager_port.h"

namespace yuccawheel::workflow
{

std::string_view toString(OrderOutcome outcome)
{
    constexpr std::string_view Names[] = {"done",
                                          "no_answer",
                                          "unhealthy",
                                          "stale_fence",
                                          "old_run",
                                          "too_late",
                                          "no_room",
                                          "no_ticket",
                                          "other_life",
                                          "malformed"};
    return Names[static_cast<std::size_t>(outcome)];
}

} // namespace yuccawheel::workflow
