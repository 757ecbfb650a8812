#pragma once

#include "programs/yuccactl/entry_client.h"

#include <string>
#include <vector>

namespace yuccawheel::programs::yuccactl
{

/// Formats a list of objects as a table. Without `columns` it has a column for each key that occurs in an object,
/// identifying keys such as `id` and `name` first.
std::string renderTable(const Json &rows, std::vector<std::string> columns = {});

/// Formats any answer as text: scalars as `key  value` lines, lists of objects as titled tables.
std::string render(const Json &value);

} // namespace yuccawheel::programs::yuccactl
