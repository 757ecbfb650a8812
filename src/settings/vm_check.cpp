#include "settings/process_settings.h"
#include "settings/token_file.h"

#include <fmt/core.h>

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace yuccawheel::settings
{

namespace
{

/// Binds and listens on an address as a trial; the destructor closes the socket.
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

    /// Binds with the same socket options as the daemons. Returns 0 or an errno value.
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

void checkListeners(const ProcessSettings &settings, Problems &problems)
{
    // All listeners stay open until the end, so that two keys with the same address are detected too.
    std::vector<TrialListener> open;
    const auto check = [&](const std::optional<Endpoint> &endpoint, std::string_view key) {
        const int error = endpoint ? open.emplace_back().open(*endpoint) : 0;
        if (error != 0) {
            problems.push_back(
                problemAt(settings, key, fmt::format("a free address of this VM ({})", std::strerror(error))));
        }
    };
    check(settings.listen.caller, "listen.caller");
    check(settings.listen.operators, "listen.operator");
    check(settings.listen.upstream, "listen.upstream");
    check(settings.listen.worker, "listen.worker");
    check(settings.listen.inner, "listen.inner");
    check(settings.listen.health, "listen.health");
}

void checkTokenFile(const ProcessSettings &settings, Problems &problems)
{
    if (settings.tokenFile.empty()) {
        return;
    }
    if (const auto tokens = readTokens(settings.tokenFile); !tokens) {
        problems.push_back(problemAt(settings, "token_file", "a token file (" + tokens.error() + ")"));
    }
}

// The store creates the folder itself if its parent exists.
bool isUsableFolder(const std::filesystem::path &folder)
{
    std::error_code error;
    const bool exists = std::filesystem::exists(folder, error);
    const auto place = exists ? folder : std::filesystem::absolute(folder, error).parent_path();
    return std::filesystem::is_directory(place, error) && access(place.c_str(), R_OK | W_OK | X_OK) == 0;
}

void checkDataDir(const ProcessSettings &settings, Problems &problems)
{
    if (!settings.dataDir.empty() && !isUsableFolder(settings.dataDir)) {
        problems.push_back(problemAt(settings, "data_dir", "a folder that this process can write to or create"));
    }
}

} // namespace

Problems checkOnThisVm(const ProcessSettings &settings)
{
    Problems problems;
    checkListeners(settings, problems);
    checkTokenFile(settings, problems);
    checkDataDir(settings, problems);
    return problems;
}

} // namespace yuccawheel::settings
