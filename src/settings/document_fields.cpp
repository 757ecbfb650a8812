#include "settings/document_fields.h"

#include "settings/units.h"

#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace yuccawheel::settings
{

namespace
{

using namespace std::chrono_literals;
using placement::JobKind;
using placement::JobSpec;
using placement::Resources;

constexpr std::int64_t MostTasks = 100'000;
constexpr std::int64_t HighestPriority = 100;
constexpr std::int64_t MostMilliCpu = 1'024'000;
constexpr std::int64_t MostMemoryMib = 16LL << 20U;
constexpr std::int64_t MostAccelerators = 64;
constexpr std::int64_t MostTeamFactor = 10'000;
constexpr std::size_t LongestPayload = 16U << 10U;
constexpr double MilliPerCore = 1'000;
constexpr auto OneDay = 24h;

const std::vector<JobKind> AllKinds{JobKind::Service, JobKind::Batch, JobKind::Gang};
const std::vector<JobKind> Ending{JobKind::Batch, JobKind::Gang};
const std::vector<JobKind> ServicesOnly{JobKind::Service};

std::string format(std::chrono::milliseconds value)
{
    return formatDuration(value);
}
std::string format(const std::optional<std::chrono::milliseconds> &value)
{
    return value ? formatDuration(*value) : "";
}
std::string format(bool value)
{
    return value ? "true" : "false";
}
std::string format(const std::string &value)
{
    return value.empty() ? "" : formatText(value);
}
template <std::integral Number>
std::string format(Number value)
{
    return std::to_string(value);
}

template <typename Value>
nlohmann::ordered_json toJson(const Value &value)
{
    if constexpr (std::is_arithmetic_v<Value> || std::is_same_v<Value, std::string>) {
        return value;
    } else {
        return format(value);
    }
}

/// A field that holds one scalar. Its default is the one of a fresh JobSpec.
template <typename Value, typename Target>
JobField scalar(const std::string &key,
                std::vector<JobKind> kinds,
                bool required,
                Rule<Value> rule,
                Target JobSpec::*target,
                const std::string &description)
{
    JobField field;
    field.key = key;
    field.kinds = std::move(kinds);
    field.required = required;
    field.allowed = rule.allowed;
    field.defaultValue = required ? "" : format(JobSpec{}.*target);
    field.description = description;
    field.read = [key, rule = std::move(rule), target](Reader &reader, JobSpec &job) {
        reader.into(key, rule, job.*target);
    };
    field.print = [target](const JobSpec &job) {
        return format(job.*target);
    };
    field.json = [target](const JobSpec &job) {
        return toJson(job.*target);
    };
    return field;
}

JobField resources()
{
    JobField field;
    field.key = "resources";
    field.kinds = AllKinds;
    field.required = true;
    field.allowed = "a mapping of cpu, memory and optionally accelerators";
    field.description = "What each task or replica holds while it runs.";
    field.read = [](Reader &reader, JobSpec &job) {
        if (auto child = reader.child("resources")) {
            job.perTask = readResources(*child, true);
        }
    };
    field.print = [](const JobSpec &job) {
        return formatResources(job.perTask);
    };
    field.json = [](const JobSpec &job) {
        return resourcesToJson(job.perTask);
    };
    return field;
}

} // namespace

bool JobField::appliesTo(placement::JobKind kind) const
{
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

const std::vector<JobField> &jobFields()
{
    static const std::vector<JobField> fields{
        scalar("name", AllKinds, true, nameRule(), &JobSpec::name, "Name, unique in its list."),
        scalar("team", AllKinds, true, nameRule(), &JobSpec::team, "Team whose quota it counts against."),
        scalar("replicas", ServicesOnly, true, integerRule(1, MostTasks), &JobSpec::tasks, "Replicas to keep running."),
        scalar("tasks", Ending, true, integerRule(1, MostTasks), &JobSpec::tasks, "Number of tasks."),
        resources(),
        scalar("run_time",
               Ending,
               true,
               durationRule(1ms, 30 * OneDay),
               &JobSpec::declaredRunTime,
               "Expected run time of one task."),
        scalar("priority",
               AllKinds,
               false,
               integerRule(-HighestPriority, HighestPriority),
               &JobSpec::priority,
               "Work of higher priority starts first."),
        scalar("urgent", AllKinds, false, booleanRule(), &JobSpec::urgent, "May preempt work that is not urgent."),
        scalar("deadline",
               Ending,
               false,
               durationRule(1s, 365 * OneDay),
               &JobSpec::deadline,
               "Time from acceptance by which it should have ended."),
        scalar("repeatable",
               Ending,
               false,
               booleanRule(),
               &JobSpec::repeatable,
               "If false, each task starts at most once, also after a failure."),
        scalar("max_disruption",
               ServicesOnly,
               false,
               integerRule(1, MostTasks),
               &JobSpec::maxDisruption,
               "Replicas that may be moved at the same time."),
        scalar("detached_for",
               AllKinds,
               false,
               durationRule(1s, OneDay),
               &JobSpec::detachedFor,
               "How long tasks go on while no scheduler reaches their worker."),
        scalar(
            "payload", AllKinds, false, textRule(LongestPayload), &JobSpec::payload, "Handed to the worker as it is."),
    };
    return fields;
}

placement::Resources readResources(Reader &reader, bool forTask)
{
    const std::int64_t lowest = forTask ? 1 : 0;
    const std::int64_t factor = forTask ? 1 : MostTeamFactor;
    const auto cpu = cpuRule(lowest, MostMilliCpu * factor);
    const auto memory = memoryRule(lowest, MostMemoryMib * factor);
    Resources resources;
    resources.milliCpu = reader.require("cpu", cpu).value_or(0);
    resources.memoryMib = reader.require("memory", memory).value_or(0);
    resources.accelerators = reader.read("accelerators", integerRule(0, MostAccelerators * factor)).value_or(0);
    reader.finish();
    return resources;
}

std::string formatResources(const placement::Resources &resources)
{
    const std::string accelerators =
        resources.accelerators == 0 ? "" : fmt::format(", accelerators: {}", resources.accelerators);
    return fmt::format(
        "{{cpu: {}, memory: {}{}}}", formatCpu(resources.milliCpu), formatMemory(resources.memoryMib), accelerators);
}

nlohmann::ordered_json resourcesToJson(const placement::Resources &resources)
{
    return {{"cpu", static_cast<double>(resources.milliCpu) / MilliPerCore},
            {"memory", formatMemory(resources.memoryMib)},
            {"accelerators", resources.accelerators}};
}

std::string formatText(const std::string &text)
{
    // The words that YAML reads as nothing, although they are well-formed names.
    constexpr std::array Reserved{"null", "Null", "NULL", "~"};
    const auto plain = nameRule().parse(text);
    if (plain && std::find(Reserved.begin(), Reserved.end(), text) == Reserved.end()) {
        return text;
    }
    YAML::Emitter emitter;
    emitter << YAML::DoubleQuoted << text;
    return emitter.c_str();
}

} // namespace yuccawheel::settings
