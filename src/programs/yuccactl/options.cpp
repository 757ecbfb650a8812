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

cxxopts::Options describeOptions()
{
    cxxopts::Options options("yuccactl", "Drives a yuccawheel cluster.");
    const auto text = [] {
        return cxxopts::value<std::string>();
    };
    options.add_options()("settings", "settings file (YAML); default: $YUCCACTL_SETTINGS", text(), "FILE")(
        "check",
        "check the settings file and exit")("entry",
                                            "operator address of an entry; may be repeated",
                                            cxxopts::value<std::vector<std::string>>(),
                                            "IP:PORT")("token-file", "file of the operators' token", text(), "FILE")(
        "state-dir", "folder of unacknowledged submissions", text(), "FOLDER")(
        "timeout", "longest wait for one entry", text(), "DURATION")(
        "format", "text or json", text()->default_value("text"))("version", "print the version")("help",
                                                                                                 "print this help");
    options.add_options("submit")("dry-run", "print what would change and send nothing")(
        "expected-version", "refuse if another version is in force; default: the version of the diff", text(), "N")(
        "abandon", "forget an unacknowledged submission of an earlier document")(
        "wait", "wait until the change is in force everywhere", text(), "DURATION");
    options.add_options("watch and report")(
        "interval", "time between two looks", text()->default_value("1s"), "DURATION")(
        "since", "how far back the report goes", text()->default_value("12h"), "DURATION")(
        "state", "list only jobs in this state", text(), "STATE");
    options.add_options("hidden")("arguments", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"arguments"});
    return options;
}

/// Collects the first fault while options are read one after another.
class OptionReader
{
public:
    explicit OptionReader(const cxxopts::ParseResult &parsed) : parsed_(parsed)
    {
    }

    bool flag(const std::string &name) const
    {
        return parsed_.count(name) > 0;
    }

    template <typename Value, typename Target>
    void value(const std::string &name, const Rule<Value> &rule, Target &target)
    {
        if (parsed_.count(name) == 0 && !parsed_[name].has_default()) {
            return;
        }
        convert(name, parsed_[name].template as<std::string>(), rule, [&](Value value) { target = std::move(value); });
    }

    void endpoints(const std::string &name, std::vector<settings::Endpoint> &target)
    {
        if (parsed_.count(name) == 0) {
            return;
        }
        target.clear();
        for (const std::string &text : parsed_[name].as<std::vector<std::string>>()) {
            convert(name, text, settings::endpointRule(false), [&](settings::Endpoint endpoint) {
                target.push_back(std::move(endpoint));
            });
        }
    }

    const std::string &fault() const
    {
        return fault_;
    }

private:
    template <typename Value, typename Store>
    void convert(const std::string &name, const std::string &text, const Rule<Value> &rule, Store store)
    {
        auto value = rule.parse(text);
        if (value) {
            store(std::move(*value));
        } else if (fault_.empty()) {
            fault_ = fmt::format("--{}: found '{}', allowed: {}", name, text, rule.allowed);
        }
    }

    const cxxopts::ParseResult &parsed_;
    std::string fault_;
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

tl::expected<Options, std::string> convert(const cxxopts::ParseResult &parsed)
{
    Options options;
    OptionReader reader(parsed);
    options.help = reader.flag("help");
    options.version = reader.flag("version");
    if (options.help || options.version) {
        return options;
    }
    auto client = readClientSettings(parsed);
    if (!client) {
        return tl::unexpected(client.error());
    }
    options.client = std::move(*client);
    options.checkSettings = reader.flag("check");
    options.dryRun = reader.flag("dry-run");
    options.abandon = reader.flag("abandon");
    reader.endpoints("entry", options.client.entries);
    reader.value("token-file", settings::pathRule(), options.client.tokenFile);
    reader.value("state-dir", settings::pathRule(), options.client.stateDir);
    reader.value("timeout", settings::durationRule(100ms, 10min), options.client.timeout);
    reader.value("format", settings::choiceRule<bool>({{"text", false}, {"json", true}}), options.json);
    reader.value("expected-version", settings::integerRule(0, INT64_MAX), options.expectedVersion);
    reader.value("wait", settings::durationRule(100ms, 24h), options.wait);
    reader.value("interval", settings::durationRule(10ms, 1h), options.interval);
    reader.value("since", settings::durationRule(1s, 24h * 365), options.since);
    reader.value("state", settings::nameRule(), options.state);
    if (!reader.fault().empty()) {
        return tl::unexpected(reader.fault());
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
    auto options = describeOptions();
    try {
        return convert(options.parse(argc, argv));
    } catch (const cxxopts::exceptions::exception &exception) {
        return tl::unexpected(std::string(exception.what()));
    }
}

std::string optionHelp()
{
    const std::string help = describeOptions().help({"", "submit", "watch and report"}, false);
    // The usage lines of the library know nothing of commands.
    return help.substr(help.find("\n\n") + 1);
}

} // namespace yuccawheel::programs::yuccactl
