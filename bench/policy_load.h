#pragma once

#include "place_random.h"
#include "replay_trace.h"

#include <string>
#include <vector>

namespace yuccawheel::bench
{

/// Number, rack size and capacity of the VMs of one deployment.
struct Deployment {
    std::string name;
    std::uint32_t workers = 50;
    std::uint32_t rackSize = 8;
    placement::Resources capacity;
};

struct WorkloadOptions {
    Deployment deployment;
    double load = 0.85; ///< Actual usage of all tasks as a fraction of the zone's capacity, in the tightest resource.
    double maxDeclarationError = 10; ///< Declared sizes and run times are too large or too small by up to this factor.
    milliseconds length{0};
    std::uint64_t seed = 1;
};

const std::vector<Deployment> &deployments();

/// Generates a trace of services, batch jobs, gangs and urgent jobs of twelve teams at a given load.
Trace makeWorkload(const WorkloadOptions &options);

} // namespace yuccawheel::bench
