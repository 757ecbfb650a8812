#pragma once

#include <string_view>

namespace yuccawheel::bench
{

/// One measurement of `yw-bench`. `run` takes the arguments after its name, like a main function.
struct Command {
    std::string_view name;
    std::string_view brief;
    int (*run)(int argc, char **argv);
};

} // namespace yuccawheel::bench
