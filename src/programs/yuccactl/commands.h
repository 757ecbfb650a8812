#pragma once

#include "programs/yuccactl/session.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace yuccawheel::programs::yuccactl
{

/// One command of the program.
struct Command {
    std::string_view name; ///< One or two words.
    std::string_view arguments;
    std::string_view brief;
    std::size_t argumentCount = 0;
    bool needsEntry = true;
    ExitCode (*run)(const Session &session) = nullptr;
    std::size_t optionalArguments = 0;
};

const std::vector<Command> &commands();

ExitCode runCheck(const Session &session);
ExitCode runDescribe(const Session &session);
ExitCode runSubmit(const Session &session);
ExitCode runReport(const Session &session);
ExitCode runWatch(const Session &session);
/// Puts the lines about one job from the logs of all processes in order of time.
ExitCode runTrace(const Session &session);
/// Waits until every daemon has a version of the configuration.
ExitCode waitInForce(const Session &session, std::uint64_t version);

} // namespace yuccawheel::programs::yuccactl
