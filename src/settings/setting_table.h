#pragma once

#include "settings/process_settings.h"
#include "settings/reader.h"

namespace yuccawheel::settings
{

/// Reads each setting of the table that a program uses, and reports missing and unknown keys.
void readSettings(Reader &root, Program program, ProcessSettings &settings);

} // namespace yuccawheel::settings
