#include "programs/yuccactl/cell.h"

#include "settings/units.h"

#include <fmt/chrono.h>

#include <chrono>
#include <ctime>

namespace yuccawheel::programs::yuccactl
{

namespace
{

constexpr std::int64_t MsPerSecond = 1'000;

bool endsWith(const std::string &text, std::string_view suffix)
{
    return text.size() >= suffix.size() && text.compare(text.size() - suffix.size(), suffix.size(), suffix) == 0;
}

std::string formatAccelerators(const Json &resources)
{
    const std::int64_t count = resources.value("accelerators", std::int64_t{0});
    return count == 0 ? "" : fmt::format(" {} accelerators", count);
}

/// Accepts `milli_cpu` and `memory_mib` as in the answers of the cluster, or `cpu` and `memory` as in a document.
std::string formatResources(const Json &resources)
{
    if (resources.contains("milli_cpu") && resources["milli_cpu"].is_number_integer()) {
        return fmt::format("{} cores {}{}",
                           settings::formatCpu(resources["milli_cpu"].get<std::int64_t>()),
                           settings::formatMemory(resources.value("memory_mib", std::int64_t{0})),
                           formatAccelerators(resources));
    }
    return fmt::format(
        "{} cores {}{}", resources["cpu"].dump(), resources.value("memory", ""), formatAccelerators(resources));
}

bool isResources(const Json &value)
{
    return value.is_object() && (value.contains("milli_cpu") || (value.contains("cpu") && value.contains("memory")));
}

bool isTaskRange(const Json &value)
{
    return value.is_object() && value.contains("zone") && value.contains("first") && value.contains("count");
}

/// Formats a zone and a range of the job's tasks, for example `a:0-11`.
std::string formatTaskRange(const Json &range)
{
    const auto first = range.value("first", std::int64_t{0});
    const auto last = first + range.value("count", std::int64_t{0}) - 1;
    return fmt::format("{}:{}-{}", range.value("zone", ""), first, last);
}

std::string formatObject(const Json &object)
{
    if (isTaskRange(object)) {
        return formatTaskRange(object);
    }
    if (isResources(object)) {
        return formatResources(object);
    }
    std::string text;
    for (const auto &[key, element] : object.items()) {
        text += (text.empty() ? "" : " ") + key + "=" + formatCell(key, element);
    }
    return text.empty() ? "-" : text;
}

std::string formatList(const Json &list)
{
    std::string text;
    for (const Json &element : list) {
        text += (text.empty() ? "" : ", ") + formatCell("", element);
    }
    return text.empty() ? "-" : text;
}

std::string formatTime(std::int64_t milliseconds)
{
    const auto seconds = static_cast<std::time_t>(milliseconds / MsPerSecond);
    return milliseconds == 0 ? "-" : fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(seconds));
}

std::string formatScalar(const std::string &key, const Json &value)
{
    if (value.is_null()) {
        return "-";
    }
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (value.is_number_integer() && endsWith(key, "_at_ms")) {
        return formatTime(value.get<std::int64_t>());
    }
    if (value.is_number_integer() && endsWith(key, "_ms")) {
        return settings::formatDuration(std::chrono::milliseconds(value.get<std::int64_t>()));
    }
    return value.dump();
}

} // namespace

std::string formatCell(const std::string &key, const Json &value)
{
    if (value.is_array()) {
        return formatList(value);
    }
    if (value.is_object()) {
        return formatObject(value);
    }
    return replaceControlCharacters(formatScalar(key, value));
}

std::string replaceControlCharacters(std::string text)
{
    for (char &c : text) {
        if (static_cast<unsigned char>(c) < ' ' || c == 0x7f) {
            c = ' ';
        }
    }
    return text;
}

} // namespace yuccawheel::programs::yuccactl
