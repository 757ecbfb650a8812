#include "settings/process_settings.h"

#include "settings/reader.h"
#include "settings/setting_table.h"
#include "settings/units.h"

#include <fmt/core.h>

#include <filesystem>
#include <set>

namespace yuccawheel::settings
{

namespace
{

// With fewer, a few lost heartbeats would let leases expire and stop healthy tasks.
constexpr int MinHeartbeatsPerLease = 4;
// With fewer, a slightly late heartbeat on a busy VM would count as a failure.
constexpr int MinHeartbeatsPerTimeout = 3;

void checkUniqueNodes(const std::vector<Peer> &peers, const std::string &key, Reader &root)
{
    std::set<std::string> nodes;
    for (const Peer &peer : peers) {
        if (!nodes.insert(peer.node).second) {
            root.reportInvalid(key, fmt::format("a list with each node once, but {} is listed twice", peer.node));
        }
    }
}

void checkCombinations(const ProcessSettings &settings, Reader &root)
{
    checkUniqueNodes(settings.stores, "stores", root);
    checkUniqueNodes(settings.entries, "entries", root);
    checkUniqueNodes(settings.schedulers, "schedulers", root);
    if (settings.lease < settings.heartbeat * MinHeartbeatsPerLease) {
        root.reportInvalid("lease",
                           fmt::format("at least {} heartbeats, here {}",
                                       MinHeartbeatsPerLease,
                                       formatDuration(settings.heartbeat * MinHeartbeatsPerLease)));
    }
    if (settings.peerTimeoutMin < settings.heartbeat * MinHeartbeatsPerTimeout) {
        root.reportInvalid("peer_timeout_min",
                           fmt::format("at least {} heartbeats, here {}",
                                       MinHeartbeatsPerTimeout,
                                       formatDuration(settings.heartbeat * MinHeartbeatsPerTimeout)));
    }
    if (settings.peerTimeoutMax < settings.peerTimeoutMin) {
        root.reportInvalid("peer_timeout_max",
                           fmt::format("at least peer_timeout_min, here {}", formatDuration(settings.peerTimeoutMin)));
    }
}

/// A parsed settings file.
struct Source {
    std::string file;
    YAML::Node node;
};

std::optional<Source> readSource(const std::string &file, Problems &problems)
{
    const auto text = readFile(file, MaxSettingsFileBytes);
    if (!text) {
        problems.push_back(text.error());
        return std::nullopt;
    }
    auto node = parseYaml(*text, file);
    if (!node) {
        problems.push_back(node.error());
        return std::nullopt;
    }
    return Source{file, *node};
}

std::optional<Source> readIncluded(const Source &source, Problems &problems)
{
    Problems ignored;
    const auto path = Reader(source.file, source.node, "", ignored).read("include", pathRule());
    if (!path) {
        return std::nullopt;
    }
    return readSource((std::filesystem::path(source.file).parent_path() / *path).string(), problems);
}

} // namespace

tl::expected<ProcessSettings, Problems> loadProcessSettings(const std::string &file, Program program)
{
    Problems problems;
    const auto source = readSource(file, problems);
    if (!source) {
        return tl::unexpected(problems);
    }
    Reader root(source->file, source->node, "", problems);
    root.read("include", pathRule());
    if (const auto included = readIncluded(*source, problems)) {
        root.merge(Reader(included->file, included->node, "", problems));
    }
    ProcessSettings settings;
    readSettings(root, program, settings);
    if (problems.empty()) {
        checkCombinations(settings, root);
    }
    if (!problems.empty()) {
        return tl::unexpected(problems);
    }
    return settings;
}

Problem problemAt(const ProcessSettings &settings, std::string_view key, std::string allowed)
{
    for (const KeyPosition &position : settings.positions) {
        if (position.key == key) {
            return {position.file, position.line, position.key, position.value, std::move(allowed)};
        }
    }
    return {"", 0, std::string(key), "nothing", std::move(allowed)};
}

} // namespace yuccawheel::settings
