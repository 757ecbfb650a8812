#pragma once

#include "workflow/state.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace yuccawheel::tests
{

/// A job of one step of equal tasks.
inline workflow::JobSpec job(std::uint32_t count, std::int64_t milliCpu, std::chrono::milliseconds estimate)
{
    workflow::StepSpec step;
    step.count = count;
    step.perTask = {milliCpu, 100, 0};
    step.estimatedRunTime = estimate;
    workflow::JobSpec spec;
    spec.payload = "payload";
    spec.steps = {step};
    return spec;
}

/// A queue whose jobs have an objective of twice their run time and a second more.
inline workflow::QueuePolicy policy(const std::string &queue, std::int32_t priority)
{
    workflow::QueuePolicy result;
    result.queue = queue;
    result.service = "service";
    result.priority = priority;
    result.attempts = 3;
    result.stretch = 2;
    result.target = std::chrono::seconds(1);
    return result;
}

} // namespace yuccawheel::tests
