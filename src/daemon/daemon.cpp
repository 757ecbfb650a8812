#include "daemon/daemon.h"

#include "base/duty_time.h"
#include "base/log.h"
#include "daemon/event_loop.h"
#include "daemon/health_server.h"
#include "daemon/settings_watch.h"
#include "http/server_group.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cxxopts.hpp>
#include <fmt/core.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace yuccawheel::daemon
{

namespace
{

namespace asio = boost::asio;

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds DrainPollInterval{10};
constexpr milliseconds CloseTimeout{500}; ///< For the last answers to be sent and their connections to be closed.
constexpr std::size_t MaxQueuedRequests = 2'000; ///< More than a daemon answers before their senders give up.
constexpr std::size_t MaxQueuedReports = 4'000;
/// From the end of a drain to the exit, with a margin for a busy event loop.
constexpr milliseconds EndTime = protocol::LeaveTimeout + CloseTimeout + milliseconds{200};

struct Arguments {
    std::string settingsFile;
    bool checkOnly = false;
    const Action *action = nullptr;
    std::optional<ExitCode> exitCode; ///< Set if the process should exit at once with this code.
};

Arguments parseArguments(int argc, char **argv, std::string_view name, const std::vector<Action> &actions)
{
    cxxopts::Options options{std::string(name), "Part of the yuccawheel cluster scheduler."};
    options.add_options()("settings", "settings file (YAML)", cxxopts::value<std::string>(), "FILE")(
        "check", "check the settings and exit")("version", "print the version")("help", "print this help");
    for (const Action &action : actions) {
        options.add_options()(action.name, action.description);
    }
    Arguments arguments;
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            fmt::print("{}\n", options.help());
            arguments.exitCode = ExitCode::Ok;
        } else if (parsed.count("version") > 0) {
            fmt::print("{} {}\n", name, YW_VERSION);
            arguments.exitCode = ExitCode::Ok;
        } else if (!parsed.unmatched().empty() || parsed.count("settings") == 0) {
            fmt::print(stderr, "{}: --settings FILE is required; positional arguments are not allowed\n", name);
            arguments.exitCode = ExitCode::BadSettings;
        } else {
            arguments.settingsFile = parsed["settings"].as<std::string>();
            arguments.checkOnly = parsed.count("check") > 0;
            for (const Action &action : actions) {
                arguments.action = parsed.count(action.name) > 0 ? &action : arguments.action;
            }
        }
    } catch (const cxxopts::exceptions::exception &error) {
        fmt::print(stderr, "{}: {}\n", name, error.what());
        arguments.exitCode = ExitCode::BadSettings;
    }
    return arguments;
}

// Milliseconds since the Unix epoch: increases with each restart unless the wall clock is set back.
std::uint64_t newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

protocol::Role roleOf(settings::Program program)
{
    switch (program) {
    case settings::Program::Entry:
        return protocol::Role::Entry;
    case settings::Program::Scheduler:
        return protocol::Role::Scheduler;
    case settings::Program::Store:
        return protocol::Role::Store;
    case settings::Program::Manager:
        return protocol::Role::Manager;
    case settings::Program::Gateway:
        return protocol::Role::Gateway;
    }
    return protocol::Role::Entry;
}

base::DescriptorBudget descriptorBudget(const settings::ProcessSettings &settings, settings::Program program)
{
    std::size_t limit = base::openFilesLimit();
    if (settings.maxOpenFiles) {
        limit = std::min(limit, static_cast<std::size_t>(*settings.maxOpenFiles));
    }
    const auto calls = program == settings::Program::Manager ? base::DescriptorBudget::Calls::Many
                                                             : base::DescriptorBudget::Calls::Few;
    return {limit, calls};
}

coordination::DetectorSettings detectorSettings(const settings::ProcessSettings &settings)
{
    coordination::DetectorSettings detector;
    detector.expectedInterval = settings.heartbeat;
    detector.minTimeout = settings.peerTimeoutMin;
    detector.maxTimeout = settings.peerTimeoutMax;
    return detector;
}

// Drains on the first SIGTERM or SIGINT. Stops the process on the second one or when the drain limit expires.
//
// Load pattern: clients that keep sending requests on open connections. A moment without requests may never come, so
// requests are refused before the process waits for those in progress.
class Shutdown
{
public:
    Shutdown(Context &context, Service &service)
        : context_(context)
        , service_(service)
        , servers_(http::ServerGroup::of(context.io))
        , signals_(context.io, SIGTERM, SIGINT)
        , hardLimitTimer_(context.io)
        , pollTimer_(context.io)
    {
        signals_.async_wait([this](const boost::system::error_code &error, int) {
            if (!error) {
                startDrain();
            }
        });
    }

