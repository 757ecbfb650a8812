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

/// Cost of queries to the eligibility service, which decides which workers may run a step, and validity of its answers.
struct EligibilityPolicy {
    std::chrono::microseconds perCall{0};
    std::chrono::microseconds perWorker{0};
    std::chrono::milliseconds validFor{0};

    MSGPACK_DEFINE(perCall, perWorker, validFor)
};

/// How the jobs of one queue are treated. A job keeps the policy under which it was accepted.
struct QueuePolicy {
    std::string queue;
    std::string service; ///< Service whose workers run the tasks.
    std::int32_t priority = 0; ///< 0 is the most urgent.
    std::uint32_t attempts = 1; ///< Failed runs of a task or gang after which the job fails.
    double stretch = 1; ///< The objective is the job's critical path times `stretch` plus `target`.
    std::chrono::milliseconds target{0};
    std::optional<EligibilityPolicy> eligibility; ///< Unset if every worker of the service may run the steps.

    MSGPACK_DEFINE(queue, service, priority, attempts, stretch, target, eligibility)
};

/// Maps requests of a host and path prefix to a queue.
struct QueueRoute {
    std::string host;
    std::string pathPrefix;
    std::chrono::milliseconds timeout{0};
    QueuePolicy policy;

    MSGPACK_DEFINE(host, pathPrefix, timeout, policy)
};

struct ServicePolicy {
    std::string name;
    bool workersEnforceCapacity = false; ///< Workers refuse tasks that exceed their capacity.
    bool spare = false; ///< The VMs of the service are switched off.

    MSGPACK_DEFINE(name, workersEnforceCapacity, spare)
};

/// The complete configuration that an operator uploaded. The highest version is in force.
struct Configuration {
    std::uint64_t version = 0; ///< 0 before the first configuration.
    std::vector<QueueRoute> routes;
    std::vector<ServicePolicy> services;
    std::string text; ///< Original text, returned to operators.

    /// Returns whether there may be a service of this name: before the first configuration, none is known.
    bool mayHaveService(std::string_view name) const;
    /// Returns the matching route with the longest path prefix, or null.
    const QueueRoute *findRoute(std::string_view host, std::string_view path) const;
    MSGPACK_DEFINE(version, routes, services, text)
};

/// Returns why a configuration is invalid, or nothing if it is valid.
std::optional<std::string> findFault(const Configuration &configuration);

} // namespace yuccawheel::workflow
