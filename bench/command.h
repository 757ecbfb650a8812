#pragma once

#include <string_view>

namespace yuccawheel::bench
{

/// Subcommand of `yw-bench`. `run` is called like main(), with the subcommand as argv[0], and returns the exit code.
struct Command {
    std::string_view name;
    std::string_view brief;
    int (*run)(int argc, char **argv);
};

} // namespace yuccawheel::bench
