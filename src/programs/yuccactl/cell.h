#pragma once

#include "programs/yuccactl/entry_client.h"

#include <string>

namespace yuccawheel::programs::yuccactl
{

/// Returns a value on one line for people. Amounts, ranges of tasks, points in time and durations are known by the
/// shape of the value or the end of its key.
std::string formatCell(const std::string &key, const Json &value);

/// Replaces control characters, which must not reach a terminal: answers hold names that other programs chose.
std::string cleanText(std::string text);

} // namespace yuccawheel::programs::yuccactl
