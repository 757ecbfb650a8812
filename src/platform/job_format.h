#pragma once

#include "workflow/configuration.h"
#include "workflow/job.h"
#include "workflow/worker.h"

#include <string>
#include <string_view>

namespace yuccawheel::platform
{

/// Each throws FormatError for a body that can't be read in full.
workflow::JobSpec decodeJob(std::string_view body);
workflow::Configuration decodeConfiguration(std::string_view body);
/// `id` comes from the path of the report.
workflow::WorkerReport decodeReport(const std::string &id, std::string_view body);

} // namespace yuccawheel::platform
