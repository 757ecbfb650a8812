#pragma once

#include "placement/job.h"

#include <nlohmann/json.hpp>

namespace yuccawheel::settings
{

/// Returns a job or service with the keys and values of the document; fields that hold nothing are left out.
/// The text of such objects, listed below `services` or `teams`, is itself a document that `parseDocument` reads.
nlohmann::ordered_json toJson(const placement::JobSpec &job);
nlohmann::ordered_json toJson(const placement::TeamQuota &team);

} // namespace yuccawheel::settings
