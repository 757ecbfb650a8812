#pragma once

#include "base/descriptor_budget.h"
#include "base/metrics.h"
#include "base/work_queue.h"
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

/// Exit codes of the daemons.
enum class ExitCode : int {
    Ok = 0,
    Failed = 1,
    BadSettings = 2, ///< Invalid command line or settings.
    WorkAborted = 3, ///< The drain limit or a second signal ended the process while work was in progress.
};

/// Objects shared by the components of a daemon. Outlives the service.
struct Context {
    boost::asio::io_context &io; ///< Run by the main thread, called the network thread.
    const settings::ProcessSettings &settings;
    base::MetricsRegistry &metrics;
    protocol::Identity self;
    protocol::Members &members;
    base::DescriptorBudget descriptors;
    base::WorkQueue &work; ///< Run by the network thread too, between the handlers of `io`.
};

/// Implements one program. All calls are on the network thread.
class Service
{
public:
    virtual ~Service() = default;

    /// Returns why the process should get no traffic, or nothing if it is ready.
    virtual std::optional<std::string> notReadyReason() const = 0;

    /// Prepares to leave, for example hands over leadership, and calls `done` when further requests may be refused.
    virtual void drain(std::function<void()> done) = 0;

    /// Refuses all further requests of other processes of the cluster. Requests to HTTP servers are refused for all
    /// services alike.
    virtual void refuseRequests()
    {
    }

    /// Answers every request in progress that the service would otherwise keep waiting, with what is known of it.
    virtual void answerPendingRequests()
    {
    }

    /// Applies settings that changed while the process runs. Settings that the service ignores need a restart.
    virtual void reload(const settings::ProcessSettings &settings)
    {
        static_cast<void>(settings);
    }

    /// Returns the number of requests or other work items that would be aborted if the process ended now.
    virtual std::size_t inProgress() const = 0;
};

using ServiceFactory = std::function<std::unique_ptr<Service>(Context &)>;

/// A one-off command of a program, given as `--NAME`: runs with validated settings instead of the service.
struct Action {
    std::string name;
    std::string description;
    std::function<int(const settings::ProcessSettings &)> run; ///< Returns the exit code.
};

/// Runs a program: parses the command line, loads the settings, sets up logging, the health address and signal
/// handling, and runs the service until it is stopped. Returns the exit code.
int run(int argc,
        char **argv,
        settings::Program program,
        std::string_view name,
        const ServiceFactory &factory,
        const std::vector<Action> &actions = {});

/// Returns how long after the start of a drain requests are given up on. The rest of drain_limit is left for their
/// answers and for the end of the process.
std::chrono::milliseconds answerLimit(const settings::ProcessSettings &settings);

/// Converts an address from validated settings.
boost::asio::ip::tcp::endpoint toAsio(const settings::Endpoint &endpoint);
/// Returns the peers' addresses for the protocol between processes.
std::vector<boost::asio::ip::tcp::endpoint> addressesOf(const std::vector<settings::Peer> &peers);

} // namespace yuccawheel::daemon
