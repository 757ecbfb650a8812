#pragma once

#include "daemon/daemon.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>

namespace yuccawheel::entry
{

/// Queries the resource usage of each daemon in the settings over temporary connections. Calls `done` once with an
/// array of one object per daemon; for a daemon that does not answer in time it has only node, role and "silent".
void surveyCosts(daemon::Context &context, std::function<void(const nlohmann::json &)> done);

} // namespace yuccawheel::entry
