#pragma once

#include "placement/job.h"

#include <nlohmann/json.hpp>

namespace yuccawheel::settings
{

/// Returns a job or service with the keys and values of the document format; empty fields are omitted. A JSON object
/// that lists such objects below `services` and `teams` is itself a document that `parseDocument` can read.
nlohmann::ordered_json toJson(const placement::JobSpec &job);
nlohmann::ordered_json toJson(const placement::TeamQuota &team);

} // namespace yuccawheel::settings
