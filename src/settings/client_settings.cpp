#include "settings/client_settings.h"

#include "settings/reader.h"
#include "settings/setting_row.h"

namespace yuccawheel::settings
{

namespace
{

using namespace std::chrono_literals;
using Row = SettingRow<ClientSettings>;

constexpr std::size_t MaxEntries = 64;

template <typename Value, typename Access>
Row row(const std::string &key,
        const std::string &defaultValue,
        const Rule<Value> &rule,
        Access access,
        const std::string &description)
{
    return scalarRow<ClientSettings>({key, defaultValue, rule.allowed, "", description}, rule, {}, access);
}

Row entriesRow()
{
    const auto rule = endpointRule(false);
    auto read = [rule](Reader &reader, const std::string &key, ClientSettings &settings) {
        settings.entries = reader.list(key, rule, MaxEntries);
    };
    return {{"entries", "", "a list of " + rule.allowed, "", "Operator addresses of the entries, tried in this order."},
            {},
            std::move(read)};
}

const std::vector<Row> &rows()
{
    static const std::vector<Row> table{
        entriesRow(),
        row("token_file", "", pathRule(), &ClientSettings::tokenFile, "File with the operators' token."),
        row("state_dir",
            "",
            pathRule(),
            &ClientSettings::stateDir,
            "Folder for submissions that are not acknowledged yet. If unset, they are kept beside the document."),
        row("timeout",
            "10s",
            durationRule(100ms, 10min),
            &ClientSettings::timeout,
            "Maximum time to wait for the answer of one entry."),
    };
    return table;
}

void readSettings(Reader &root, ClientSettings &settings)
{
    for (const Row &setting : rows()) {
        setting.read(root, setting.info.key, settings);
    }
    root.reportUnknownKeys();
}

} // namespace

ClientSettings defaultClientSettings()
{
    Problems none;
    ClientSettings settings;
    Reader root("", YAML::Node(YAML::NodeType::Map), "", none);
    readSettings(root, settings);
    return settings;
}

tl::expected<ClientSettings, Problems> loadClientSettings(const std::string &file)
{
    const auto node =
        readFile(file, MaxSettingsFileBytes).and_then([&](const std::string &text) { return parseYaml(text, file); });
    if (!node) {
        return tl::unexpected(Problems{node.error()});
    }
    Problems problems;
    ClientSettings settings;
    Reader root(file, *node, "", problems);
    readSettings(root, settings);
    if (!problems.empty()) {
        return tl::unexpected(problems);
    }
    return settings;
}

std::vector<SettingInfo> clientSettingInfos()
{
    std::vector<SettingInfo> infos;
    for (const Row &setting : rows()) {
        infos.push_back(setting.info);
    }
    return infos;
}

} // namespace yuccawheel::settings
