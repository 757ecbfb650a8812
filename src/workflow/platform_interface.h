#pragma once

#include "workflow/manager_port.h"
#include "workflow/messages.h"

#include <tl/expected.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

// What a platform offers to the daemons, and what it asks of them. An adapter translates.

namespace yuccawheel::workflow
{

/// Calls to workers. Each callback comes exactly once, never from within the call, unless the object is gone.
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

/// The service that knows which workers may run a step.
class EligibilityService
{
public:
    virtual ~EligibilityService() = default;
    virtual void query(const std::string &step,
                       const std::vector<std::string> &workers,
                       std::chrono::milliseconds timeout,
                       std::function<void(EligibilityRows)> done) = 0;
};

/// Why a request has no answer yet: whether it may still take effect.
struct Unanswered {
    bool mayTakeEffect = false;
    std::chrono::milliseconds retryAfter{0};
};

/// Takes callers' requests.
class CallerHandler
{
public:
    virtual ~CallerHandler() = default;
    /// `patience` is how long the caller waits.
    virtual void handle(QueueRequest request,
                        std::chrono::milliseconds patience,
                        std::function<void(tl::expected<QueueReply, Unanswered>)> done) = 0;
};

/// Takes workers' reports and the operators' configuration.
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
