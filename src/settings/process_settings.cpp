#include "settings/process_settings.h"

#include "settings/reader.h"
#include "settings/setting_table.h"
#include "settings/units.h"

#include <fmt/core.h>

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <set>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace yuccawheel::settings
{

namespace
{

constexpr std::size_t LongestSettingsFile = 1U << 20U;
// A lease must outlive a few lost heartbeats, or a short network fault would stop healthy tasks.
constexpr int HeartbeatsPerLease = 4;

void checkUniqueNodes(const std::vector<Peer> &peers, const std::string &key, Reader &root)
{
    std::set<std::string> nodes;
    for (const Peer &peer : peers) {
        if (!nodes.insert(peer.node).second) {
            root.reportValue(key, fmt::format("each node once, but {} stands twice", peer.node));
        }
    }
}

void checkTogether(const ProcessSettings &settings, Reader &root)
{
    checkUniqueNodes(settings.stores, "stores", root);
    checkUniqueNodes(settings.entries, "entries", root);
    checkUniqueNodes(settings.schedulers, "schedulers", root);
    if (settings.lease < settings.heartbeat * HeartbeatsPerLease) {
        root.reportValue("lease",
                         fmt::format("at least {} heartbeats, here {}",
                                     HeartbeatsPerLease,
                                     formatDuration(settings.heartbeat * HeartbeatsPerLease)));
    }
}

/// The settings file and the one that it includes, joined into one mapping.
struct Source {
    std::string file;
    YAML::Node node;
};

std::optional<Source> readSource(const std::string &file, Problems &problems)
{
    const auto text = readFile(file, LongestSettingsFile);
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
        checkTogether(settings, root);
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

namespace
{

/// A listening socket that is closed with its owner.
class TrialListener
{
public:
    TrialListener() = default;
    TrialListener(TrialListener &&other) noexcept : descriptor_(std::exchange(other.descriptor_, -1))
    {
    }
    TrialListener &operator=(TrialListener &&) = delete;
    ~TrialListener()
    {
        if (descriptor_ >= 0) {
            close(descriptor_);
        }
    }

    /// Binds as the daemons do. Returns 0 or an error number.
    int open(const Endpoint &endpoint)
    {
        sockaddr_in6 six{};
        sockaddr_in four{};
        six.sin6_family = AF_INET6;
        six.sin6_port = htons(endpoint.port);
        inet_pton(AF_INET6, endpoint.ip.c_str(), &six.sin6_addr);
        four.sin_family = AF_INET;
        four.sin_port = htons(endpoint.port);
        inet_pton(AF_INET, endpoint.ip.c_str(), &four.sin_addr);
        return endpoint.isIpv6() ? listenOn(AF_INET6, reinterpret_cast<const sockaddr *>(&six), sizeof(six))
                                 : listenOn(AF_INET, reinterpret_cast<const sockaddr *>(&four), sizeof(four));
    }

private:
    int listenOn(int family, const sockaddr *address, socklen_t length)
    {
        const int on = 1;
        descriptor_ = socket(family, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const bool bound = descriptor_ >= 0 && setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0
            && bind(descriptor_, address, length) == 0 && listen(descriptor_, 1) == 0;
        return bound ? 0 : errno;
    }

    int descriptor_ = -1;
};

} // namespace

Problems checkListeners(const ProcessSettings &settings)
{
    Problems problems;
    // All stay open until the end, so that two keys with one address are found too.
    std::vector<TrialListener> open;
    const auto check = [&](const std::optional<Endpoint> &endpoint, std::string_view key) {
        const int error = endpoint ? open.emplace_back().open(*endpoint) : 0;
        if (error != 0) {
            problems.push_back(
                problemAt(settings, key, fmt::format("an address of this VM that is free ({})", std::strerror(error))));
        }
    };
    check(settings.listen.caller, "listen.caller");
    check(settings.listen.operators, "listen.operator");
    check(settings.listen.upstream, "listen.upstream");
    check(settings.listen.worker, "listen.worker");
    check(settings.listen.inner, "listen.inner");
    check(settings.listen.health, "listen.health");
    return problems;
}

} // namespace yuccawheel::settings
