#pragma once

#include "protocol/identity.h"

#include <string>

namespace yuccawheel::daemon
{

/// Returns the resource usage of this process since its start as JSON: node, role, zone, up_ms, cpu_ms, resident_kib,
/// sent_bytes and received_bytes. Bytes count control traffic only.
std::string costJson(const protocol::Identity &self);

} // namespace yuccawheel::daemon