    bool isDraining() const
    {
        return draining_;
    }
    ExitCode exitCode() const
    {
        return exitCode_;
    }

private:
    void startDrain()
    {
        draining_ = true;
        base::logInfo("drain_started").with("in_progress", inProgress());
        signals_.async_wait([this](const boost::system::error_code &error, int) {
            if (!error) {
                forceStop("second_signal");
            }
        });
        const auto now = steady_clock::now();
        answerDeadline_ = now + answerLimit(context_.settings);
        hardLimitTimer_.expires_at(answerDeadline_ + EndTime);
        hardLimitTimer_.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                forceStop("drain_limit");
            }
        });
        servers_.closeAfterAnswers();
        service_.drain([this] { refuseRequests(); });
    }

    void refuseRequests()
    {
        base::logInfo("requests_refused").with("in_progress", inProgress());
        service_.refuseRequests();
        servers_.refuseRequests();
        const auto isAnswered = [this] {
            return inProgress() == 0;
        };
        waitFor(isAnswered, answerDeadline_, [this] { finishDrain(); });
    }

    void finishDrain()
    {
        const std::size_t pending = inProgress();
        service_.answerPendingRequests();
        base::logInfo("drain_finished").with("given_up", pending);
        context_.members.leave([this] { closeConnections(); });
    }

    void closeConnections()
    {
        servers_.stopAccepting();
        const auto isClosed = [this] {
            return servers_.busyConnections() == 0;
        };
        waitFor(isClosed, steady_clock::now() + CloseTimeout, [this] { context_.io.stop(); });
    }

    void waitFor(const std::function<bool()> &condition, steady_clock::time_point deadline, std::function<void()> done)
    {
        if (condition() || steady_clock::now() >= deadline) {
            done();
            return;
        }
        pollTimer_.expires_after(DrainPollInterval);
        pollTimer_.async_wait(
            [this, condition, deadline, done = std::move(done)](const boost::system::error_code &error) {
                if (!error) {
                    waitFor(condition, deadline, done);
                }
            });
    }

    std::size_t inProgress() const
    {
        return std::max(service_.inProgress(), servers_.unanswered());
    }

    void forceStop(std::string_view reason)
    {
        const std::size_t aborted = inProgress();
        base::logWarning("drain_cut_off").with("reason", reason).with("in_progress", aborted);
        if (aborted > 0) {
            exitCode_ = ExitCode::WorkAborted;
        }
        context_.io.stop();
    }

    Context &context_;
    Service &service_;
    http::ServerGroup &servers_;
    asio::signal_set signals_;
    asio::steady_timer hardLimitTimer_;
    asio::steady_timer pollTimer_;
    steady_clock::time_point answerDeadline_{};
    bool draining_ = false;
    ExitCode exitCode_ = ExitCode::Ok;
};

int serve(const settings::ProcessSettings &settings,
          const std::string &settingsFile,
          settings::Program program,
          std::string_view name,
          const ServiceFactory &factory)
{
    const base::LogWriter log(settings.logLevel);
    base::MetricsRegistry metrics;
    asio::io_context io(1);
    const protocol::Identity self{settings.cluster, roleOf(program), settings.node, settings.zone, newIncarnation()};
    protocol::Members members(io, self, detectorSettings(settings));
    base::WorkQueue work(MaxQueuedRequests, MaxQueuedReports);
    Context context{io, settings, metrics, self, members, descriptorBudget(settings, program), work};
    base::logInfo("started")
        .with("program", name)
        .with("version", YW_VERSION)
        .with("node", settings.node)
        .with("zone", settings.zone)
        .with("max_open_files", context.descriptors.limit());
    const auto service = factory(context);
    Shutdown shutdown(context, *service);
    const SettingsWatch watch(
        io, settingsFile, program, [&](const settings::ProcessSettings &changed) { service->reload(changed); });
    const HealthServer health(context, [&]() -> std::optional<std::string> {
        return shutdown.isDraining() ? "draining" : service->notReadyReason();
    });
    runEventLoop(io, work);
    base::logInfo("stopped").with("exit_code", static_cast<int>(shutdown.exitCode()));
    return static_cast<int>(shutdown.exitCode());
}

} // namespace

std::chrono::milliseconds answerLimit(const settings::ProcessSettings &settings)
{
    return settings.drainDelay + std::max(milliseconds{0}, settings.drainLimit - EndTime);
}

asio::ip::tcp::endpoint toAsio(const settings::Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.ip), endpoint.port};
}

std::vector<asio::ip::tcp::endpoint> addressesOf(const std::vector<settings::Peer> &peers)
{
    std::vector<asio::ip::tcp::endpoint> addresses;
    addresses.reserve(peers.size());
    for (const settings::Peer &peer : peers) {
        addresses.push_back(toAsio(peer.address));
    }
    return addresses;
}

int run(int argc,
        char **argv,
        settings::Program program,
        std::string_view name,
        const ServiceFactory &factory,
        const std::vector<Action> &actions)
{
    const Arguments arguments = parseArguments(argc, argv, name, actions);
    if (arguments.exitCode) {
        return static_cast<int>(*arguments.exitCode);
    }
    const auto settings = settings::loadProcessSettings(arguments.settingsFile, program);
    if (!settings) {
        fmt::print(stderr, "{}", settings::toString(settings.error()));
        return static_cast<int>(ExitCode::BadSettings);
    }
    if (arguments.action != nullptr) {
        return arguments.action->run(*settings);
    }
    const settings::Problems unusable = settings::checkOnThisVm(*settings);
    if (!unusable.empty()) {
        fmt::print(stderr, "{}", settings::toString(unusable));
        return static_cast<int>(ExitCode::BadSettings);
    }
    if (arguments.checkOnly) {
        fmt::print("{}: settings are valid\n", arguments.settingsFile);
        return static_cast<int>(ExitCode::Ok);
    }
    try {
        return serve(*settings, arguments.settingsFile, program, name, factory);
    } catch (const std::exception &error) {
        fmt::print(stderr, "{}: {}\n", name, error.what());
        return static_cast<int>(ExitCode::Failed);
    }
}

} // namespace yuccawheel::daemon
