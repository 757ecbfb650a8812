#include "workflow/job.h"

#include <fmt/core.h>

#include <charconv>
#include <numeric>

namespace yuccawheel::workflow
{

namespace
{

constexpr std::size_t KeyDigits = 16;
// Bounds the space that one job takes in the log and on every replica.
constexpr std::uint64_t MaxTasks = 20'000;

template <typename Number>
std::optional<Number> parseNumber(std::string_view text, int base)
{
    Number number{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

} // namespace

std::string toString(JobKey key)
{
    return fmt::format("{:016x}", key);
}

std::optional<JobKey> parseJobKey(std::string_view text)
{
    // Accepting upper-case digits would give a job two text forms.
    if (text.size() != KeyDigits || text.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
        return std::nullopt;
    }
    return parseNumber<JobKey>(text, 16);
}

std::string toString(const TaskRef &task)
{
    return fmt::format("{:016x}.{}.{}.{}", task.job, task.occurrence, task.step, task.index);
}

std::optional<TaskRef> parseTaskRef(std::string_view text)
{
    const auto takePart = [&text] {
        const std::string_view part = text.substr(0, text.find('.'));
        text.remove_prefix(std::min(text.size(), part.size() + 1));
        return part;
    };
    const auto job = parseJobKey(takePart());
    const auto occurrence = parseNumber<std::uint32_t>(takePart(), 10);
    const auto step = parseNumber<std::uint32_t>(takePart(), 10);
    const auto index = parseNumber<std::uint32_t>(takePart(), 10);
    if (!job || !occurrence || !step || !index || !text.empty()) {
        return std::nullopt;
    }
    return TaskRef{*job, *occurrence, *step, *index};
}

std::size_t JobSpec::tasksPerOccurrence() const
{
    return std::accumulate(steps.begin(), steps.end(), std::size_t{0}, [](std::size_t sum, const StepSpec &step) {
        return sum + step.count;
    });
}

std::optional<std::string> findFault(const JobSpec &spec)
{
    if (spec.steps.empty() || spec.steps.size() > MaxSteps) {
        return fmt::format("a job must have 1 to {} steps", MaxSteps);
    }
    std::uint64_t tasks = 0;
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
        const StepSpec &each = spec.steps[step];
        tasks += each.count;
        if (each.count == 0) {
            return fmt::format("step {} has no tasks", step);
        }
        if (!each.perTask.isNonNegative()) {
            return fmt::format("step {} requests a negative amount of a resource", step);
        }
        for (const std::uint32_t earlier : each.after) {
            if (earlier >= step) {
                return fmt::format("step {} depends on step {}, which is not an earlier step", step, earlier);
            }
        }
    }
    // The first check keeps the product from overflowing.
    if (tasks > MaxTasks || tasks * spec.occurrenceCount() > MaxTasks) {
        return fmt::format("a job must not have more than {} tasks over all its occurrences", MaxTasks);
    }
    return std::nullopt;
}

} // namespace yuccawheel::workflow
