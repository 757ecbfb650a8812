#include "settings/problem.h"

#include <fmt/core.h>

namespace yuccawheel::settings
{

std::string toString(const Problem &problem)
{
    const std::string place = problem.line > 0 ? fmt::format("{}:{}", problem.file, problem.line) : problem.file;
    const std::string key = problem.key.empty() ? "" : problem.key + ": ";
    return fmt::format("{}: {}found {}, allowed: {}", place, key, problem.found, problem.allowed);
}

std::string toString(const Problems &problems)
{
    std::string text;
    for (const Problem &problem : problems) {
        text += toString(problem) + '\n';
    }
    return text;
}

} // namespace yuccawheel::settings
