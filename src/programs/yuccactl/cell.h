#pragma once

#include "programs/yuccactl/entry_client.h"

#include <string>

namespace yuccawheel::programs::yuccactl
{

/// Formats a JSON value as one line of text. Resources and task ranges are recognized by the fields of the object,
/// points in time (`_at_ms`) and durations (`_ms`) by the suffix of the key.
std::string formatCell(const std::string &key, const Json &value);

/// Replaces control characters by spaces: names in answers come from other programs and must not send escape sequences
/// to the terminal.
std::string replaceControlCharacters(std::string text);

} // namespace yuccawheel::programs::yuccactl
