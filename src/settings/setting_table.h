#pragma once

#include "settings/process_settings.h"
#include "settings/reader.h"

namespace yuccawheel::settings
{

/// Reads all settings; reports unknown keys and missing keys that the program requires.
void readSettings(Reader &root, Program program, ProcessSettings &settings);

} // namespace yuccawheel::settings
