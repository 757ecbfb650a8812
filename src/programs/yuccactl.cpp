#include "programs/yuccactl/commands.h"
#include "settings/token_file.h"

#include <fmt/core.h>

#include <cstdio>

namespace
{

using namespace yuccawheel::programs::yuccactl;

std::string usage()
{
    std::string text = "usage: yuccactl COMMAND [ARGUMENT...] [OPTION...]\n\ncommands:\n";
    for (const Command &command : commands()) {
        text += fmt::format("  {:<32} {}\n", fmt::format("{} {}", command.name, command.arguments), command.brief);
    }
    return text + "\noptions:\n" + optionHelp()
        + "\nexit codes: 0 done, 1 failed, 2 wrong command line or document, 3 conflict, 4 did not run,\n"
          "5 may have run (run the same command again), 6 token refused\n";
}

/// Finds the command by its one or two words and removes a second word from the arguments. Returns null if unknown.
const Command *findCommand(Options &options)
{
    if (!options.arguments.empty()) {
        const std::string twoWords = options.command + " " + options.arguments.front();
        for (const Command &command : commands()) {
            if (command.name == twoWords) {
                options.arguments.erase(options.arguments.begin());
                return &command;
            }
        }
    }
    for (const Command &command : commands()) {
        if (command.name == options.command) {
            return &command;
        }
    }
    return nullptr;
}

bool acceptsArgumentCount(const Command &command, std::size_t arguments)
{
    return arguments >= command.requiredArguments && arguments <= command.requiredArguments + command.optionalArguments;
}

ExitCode usageError(const std::string &message)
{
    fmt::print(stderr, "yuccactl: {}\nsee yuccactl --help\n", message);
    return ExitCode::Usage;
}

ExitCode runCommand(Options options)
{
    const Command *const command = findCommand(options);
    if (command == nullptr) {
        return usageError("unknown command '" + options.command + "'");
    }
    if (!acceptsArgumentCount(*command, options.arguments.size())) {
        return usageError(fmt::format("usage: yuccactl {} {}", command->name, command->arguments));
    }
    std::string token;
    if (command->needsEntry) {
        if (options.client.entries.empty()) {
            return usageError("no entry address is configured; use --entry IP:PORT or a settings file");
        }
        if (!options.client.tokenFile.empty()) {
            const auto tokens = yuccawheel::settings::readTokens(options.client.tokenFile);
            if (!tokens) {
                return usageError(tokens.error());
            }
            token = tokens->front();
        }
    }
    EntryClient client(options.client.entries, std::move(token), options.client.timeout);
    return command->run(Session(std::move(options), std::move(client)));
}

ExitCode run(int argc, char **argv)
{
    auto options = parseOptions(argc, argv);
    if (!options) {
        return usageError(options.error());
    }
    if (options->help) {
        fmt::print("{}", usage());
        return ExitCode::Ok;
    }
    if (options->version) {
        fmt::print("yuccactl {}\n", YW_VERSION);
        return ExitCode::Ok;
    }
    if (options->checkSettings) {
        return ExitCode::Ok;
    }
    return runCommand(std::move(*options));
}

} // namespace

int main(int argc, char **argv)
{
    return static_cast<int>(run(argc, argv));
}
