#pragma once

#include "workflow/configuration.h"
#include "workflow/job.h"
#include "workflow/worker.h"

#include <string>
#include <string_view>

namespace yuccawheel::platform
{

/// The decoders throw FormatError if a body is malformed or lacks a required field.
workflow::JobSpec decodeJob(std::string_view body);
workflow::Configuration decodeConfiguration(std::string_view body);
/// `id` is the worker id from the request path.
workflow::WorkerReport decodeReport(const std::string &id, std::string_view body);
/// Decodes the report of a worker that leaves. `id` is the worker id from the request path.
workflow::WorkerReport decodeFinalReport(const std::string &id, std::string_view body);

} // namespace yuccawheel::platform
