#include "worker_protocol.h"

#include "base/json_check.h"
#include "placement/resources_json.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <limits>

namespace yuccawheel::scheduler
{

namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds MaxRequestedWait{10'000};
constexpr std::size_t MaxRackNameLength = 64;
constexpr std::uint64_t MaxAmount = std::uint64_t{1} << 40U;
constexpr std::uint64_t MaxCounter = std::numeric_limits<std::uint64_t>::max();

constexpr std::array<std::pair<std::string_view, placement::TaskState>, 6> StateNames{{
    {"running", placement::TaskState::Running},
    {"finished", placement::TaskState::Finished},
    {"failed", placement::TaskState::Failed},
    {"stopped", placement::TaskState::Stopped},
    {"checkpointed", placement::TaskState::Checkpointed},
    {"unknown", placement::TaskState::Unknown},
}};

constexpr std::string_view kindName(placement::JobKind kind)
{
    switch (kind) {
    case placement::JobKind::Service:
        return "service";
    case placement::JobKind::Batch:
        return "batch";
    case placement::JobKind::Gang:
        return "gang";
    }
    return "batch";
}

[[noreturn]] void throwInvalid(const std::string &message)
{
    throw std::invalid_argument(message);
}

/// Returns a value as JSON text for error messages.
std::string toText(const json &value)
{
    return value.dump(-1, ' ', true, json::error_handler_t::replace);
}

/// Parses an integer from 0 to `max`. Other kinds of numbers are rejected: their conversion may be undefined behavior.
std::uint64_t parseNumber(const json &value, const char *key, std::uint64_t max)
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max) {
        throwInvalid(fmt::format("{}: found {}, allowed 0 to {}", key, toText(value), max));
    }
    return value.get<std::uint64_t>();
}

std::int64_t parseAmount(const json &object, const char *key)
{
    const auto found = object.find(key);
    return found == object.end() ? 0 : static_cast<std::int64_t>(parseNumber(*found, key, MaxAmount));
}

placement::Resources parseResources(const json &object)
{
    return {parseAmount(object, "milli_cpu"), parseAmount(object, "memory_mib"), parseAmount(object, "accelerators")};
}

placement::TaskState parseState(const std::string &name)
{
    for (const auto &[text, state] : StateNames) {
        if (text == name) {
            return state;
        }
    }
    throwInvalid("state: found " + name + ", allowed running, finished, failed, stopped, checkpointed, unknown");
}

Poll::Task parseTask(const json &object)
{
    Poll::Task task;
    const auto id = placement::parseTaskId(object.at("task").get<std::string>());
    if (!id) {
        throwInvalid("task: found " + object.at("task").get<std::string>() + ", allowed JOB.INDEX.ATTEMPT");
    }
    task.report.task = *id;
    task.report.state = parseState(object.at("state").get<std::string>());
    task.report.usage = parseResources(object.value("usage", json::object()));
    task.reserved = parseResources(object.value("reserved", json::object()));
    if (object.contains("limit")) {
        task.report.limit = parseResources(object.at("limit"));
        task.reserved = *task.report.limit;
    }
    return task;
}

} // namespace

tl::expected<Poll, std::string> parsePoll(std::string_view body)
{
    if (!base::isParsableJson(body)) {
        return tl::unexpected(std::string("the body is no JSON document or has too many values"));
    }
    try {
        const json object = json::parse(body);
        Poll poll;
        poll.incarnation = parseNumber(object.at("incarnation"), "incarnation", MaxCounter);
        poll.sequence = parseNumber(object.at("sequence"), "sequence", MaxCounter);
        poll.rack = object.value("rack", std::string());
        poll.full = object.value("full", false);
        if (poll.full) {
            poll.capacity = parseResources(object.at("capacity"));
        }
        poll.wait = std::chrono::milliseconds(
            parseNumber(object.value("wait_ms", json(0U)), "wait_ms", MaxRequestedWait.count()));
        if (poll.rack.size() > MaxRackNameLength) {
            throwInvalid(fmt::format("rack: allowed at most {} bytes", MaxRackNameLength));
        }
        for (const json &task : object.value("tasks", json::array())) {
            poll.tasks.push_back(parseTask(task));
        }
        return poll;
    } catch (const std::exception &error) {
        return tl::make_unexpected(std::string(error.what()));
    }
}

std::string formatStart(const placement::StartTask &start, const JobInfo &job)
{
    json command{{"command", "start"},
                 {"task", placement::toString(start.task)},
                 {"reserved", start.reserved},
                 {"payload", job.payload},
                 {"kind", kindName(job.kind)},
                 {"name", job.name},
                 {"detached_for_ms", job.detachedFor.count()}};
    if (start.resumeFromCheckpoint) {
        command["resume"] = true;
    }
    return command.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string formatStop(const placement::StopTask &stop)
{
    return json{{"command", "stop"}, {"task", placement::toString(stop.task)}, {"checkpoint", stop.checkpointFirst}}
        .dump();
}

std::string formatThrottle(const placement::ThrottleTask &throttle)
{
    return json{{"command", "throttle"}, {"task", placement::toString(throttle.task)}, {"limit", throttle.limit}}
        .dump();
}

// Idle workers get an answer every second, so fields with default values are omitted.
std::string formatAnswer(const AnswerHeader &header,
                         std::uint64_t acknowledged,
                         bool needFull,
                         const std::vector<std::string> &commands)
{
    std::string answer = fmt::format(R"({{"epoch":[{},0],"owner":"{}","acknowledged":{},"lease_ms":{})",
                                     header.epoch,
                                     header.owner,
                                     acknowledged,
                                     header.lease.count());
    answer += needFull ? R"(,"need_full":true)" : "";
    answer += header.released ? R"(,"released":true)" : "";
    answer += commands.empty() ? "" : fmt::format(R"(,"commands":[{}])", fmt::join(commands, ","));
    return answer + '}';
}

} // namespace yuccawheel::scheduler
