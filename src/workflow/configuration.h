#pragma once

#include "protocol/codec.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccawheel::workflow
{

/// What the service that knows which workers may run a step costs, and how long its word holds.
struct EligibilityPolicy {
    std::chrono::microseconds perCall{0};
    std::chrono::microseconds perWorker{0};
    std::chrono::milliseconds validFor{0};

    MSGPACK_DEFINE(perCall, perWorker, validFor)
};

/// How the jobs of one queue are treated. A job keeps the policy under which it was accepted.
struct QueuePolicy {
    std::string queue;
    std::string service; ///< Whose workers run the tasks.
    std::int32_t priority = 0; ///< 0 goes first.
    std::uint32_t attempts = 1; ///< Failed runs of a task, or gang, after which the job has failed.
    double stretch = 1; ///< The objective is this many times the job's longest chain of work,
    std::chrono::milliseconds target{0}; ///< and so much more.
    std::optional<EligibilityPolicy> eligibility; ///< Unset if any worker of the service may run the steps.

    MSGPACK_DEFINE(queue, service, priority, attempts, stretch, target, eligibility)
};

/// Where the requests for a queue arrive.
struct QueueRoute {
    std::string host;
    std::string pathPrefix;
    std::chrono::milliseconds timeout{0};
    QueuePolicy policy;

    MSGPACK_DEFINE(host, pathPrefix, timeout, policy)
};

struct ServicePolicy {
    std::string name;
    bool workersGuardCapacity = false; ///< They refuse what does not fit.
    bool spare = false; ///< Its machines are off.

    MSGPACK_DEFINE(name, workersGuardCapacity, spare)
};

/// An operator's whole configuration. The higher version is in force.
struct Configuration {
    std::uint64_t version = 0; ///< 0 before the first one.
    std::vector<QueueRoute> routes;
    std::vector<ServicePolicy> services;
    std::string text; ///< As the operator sent it, to be read back.

    /// Returns the route of a request, the longest prefix first; null if there is none.
    const QueueRoute *findRoute(std::string_view host, std::string_view path) const;
    MSGPACK_DEFINE(version, routes, services, text)
};

/// Returns why a configuration is invalid, or nothing.
std::optional<std::string> findFault(const Configuration &configuration);

} // namespace yuccawheel::workflow
