#pragma once

#include "base/metrics.h"
#include "protocol/identity.h"
#include "protocol/members.h"
#include "settings/process_settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccawheel::daemon
{

/// Exit codes of every daemon.
enum class ExitCode : int {
    Ok = 0,
    Failed = 1,
    BadSettings = 2, ///< Wrong command line or settings.
    CutOff = 3, ///< Stopped while work was in progress: the hard limit or a second signal.
};

/// What a daemon's parts share. Lives as long as the process.
struct Context {
    boost::asio::io_context &io; ///< Run by the network thread, which is the main thread.
    const settings::ProcessSettings &settings;
    base::MetricsRegistry &metrics;
    protocol::Identity self;
    protocol::Members &members;
};

/// The work of one program. All calls are on the network thread.
class Service
{
public:
    virtual ~Service() = default;

    /// Says why the process should get no traffic, or nothing if it is ready.
    virtual std::optional<std::string> notReadyReason() const = 0;

    /// Stops taking new work and calls `done` when the work in progress has ended.
    virtual void drain(std::function<void()> done) = 0;

    /// Takes settings that changed while the process runs. What a service does not look at waits for a restart.
    virtual void reload(const settings::ProcessSettings &settings)
    {
        static_cast<void>(settings);
    }

    /// Number of pieces of work that ending the process now would cut off.
    virtual std::size_t inProgress() const = 0;
};

using ServiceFactory = std::function<std::unique_ptr<Service>(Context &)>;

/// Something a program does once, with checked settings, instead of serving: `--NAME`.
struct Action {
    std::string name;
    std::string description;
    std::function<int(const settings::ProcessSettings &)> run; ///< Returns the exit code.
};

/// Runs a program: command line, settings, log, health address, signals. Returns its exit code.
int run(int argc,
        char **argv,
        settings::Program program,
        std::string_view name,
        const ServiceFactory &factory,
        const std::vector<Action> &actions = {});

/// Converts a checked address of the settings.
boost::asio::ip::tcp::endpoint toAsio(const settings::Endpoint &endpoint);
/// Addresses of the inner protocol of some peers.
std::vector<boost::asio::ip::tcp::endpoint> addressesOf(const std::vector<settings::Peer> &peers);

} // namespace yuccawheel::daemon
