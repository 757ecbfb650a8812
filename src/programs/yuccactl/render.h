#pragma once

#include "programs/yuccactl/entry_client.h"

#include <string>
#include <vector>

namespace yuccawheel::programs::yuccactl
{

/// Returns a table of a list of objects. Without columns it has those of the first objects' keys.
std::string renderTable(const Json &rows, std::vector<std::string> columns = {});

/// Returns any answer for people: scalars as `key  value` lines, lists of objects as tables with a title.
std::string render(const Json &value);

} // namespace yuccawheel::programs::yuccactl
