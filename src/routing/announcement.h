#pragma once

#include "routing/types.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace yuccawheel::routing
{

/// Reason why a heartbeat could not be parsed; sent back to the upstream.
struct AnnouncementError {
    std::string message;
};

/// Parses the JSON body of an upstream's heartbeat.
tl::expected<UpstreamAnnouncement, AnnouncementError> parseAnnouncement(std::string_view json);

/// Returns the JSON body of a heartbeat.
std::string formatAnnouncement(const UpstreamAnnouncement &announcement);

} // namespace yuccawheel::routing
