#pragma once

#include "workflow/manager_port.h"
#include "workflow/messages.h"

#include <tl/expected.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

// Interfaces between the daemons and a platform. An adapter implements them for its protocol.

namespace yuccawheel::workflow
{

/// Calls to workers. Each callback runs exactly once and never from within the call, unless the object is destroyed.
class WorkerCalls
{
public:
    virtual ~WorkerCalls() = default;
    virtual void
    start(const WorkerIdentity &worker, const StartOrder &order, std::function<void(const OrderAnswer &)> done) = 0;
    virtual void
    stop(const WorkerIdentity &worker, const StopOrder &order, std::function<void(const OrderAnswer &)> done) = 0;
    virtual void
    poll(const WorkerIdentity &worker, const PollOrder &order, std::function<void(const PollAnswer &)> done) = 0;
    virtual void forget(const WorkerIdentity &worker) = 0;
};

/// Service that decides which workers may run a step.
class EligibilityService
{
public:
    virtual ~EligibilityService() = default;
    virtual void query(const std::string &step,
                       const std::vector<std::string> &workers,
                       std::chrono::milliseconds timeout,
                       std::function<void(EligibilityRows)> done) = 0;
};

/// A request that could not be answered, and whether it may still take effect.
struct Unanswered {
    bool mayTakeEffect = false;
    std::chrono::milliseconds retryAfter{0};
};

/// Handles callers' requests.
class CallerHandler
{
public:
    virtual ~CallerHandler() = default;
    /// `timeout` is how long the caller waits.
    virtual void handle(QueueRequest request,
                        std::chrono::milliseconds timeout,
                        std::function<void(tl::expected<QueueReply, Unanswered>)> done) = 0;
};

/// Handles workers' reports and operators' configurations.
class ControlHandler
{
public:
    virtual ~ControlHandler() = default;
    virtual void report(const WorkerReport &report,
                        std::function<void(tl::expected<ReportWorkerReply, Unanswered>)> done) = 0;
    virtual void putConfiguration(Configuration configuration,
                                  std::function<void(tl::expected<PutConfigurationReply, Unanswered>)> done) = 0;
    virtual void getConfiguration(std::function<void(tl::expected<GetConfigurationReply, Unanswered>)> done) = 0;
};

} // namespace yuccawheel::workflow
