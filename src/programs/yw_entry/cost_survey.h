#pragma once

#include "daemon/daemon.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>

namespace yuccawheel::entry
{

/// Asks every daemon of the settings what it has used, over connections that are made for it and closed after it.
/// Calls `done` once with one object a daemon; one that gives no answer in time has only node, role and "silent".
void surveyCosts(daemon::Context &context, std::function<void(const nlohmann::json &)> done);

} // namespace yuccawheel::entry
