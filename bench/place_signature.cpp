#include "place_signature.h"

#define XXH_INLINE_ALL
#include <variant>
#include <xxhash.h>

namespace yuccawheel::bench
{

using namespace placement;

void Signature::mix(std::uint64_t value)
{
    hash_ = XXH64(&value, sizeof value, hash_);
}

void Signature::add(std::span<const Command> commands)
{
    const auto mixTask = [this](const TaskId &task) {
        mix(task.job);
        mix((std::uint64_t{task.index} << 32U) | task.attempt);
    };
    for (const Command &command : commands) {
        mix(command.index());
        if (const auto *start = std::get_if<StartTask>(&command)) {
            mix(start->worker);
            mixTask(start->task);
            mix(static_cast<std::uint64_t>(start->reserved.milliCpu));
            mix(static_cast<std::uint64_t>(start->reserved.memoryMib));
        } else if (const auto *stop = std::get_if<StopTask>(&command)) {
            mix(stop->worker);
            mixTask(stop->task);
            mix(static_cast<std::uint64_t>(stop->reason));
            mix(static_cast<std::uint64_t>(stop->checkpointFirst));
        } else if (const auto *throttle = std::get_if<ThrottleTask>(&command)) {
            mixTask(throttle->task);
            mix(static_cast<std::uint64_t>(throttle->limit.milliCpu));
            mix(static_cast<std::uint64_t>(throttle->limit.memoryMib));
        } else if (const auto *done = std::get_if<TaskDone>(&command)) {
            mixTask(done->task);
            mix(static_cast<std::uint64_t>(done->verdict));
        } else if (const auto *neverFits = std::get_if<JobNeverFits>(&command)) {
            mix(neverFits->job);
        }
    }
}

} // namespace yuccawheel::bench
