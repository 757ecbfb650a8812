#pragma once

#include "placement/resources.h"

#include <nlohmann/json_fwd.hpp>

namespace yuccawheel::placement
{

/// Writes an amount with the keys of the external protocols: `milli_cpu`, `memory_mib`, `accelerators`.
void to_json(nlohmann::json &object, const Resources &amount);

} // namespace yuccawheel::placement
