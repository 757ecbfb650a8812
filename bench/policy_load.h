#pragma once

#include "place_random.h"
#include "replay_trace.h"

#include <string>
#include <vector>

namespace yuccawheel::bench
{

/// The VMs of one deployment.
struct Deployment {
    std::string name;
    std::uint32_t workers = 50;
    std::uint32_t rackSize = 8;
    placement::Resources capacity;
};

struct LoadOptions {
    Deployment deployment;
    double load = 0.85; ///< Of what tasks really use, in the tightest resource of the zone.
    double lies = 10; ///< Declared sizes and run times are off by up to this factor either way.
    milliseconds length{0};
    std::uint64_t seed = 1;
};

const std::vector<Deployment> &deployments();

/// Makes a trace of services, batch jobs, gangs and urgent jobs of twelve teams at a given load.
Trace makeLoad(const LoadOptions &options);

} // namespace yuccawheel::bench
