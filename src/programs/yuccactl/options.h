#pragma once

#include "settings/client_settings.h"

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace yuccawheel::programs::yuccactl
{

/// Command and options from the command line and the settings file.
struct Options {
    std::string command;
    std::vector<std::string> arguments;
    settings::ClientSettings client;
    bool json = false;
    bool dryRun = false;
    bool abandon = false;
    bool help = false;
    bool version = false;
    bool checkSettings = false;
    std::optional<std::uint64_t> expectedVersion; ///< Configuration version that a submission requires.
    std::optional<std::chrono::milliseconds> wait; ///< Time limit of `submit --wait` and `watch`.
    std::chrono::milliseconds interval{0}; ///< Poll interval.
    std::chrono::milliseconds since{0}; ///< Length of the period that `report` covers, up to now.
    std::string state; ///< Job state that `list` filters by, or empty.
};

/// Parses the command line and loads the settings file. The error is a message for the user.
tl::expected<Options, std::string> parseOptions(int argc, char **argv);

/// Returns the options section of the help text.
std::string optionHelp();

} // namespace yuccawheel::programs::yuccactl
