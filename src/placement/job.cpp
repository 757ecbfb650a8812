#include "placement/job.h"

#include <fmt/core.h>

#include <charconv>

namespace yuccawheel::placement
{

std::string toString(const TaskId &task)
{
    return fmt::format("{}.{}.{}", task.job, task.index, task.attempt);
}

std::optional<TaskId> parseTaskId(std::string_view text)
{
    TaskId task;
    const char *position = text.data();
    const char *const end = position + text.size();
    const auto number = [&](auto &value, bool last) {
        const auto [next, error] = std::from_chars(position, end, value);
        if (error != std::errc() || (last ? next != end : next == end || *next != '.')) {
            return false;
        }
        position = next + 1;
        return true;
    };
    if (!number(task.job, false) || !number(task.index, false) || !number(task.attempt, true)) {
        return std::nullopt;
    }
    return task;
}

} // namespace yuccawheel::placement
