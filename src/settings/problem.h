#pragma once

#include <string>
#include <vector>

namespace yuccawheel::settings
{

/// A problem in a settings file or an operator's document.
struct Problem {
    std::string file;
    int line = 0; ///< Starts at 1; 0 if the problem concerns the whole file.
    std::string key; ///< Path of the key, for example `listen.caller` or `batch[2].resources.cpu`.
    std::string found;
    std::string allowed;
};

using Problems = std::vector<Problem>;

/// Returns `FILE:LINE: KEY: found FOUND, allowed: ALLOWED`.
std::string toString(const Problem &problem);
/// Returns one line for each problem, each with a trailing line break.
std::string toString(const Problems &problems);

} // namespace yuccawheel::settings
