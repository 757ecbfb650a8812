#include "worker_protocol.h"

#include "placement/resources_json.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>

namespace yuccawheel::scheduler
{

namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds MaxWait{10'000};
constexpr std::size_t MaxRackName = 64;
constexpr std::int64_t MaxAmount = std::int64_t{1} << 40U;

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

[[noreturn]] void refuse(const std::string &message)
{
    throw std::invalid_argument(message);
}

std::int64_t amount(const json &object, const char *key)
{
    const auto value = object.value(key, std::int64_t{0});
    if (value < 0 || value > MaxAmount) {
        refuse(fmt::format("{}: found {}, allowed 0 to {}", key, value, MaxAmount));
    }
    return value;
}

placement::Resources parseResources(const json &object)
{
    return {amount(object, "milli_cpu"), amount(object, "memory_mib"), amount(object, "accelerators")};
}

placement::TaskState parseState(const std::string &name)
{
    for (const auto &[text, state] : StateNames) {
        if (text == name) {
            return state;
        }
    }
    refuse("state: found " + name + ", allowed running, finished, failed, stopped, checkpointed, unknown");
}

Poll::Task parseTask(const json &object)
{
    Poll::Task task;
    const auto id = placement::parseTaskId(object.at("task").get<std::string>());
    if (!id) {
        refuse("task: found " + object.at("task").get<std::string>() + ", allowed JOB.INDEX.ATTEMPT");
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
    try {
        const json object = json::parse(body);
        Poll poll;
        poll.incarnation = object.at("incarnation").get<std::uint64_t>();
        poll.sequence = object.at("sequence").get<std::uint64_t>();
        poll.rack = object.value("rack", std::string());
        poll.capacity = parseResources(object.at("capacity"));
        poll.full = object.value("full", false);
        poll.wait = std::chrono::milliseconds(object.value("wait_ms", std::int64_t{0}));
        if (poll.wait.count() < 0 || poll.wait > MaxWait) {
            refuse(fmt::format("wait_ms: found {}, allowed 0 to {}", poll.wait.count(), MaxWait.count()));
        }
        if (poll.rack.size() > MaxRackName) {
            refuse(fmt::format("rack: allowed at most {} bytes", MaxRackName));
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
    return json{{"command", "start"},
                {"task", placement::toString(start.task)},
                {"reserved", start.reserved},
                {"payload", job.payload},
                {"kind", kindName(job.kind)},
                {"name", job.name},
                {"resume", start.resumeFromCheckpoint},
                {"detached_for_ms", job.detachedFor.count()}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
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

std::string formatAnswer(const AnswerHead &head,
                         std::uint64_t acknowledged,
                         bool needFull,
                         const std::vector<std::string> &commands)
{
    return fmt::format(
        R"({{"epoch":[{},0],"owner":"{}","acknowledged":{},"lease_ms":{},"need_full":{},"released":{},"commands":[{}]}})",
        head.epoch,
        head.owner,
        acknowledged,
        head.lease.count(),
        needFull,
        head.released,
        fmt::join(commands, ","));
}

} // namespace yuccawheel::scheduler
