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

/// What the command line and the settings file ask for.
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
    std::optional<std::uint64_t> expectedVersion;
    std::optional<std::chrono::milliseconds> wait;
    std::chrono::milliseconds interval{0};
    std::chrono::milliseconds since{0};
    std::string state;
};

/// Parses the command line. The error is a text for the user.
tl::expected<Options, std::string> parseOptions(int argc, char **argv);

/// Returns the description of the options.
std::string optionHelp();

} // namespace yuccawheel::programs::yuccactl
