#include "command.h"
#include "decisions.h"
#include "managers.h"
#include "place.h"
#include "policy.h"
#include "replay.h"
#include "route.h"
#include "scale.h"
#include "soak.h"
#include "state.h"

#include <fmt/core.h>

#include <array>
#include <cstdio>
#include <string_view>

namespace
{

using yuccawheel::bench::Command;

constexpr int ExitUsage = 2;

int printVersion(int /*argc*/, char ** /*argv*/)
{
    fmt::print("yw-bench {}\n", YW_VERSION);
    return 0;
}

constexpr std::array Commands{
    Command{"version", "print the version", printVersion},
    Command{
        "bench", "print the signature of the planner's decisions over a fixed mix", yuccawheel::bench::runSignature},
    Command{"route", "measure the request path on loopback", yuccawheel::bench::runRoute},
    Command{"place", "measure placements per second and decision time", yuccawheel::bench::runPlace},
    Command{"policy", "compare waiting time and packing with baseline schedulers", yuccawheel::bench::runPolicy},
    Command{"replay", "replay traces and check the outcomes that they state", yuccawheel::bench::runReplay},
    Command{"state", "measure the replicated log: appends, elections, recovery", yuccawheel::bench::runState},
    Command{"scale", "measure how cost grows with the size of the cluster", yuccawheel::bench::runScale},
    Command{"decisions", "measure what the leader's decisions cost at several sizes", yuccawheel::bench::runDecisions},
    Command{"managers", "search for broken guarantees of whole managers", yuccawheel::bench::runManagers},
    Command{"soak", "measure CPU, memory and traffic of running daemons", yuccawheel::bench::runSoak},
};

void printUsage(std::FILE *file)
{
    fmt::print(file, "usage: yw-bench COMMAND [options]\n\ncommands:\n");
    for (const Command &command : Commands) {
        fmt::print(file, "  {:<10} {}\n", command.name, command.brief);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--help") {
        printUsage(stdout);
        return 0;
    }
    for (const Command &command : Commands) {
        if (command.name == name || (name == "--version" && command.name == "version")) {
            return command.run(argc - 1, argv + 1);
        }
    }
    printUsage(stderr);
    return ExitUsage;
}
