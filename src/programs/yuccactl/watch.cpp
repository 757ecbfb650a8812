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

constexpr std::array<std::string_view, 4> EndedWell{"succeeded", "finished", "done", "removed"};
constexpr std::array<std::string_view, 3> EndedBadly{"failed", "cancelled", "never_fits"};

template <typename States>
bool isOneOf(const States &states, const Json &job)
{
    const std::string state = job.value("state", "");
    return std::find(states.begin(), states.end(), state) != states.end();
}

/// Asks again and again, prints each answer that differs, and ends when `ended` gives an exit code.
/// An entry that can't be reached is asked again; a refusal ends the watch.
template <typename Ended>
ExitCode follow(const Session &session, const std::string &target, Ended ended)
{
    const auto limit = session.options().wait;
    const auto start = Clock::now();
    Json last;
    while (true) {
        const auto answer = session.client().get(target);
        if (answer) {
            if (*answer != last) {
                last = *answer;
                session.printStep(last);
            }
            if (const auto code = ended(last)) {
                return *code;
            }
        } else if (answer.error().code != ExitCode::NotRun && answer.error().code != ExitCode::MayHaveRun) {
            return session.fail(answer.error());
        } else {
            printProgress("waiting for an entry: " + answer.error().message);
        }
        if (limit && Clock::now() - start >= *limit) {
            return session.fail(ExitCode::NotRun, "not ended within --wait; run watch again to go on");
        }
        std::this_thread::sleep_for(session.options().interval);
    }
}

/// Number of daemons that don't have the version yet.
std::size_t countBehind(const Json &status, std::uint64_t version)
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
        return follow(session, "/v1/jobs", [](const Json & /*jobs*/) { return std::optional<ExitCode>(); });
    }
    return follow(session, "/v1/jobs/" + escapePath(arguments.at(0)), [](const Json &job) -> std::optional<ExitCode> {
        if (isOneOf(EndedWell, job)) {
            return ExitCode::Ok;
        }
        return isOneOf(EndedBadly, job) ? std::optional(ExitCode::Failed) : std::nullopt;
    });
}

ExitCode waitInForce(const Session &session, std::uint64_t version)
{
    const auto limit = session.options().wait.value_or(std::chrono::milliseconds(0));
    const auto start = Clock::now();
    while (true) {
        const auto status = session.client().get("/v1/configuration/status");
        const std::size_t behind = status ? countBehind(*status, version) : 0;
        if (status && behind == 0) {
            printProgress(fmt::format("version {} is in force everywhere", version));
            return ExitCode::Ok;
        }
        printProgress(status ? fmt::format("version {}: {} daemons are behind", version, behind)
                             : status.error().message);
        if (Clock::now() - start >= limit) {
            return session.fail(ExitCode::Failed,
                                "accepted, but not in force everywhere within --wait; see `yuccactl config status`");
        }
        std::this_thread::sleep_for(session.options().interval);
    }
}

} // namespace yuccawheel::programs::yuccactl
