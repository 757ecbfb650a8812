#include "programs/yuccactl/options.h"

#include "settings/rule.h"
#include "settings/units.h"

#include <cxxopts.hpp>
#include <fmt/core.h>

#include <cstdlib>

namespace yuccawheel::programs::yuccactl
{

namespace
{

using namespace std::chrono_literals;
using settings::Rule;

constexpr const char *SettingsVariable = "YUCCACTL_SETTINGS";

cxxopts::Options declareOptions()
{
    cxxopts::Options options("yuccactl", "Operates a yuccawheel cluster.");
    const auto text = [] {
        return cxxopts::value<std::string>();
    };
    options.add_options()("settings", "settings file (YAML); default: $YUCCACTL_SETTINGS", text(), "FILE")(
        "check",
        "check the settings file and exit")("entry",
                                            "operator address of an entry; may be repeated",
                                            cxxopts::value<std::vector<std::string>>(),
                                            "IP:PORT")("token-file", "file with the operators' token", text(), "FILE")(
        "state-dir", "folder for records of unacknowledged submissions", text(), "FOLDER")(
        "timeout", "timeout of a request to one entry", text(), "DURATION")(
        "format", "text or json", text()->default_value("text"))("version", "print the version")("help",
                                                                                                 "print this help");
    options.add_options("submit")("dry-run", "print what would change and send nothing")(
        "expected-version", "refuse if another version is in force; default: the version of the diff", text(), "N")(
        "abandon", "discard the unacknowledged submission of an earlier content of the document")(
        "wait", "wait until the change is in force everywhere", text(), "DURATION");
    options.add_options("watch and report")(
        "interval", "time between two polls", text()->default_value("1s"), "DURATION")(
        "since", "how far back the report goes", text()->default_value("12h"), "DURATION")(
        "state", "list only jobs in this state", text(), "STATE");
    options.add_options("hidden")("arguments", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"arguments"});
    return options;
}

/// Reads and validates options one by one and keeps the first error.
class OptionReader
{
public:
    explicit OptionReader(const cxxopts::ParseResult &parsed) : parsed_(parsed)
    {
    }

    bool hasFlag(const std::string &name) const
    {
        return parsed_.count(name) > 0;
    }

    template <typename Value, typename Target>
    void readValue(const std::string &name, const Rule<Value> &rule, Target &target)
    {
        if (parsed_.count(name) == 0 && !parsed_[name].has_default()) {
            return;
        }
        parseValue(
            name, parsed_[name].template as<std::string>(), rule, [&](Value value) { target = std::move(value); });
    }

    void readEndpoints(const std::string &name, std::vector<settings::Endpoint> &target)
    {
        if (parsed_.count(name) == 0) {
            return;
        }
        target.clear();
        for (const std::string &text : parsed_[name].as<std::vector<std::string>>()) {
            parseValue(name, text, settings::endpointRule(false), [&](settings::Endpoint endpoint) {
                target.push_back(std::move(endpoint));
            });
        }
    }

    const std::string &error() const
    {
        return error_;
    }

private:
    template <typename Value, typename Store>
    void parseValue(const std::string &name, const std::string &text, const Rule<Value> &rule, Store store)
    {
        auto value = rule.parse(text);
        if (value) {
            store(std::move(*value));
        } else if (error_.empty()) {
            error_ = fmt::format("--{}: found '{}', allowed: {}", name, text, rule.allowed);
        }
    }

    const cxxopts::ParseResult &parsed_;
    std::string error_;
};

tl::expected<settings::ClientSettings, std::string> readClientSettings(const cxxopts::ParseResult &parsed)
{
    const char *const variable = std::getenv(SettingsVariable);
    const std::string file = parsed.count("settings") > 0 ? parsed["settings"].as<std::string>()
                                                          : std::string(variable == nullptr ? "" : variable);
    if (file.empty()) {
        return settings::defaultClientSettings();
    }
    return settings::loadClientSettings(file).map_error(
        [](const settings::Problems &problems) { return settings::toString(problems); });
}

tl::expected<Options, std::string> readOptions(const cxxopts::ParseResult &parsed)
{
    Options options;
    OptionReader reader(parsed);
    options.help = reader.hasFlag("help");
    options.version = reader.hasFlag("version");
    if (options.help || options.version) {
        return options;
    }
    auto client = readClientSettings(parsed);
    if (!client) {
        return tl::unexpected(client.error());
    }
    options.client = std::move(*client);
    options.checkSettings = reader.hasFlag("check");
    options.dryRun = reader.hasFlag("dry-run");
    options.abandon = reader.hasFlag("abandon");
    reader.readEndpoints("entry", options.client.entries);
    reader.readValue("token-file", settings::pathRule(), options.client.tokenFile);
    reader.readValue("state-dir", settings::pathRule(), options.client.stateDir);
    reader.readValue("timeout", settings::durationRule(100ms, 10min), options.client.timeout);
    reader.readValue("format", settings::choiceRule<bool>({{"text", false}, {"json", true}}), options.json);
    reader.readValue("expected-version", settings::integerRule(0, INT64_MAX), options.expectedVersion);
    reader.readValue("wait", settings::durationRule(100ms, 24h), options.wait);
    reader.readValue("interval", settings::durationRule(10ms, 1h), options.interval);
    reader.readValue("since", settings::durationRule(1s, 24h * 365), options.since);
    reader.readValue("state", settings::nameRule(), options.state);
    if (!reader.error().empty()) {
        return tl::unexpected(reader.error());
    }
    if (parsed.count("arguments") > 0) {
        options.arguments = parsed["arguments"].as<std::vector<std::string>>();
        options.command = options.arguments.front();
        options.arguments.erase(options.arguments.begin());
    }
    return options;
}

} // namespace

tl::expected<Options, std::string> parseOptions(int argc, char **argv)
{
    auto options = declareOptions();
    try {
        return readOptions(options.parse(argc, argv));
    } catch (const cxxopts::exceptions::exception &exception) {
        return tl::unexpected(std::string(exception.what()));
    }
}

std::string optionHelp()
{
    const std::string help = declareOptions().help({"", "submit", "watch and report"}, false);
    // Skips the usage lines of cxxopts, which do not mention commands.
    return help.substr(help.find("\n\n") + 1);
}

} // namespace yuccawheel::programs::yuccactl
