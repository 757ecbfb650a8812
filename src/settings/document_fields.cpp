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

constexpr std::int64_t MaxTasks = 100'000;
constexpr std::int64_t MaxPriority = 100;
constexpr std::int64_t MaxMilliCpu = 1'024'000;
constexpr std::int64_t MaxMemoryMib = 16LL << 20U;
constexpr std::int64_t MaxAccelerators = 64;
constexpr std::int64_t MaxQuotaFactor = 10'000; // Maximum of a team's quota, in multiples of that of a task.
constexpr std::size_t MaxPayloadBytes = 16U << 10U;
constexpr double MilliPerCore = 1'000;
constexpr auto OneDay = 24h;

const std::vector<JobKind> AllKinds{JobKind::Service, JobKind::Batch, JobKind::Gang};
const std::vector<JobKind> FiniteKinds{JobKind::Batch, JobKind::Gang};
const std::vector<JobKind> ServiceOnly{JobKind::Service};

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

/// Returns a field that holds one scalar. Its default value is that of a default-constructed JobSpec.
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
        reader.readInto(key, rule, job.*target);
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
    field.description = "Resources of each task or replica while it runs.";
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
        scalar("team", AllKinds, true, nameRule(), &JobSpec::team, "Team whose quota the job counts against."),
        scalar("replicas",
               ServiceOnly,
               true,
               integerRule(1, MaxTasks),
               &JobSpec::tasks,
               "Number of replicas to keep running."),
        scalar("tasks", FiniteKinds, true, integerRule(1, MaxTasks), &JobSpec::tasks, "Number of tasks."),
        resources(),
        scalar("run_time",
               FiniteKinds,
               true,
               durationRule(1ms, 30 * OneDay),
               &JobSpec::declaredRunTime,
               "Expected run time of one task."),
        scalar("priority",
               AllKinds,
               false,
               integerRule(-MaxPriority, MaxPriority),
               &JobSpec::priority,
               "Work of higher priority starts first."),
        scalar("urgent", AllKinds, false, booleanRule(), &JobSpec::urgent, "May preempt work that is not urgent."),
        scalar("deadline",
               FiniteKinds,
               false,
               durationRule(1s, 365 * OneDay),
               &JobSpec::deadline,
               "Time after acceptance by which the job should have ended."),
        scalar("repeatable",
               FiniteKinds,
               false,
               booleanRule(),
               &JobSpec::repeatable,
               "If false, each task starts at most once, also after a failure."),
        scalar("max_disruption",
               ServiceOnly,
               false,
               integerRule(1, MaxTasks),
               &JobSpec::maxDisruption,
               "Maximum number of replicas that may be moved at the same time."),
        scalar("detached_for",
               AllKinds,
               false,
               durationRule(1s, OneDay),
               &JobSpec::detachedFor,
               "How long tasks continue to run while no scheduler can reach their worker."),
        scalar("payload",
               AllKinds,
               false,
               textRule(MaxPayloadBytes),
               &JobSpec::payload,
               "Passed to the worker unchanged."),
    };
    return fields;
}

placement::Resources readResources(Reader &reader, bool forTask)
{
    const std::int64_t minimum = forTask ? 1 : 0;
    const std::int64_t factor = forTask ? 1 : MaxQuotaFactor;
    const auto cpu = cpuRule(minimum, MaxMilliCpu * factor);
    const auto memory = memoryRule(minimum, MaxMemoryMib * factor);
    Resources resources;
    resources.milliCpu = reader.require("cpu", cpu).value_or(0);
    resources.memoryMib = reader.require("memory", memory).value_or(0);
    resources.accelerators = reader.read("accelerators", integerRule(0, MaxAccelerators * factor)).value_or(0);
    reader.reportUnknownKeys();
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
    // YAML reads these as null unless they are quoted.
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
