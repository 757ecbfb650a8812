#pragma once

#include <string>
#include <vector>

namespace yuccawheel::settings
{

/// One fault in a settings file or an operators' document.
struct Problem {
    std::string file;
    int line = 0; ///< Counted from 1; 0 if the whole file is meant.
    std::string key; ///< Path of the key, for example `listen.caller` or `batch[2].resources.cpu`.
    std::string found;
    std::string allowed;
};

using Problems = std::vector<Problem>;

/// Returns `FILE:LINE: KEY: found FOUND, allowed: ALLOWED`.
std::string toString(const Problem &problem);
/// Returns one line a problem, each ended by a line break.
std::string toString(const Problems &problems);

} // namespace yuccawheel::settings
