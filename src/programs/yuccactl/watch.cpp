#include "programs/yuccactl/commands.h"
#include "programs/yuccactl/render.h"

#include <fmt/core.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <thread>

namespace yuccawheel::programs::yuccactl
{

namespace
{

using Clock = std::chrono::steady_clock;

constexpr std::array<std::string_view, 4> SuccessStates{"succeeded", "finished", "done", "removed"};
constexpr std::array<std::string_view, 3> FailureStates{"failed", "cancelled", "never_fits"};

template <typename States>
bool hasState(const States &states, const Json &job)
{
    const std::string state = job.value("state", "");
    return std::find(states.begin(), states.end(), state) != states.end();
}

/// Polls `target`, prints each answer that differs from the last one, and returns when `findExitCode` gives an exit
/// code or --wait has passed. Polling goes on while no entry answers; any other failure ends it.
template <typename FindExitCode>
ExitCode pollUntilEnded(const Session &session, const std::string &target, FindExitCode findExitCode)
{
    const auto limit = session.options().wait;
    const auto start = Clock::now();
    Json last;
    while (true) {
        const auto answer = session.client().get(target);
        if (answer) {
            if (*answer != last) {
                last = *answer;
                session.printUpdate(last);
            }
            if (const auto code = findExitCode(last)) {
                return *code;
            }
        } else if (answer.error().code != ExitCode::NotRun && answer.error().code != ExitCode::MayHaveRun) {
            return session.fail(answer.error());
        } else {
            printProgress("waiting for an entry: " + answer.error().message);
        }
        if (limit && Clock::now() - start >= *limit) {
            return session.fail(ExitCode::NotRun, "--wait passed without an end state; run watch again to continue");
        }
        std::this_thread::sleep_for(session.options().interval);
    }
}

/// Returns the number of daemons whose configuration version is unknown or older than `version`.
std::size_t countOutdatedDaemons(const Json &status, std::uint64_t version)
{
    const Json daemons = status.value("daemons", Json::array());
    return static_cast<std::size_t>(std::count_if(daemons.begin(), daemons.end(), [version](const Json &daemon) {
        return !daemon.contains("version") || !daemon["version"].is_number_unsigned()
            || daemon["version"].template get<std::uint64_t>() < version;
    }));
}

} // namespace

ExitCode runWatch(const Session &session)
{
    const auto &arguments = session.options().arguments;
    if (arguments.empty()) {
        return pollUntilEnded(session, "/v1/jobs", [](const Json & /*jobs*/) { return std::optional<ExitCode>(); });
    }
    return pollUntilEnded(
        session, "/v1/jobs/" + escapePath(arguments.at(0)), [](const Json &job) -> std::optional<ExitCode> {
            if (hasState(SuccessStates, job)) {
                return ExitCode::Ok;
            }
            return hasState(FailureStates, job) ? std::optional(ExitCode::Failed) : std::nullopt;
        });
}

ExitCode waitUntilInForce(const Session &session, std::uint64_t version)
{
    const auto limit = session.options().wait.value_or(std::chrono::milliseconds(0));
    const auto start = Clock::now();
    while (true) {
        const auto status = session.client().get("/v1/configuration/status");
        const std::size_t outdated = status ? countOutdatedDaemons(*status, version) : 0;
        if (status && outdated == 0) {
            printProgress(fmt::format("version {} is in force everywhere", version));
            return ExitCode::Ok;
        }
        printProgress(status ? fmt::format("version {}: {} daemons do not have it yet", version, outdated)
                             : status.error().message);
        if (Clock::now() - start >= limit) {
            return session.fail(ExitCode::Failed,
                                "accepted, but not in force everywhere within --wait; see `yuccactl config status`");
        }
        std::this_thread::sleep_for(session.options().interval);
    }
}

} // namespace yuccawheel::programs::yuccactl
