#pragma once

#include "programs/yuccactl/session.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace yuccawheel::programs::yuccactl
{

/// An entry of the command table.
struct Command {
    std::string_view name; ///< One or two words.
    std::string_view arguments; ///< As shown in the help, for example `JOB LOG...`.
    std::string_view brief;
    std::size_t requiredArguments = 0;
    bool needsEntry = true; ///< Whether the command sends requests to an entry.
    ExitCode (*run)(const Session &session) = nullptr;
    std::size_t optionalArguments = 0; ///< Maximum number of arguments beyond the required ones.
};

const std::vector<Command> &commands();

ExitCode runCheck(const Session &session);
ExitCode runDescribe(const Session &session);
ExitCode runSubmit(const Session &session);
ExitCode runReport(const Session &session);
ExitCode runWatch(const Session &session);
/// Merges the log lines about one job from the log files of several processes in order of time.
ExitCode runTrace(const Session &session);
/// Waits until every daemon has at least this configuration version, or until --wait has passed.
ExitCode waitUntilInForce(const Session &session, std::uint64_t version);

} // namespace yuccawheel::programs::yuccactl
