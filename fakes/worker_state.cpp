#include "fakes/worker_state.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>

namespace yuccawheel::fakes
{

using base::TimePoint;
using nlohmann::json;
using placement::Resources;
using std::chrono::milliseconds;

namespace
{

Resources parseResources(const json &value)
{
    return {value.value("milli_cpu", std::int64_t{0}),
            value.value("memory_mib", std::int64_t{0}),
            value.value("accelerators", std::int64_t{0})};
}

json toJson(const Resources &amount)
{
    return {{"milli_cpu", amount.milliCpu}, {"memory_mib", amount.memoryMib}, {"accelerators", amount.accelerators}};
}

Resources scaled(const Resources &amount, double factor)
{
    return {static_cast<std::int64_t>(static_cast<double>(amount.milliCpu) * factor),
            static_cast<std::int64_t>(static_cast<double>(amount.memoryMib) * factor),
            amount.accelerators};
}

struct Payload {
    std::optional<milliseconds> runTime; ///< No value: the task runs until it is stopped.
    bool succeeds = true;
    double usage = 1; ///< Multiple of the reservation.
    std::string serve;
};

/// Parses `{run_ms: 200, result: ok|fail, usage: FACTOR, serve: NAME}`. Every key is optional; a payload that is not a
/// mapping is ignored. By default, services run until they are stopped and serve their own name.
Payload parsePayload(const json &command, milliseconds defaultRunTime)
{
    const bool isService = command.value("kind", "batch") == "service";
    Payload payload;
    if (isService) {
        payload.serve = command.value("name", "");
    } else {
        payload.runTime = defaultRunTime;
    }
    try {
        const YAML::Node node = YAML::Load(command.value("payload", ""));
        if (node.IsMap()) {
            payload.serve = node["serve"].as<std::string>(payload.serve);
            payload.succeeds = node["result"].as<std::string>("ok") == "ok";
            payload.usage = node["usage"].as<double>(1);
            if (node["run_ms"]) {
                payload.runTime = milliseconds(node["run_ms"].as<std::int64_t>(0));
            }
        }
    } catch (const YAML::Exception &) {
        return payload;
    }
    return payload;
}

} // namespace

WorkerState::WorkerState(WorkerOptions options, TimePoint now)
    : options_(std::move(options))
    , leaseUntil_(now)
    , lastAnswered_(now)
{
}

void WorkerState::advance(TimePoint now)
{
    struct EndedTask {
        TaskIndex index;
        std::string state;
        TimePoint at;
    };
    std::vector<EndedTask> endedTasks;
    for (const auto &[index, task] : running_) {
        const TimePoint deadline = lastAnswered_ + task.detachedFor;
        if (task.endsAt && *task.endsAt <= std::min(now, deadline)) {
            endedTasks.push_back({index, task.succeeds ? "finished" : "failed", *task.endsAt});
        } else if (deadline <= now) {
            endedTasks.push_back({index, "stopped", deadline});
        }
    }
    for (const EndedTask &task : endedTasks) {
        end(task.index, task.state, task.at);
    }
}

json WorkerState::poll(TimePoint now)
{
    ++sequence_;
    json tasks = json::array();
    auto wait = options_.wait;
    for (auto &[index, task] : running_) {
        const bool usageDue = !task.usageReported && task.startedAt + options_.usageLag <= now;
        if (fullReportNeeded_ || !task.reported || usageDue) {
            tasks.push_back(describe(task, now));
            task.reported = true;
            task.usageReported = task.usageReported || usageDue;
        }
        if (task.endsAt) {
            const auto left = std::chrono::ceil<milliseconds>(*task.endsAt - now);
            wait = std::clamp(left, milliseconds(1), wait);
        }
    }
    for (auto &[id, ended] : unacknowledgedEnds_) {
        tasks.push_back({{"task", id}, {"state", ended.state}});
        ended.firstSequence = ended.firstSequence == 0 ? sequence_ : ended.firstSequence;
    }
    json body{{"incarnation", options_.incarnation},
              {"sequence", sequence_},
              {"epoch", {epoch_.number, epoch_.rank}},
              {"wait_ms", wait.count()}};
    if (fullReportNeeded_) {
        body["full"] = true;
        body["rack"] = options_.rack;
        body["capacity"] = toJson(options_.capacity);
    }
    if (fullReportNeeded_ || !tasks.empty()) {
        body["tasks"] = std::move(tasks);
    }
    return body;
}

bool WorkerState::answer(const json &answer, TimePoint sentAt, TimePoint now)
{
    const auto &pair = answer.at("epoch");
    const Epoch epoch{pair.at(0).get<std::uint64_t>(), pair.at(1).get<std::uint64_t>()};
    const auto owner = answer.at("owner").get<std::string>();
    if (!acceptsEpoch(epoch, owner, now)) {
        return false;
    }
    fullReportNeeded_ = answer.value("need_full", false) || owner != owner_;
    epoch_ = epoch;
    owner_ = owner;
    lastAnswered_ = sentAt;
    leaseUntil_ = sentAt + milliseconds(answer.value("lease_ms", std::int64_t{0}));
    const auto acknowledged = answer.value("acknowledged", std::uint64_t{0});
    std::erase_if(unacknowledgedEnds_, [&](const auto &entry) {
        return entry.second.firstSequence != 0 && entry.second.firstSequence <= acknowledged;
    });
    for (const json &command : answer.value("commands", json::array())) {
        const auto name = command.at("command").get<std::string>();
        if (name == "start") {
            start(command, now);
        } else if (name == "stop") {
            stop(command, now);
        } else if (name == "throttle") {
            throttle(command);
        }
    }
    if (answer.value("released", false)) {
        releaseLease();
    }
    return true;
}

void WorkerState::pollFailed()
{
    fullReportNeeded_ = true;
}

void WorkerState::releaseLease()
{
    leaseUntil_ = TimePoint::min();
}

void WorkerState::losePower(TimePoint now)
{
    while (!running_.empty()) {
        end(running_.begin()->first, "lost", now);
    }
    unacknowledgedEnds_.clear();
    endStates_.clear();
    ++options_.incarnation;
    fullReportNeeded_ = true;
    lastAnswered_ = now;
}

std::vector<WorkerRecord> WorkerState::takeRecords()
{
    return std::exchange(records_, {});
}

/// Until the owner's lease expires, no other owner is accepted, whatever its epoch: the owner may still start tasks
/// against the capacity in its ledger.
bool WorkerState::acceptsEpoch(Epoch epoch, const std::string &owner, TimePoint now) const
{
    return !(epoch < epoch_) && (owner == owner_ || leaseUntil_ <= now || owner_.empty());
}

void WorkerState::start(const json &command, TimePoint now)
{
    const auto id = command.at("task").get<std::string>();
    const auto parsed = placement::parseTaskId(id);
    if (!parsed) {
        record(WorkerRecord::Kind::Violation, id, "malformed-task", now);
        return;
    }
    const TaskIndex index{parsed->job, parsed->index};
    const Resources reserved = parseResources(command.at("reserved"));
    Running task;
    task.id = id;
    task.reserved = reserved;
    task.startedAt = now;
    task.detachedFor = milliseconds(command.value("detached_for_ms", std::int64_t{60'000}));
    // The process may have been paused before it read the answer, so that detached_for has passed since the poll.
    if (lastAnswered_ + task.detachedFor <= now) {
        report(id, "stopped");
        return;
    }
    if (refuseStart(id, index, reserved, now)) {
        return;
    }
    const Payload payload = parsePayload(command, options_.runTime);
    task.usage = scaled(reserved, payload.usage * faults.usageFactor);
    task.succeeds = payload.succeeds && !faults.failEverything;
    if (faults.failEverything) {
        task.endsAt = now;
    } else if (payload.runTime) {
        task.endsAt = now + std::chrono::duration_cast<base::Duration>(*payload.runTime * faults.runTimeFactor);
    }
    running_.emplace(index, task);
    record(WorkerRecord::Kind::Start, id, "-", now);
    records_.back().serve = faults.failEverything ? "" : payload.serve;
}

/// Refuses known attempts, whose state is reported again, and starts that violate a guarantee of the platform: a second
/// attempt of a running task, or a start beyond the capacity. Returns whether the start was refused.
bool WorkerState::refuseStart(const std::string &id, TaskIndex index, const Resources &reserved, TimePoint now)
{
    if (const auto ended = endStates_.find(id); ended != endStates_.end()) {
        report(id, ended->second);
        return true;
    }
    Resources total = reserved;
    for (auto &[other, task] : running_) {
        if (task.id == id) {
            task.reported = false;
            return true;
        }
        if (other == index) {
            record(WorkerRecord::Kind::Violation, id, "second-attempt", now);
            report(id, "unknown");
            return true;
        }
        total += task.limit.value_or(task.reserved);
    }
    if (!total.fitsIn(options_.capacity)) {
        record(WorkerRecord::Kind::Violation, id, "over-capacity", now);
        report(id, "unknown");
        return true;
    }
    return false;
}

void WorkerState::stop(const json &command, TimePoint now)
{
    const auto id = command.at("task").get<std::string>();
    const auto parsed = placement::parseTaskId(id);
    const auto found = parsed ? running_.find({parsed->job, parsed->index}) : running_.end();
    if (found != running_.end() && found->second.id == id) {
        end(found->first, command.value("checkpoint", false) ? "checkpointed" : "stopped", now);
        return;
    }
    const auto ended = endStates_.find(id);
    report(id, ended == endStates_.end() ? "unknown" : ended->second);
}

void WorkerState::throttle(const json &command)
{
    const auto id = command.at("task").get<std::string>();
    for (auto &[index, task] : running_) {
        if (task.id == id) {
            task.limit = parseResources(command.at("limit"));
            task.usageReported = false;
        }
    }
}

void WorkerState::end(TaskIndex index, const std::string &state, TimePoint at)
{
    const auto task = running_.extract(index);
    const std::string &id = task.mapped().id;
    record(WorkerRecord::Kind::End, id, state, at);
    endStates_.emplace(id, state);
    report(id, state);
}

void WorkerState::report(const std::string &id, const std::string &state)
{
    unacknowledgedEnds_.try_emplace(id, Ended{state});
}

json WorkerState::describe(const Running &task, TimePoint now) const
{
    Resources usage;
    if (task.startedAt + options_.usageLag <= now) {
        usage = task.usage;
        if (task.limit) {
            usage.milliCpu = std::min(usage.milliCpu, task.limit->milliCpu);
            usage.memoryMib = std::min(usage.memoryMib, task.limit->memoryMib);
        }
    }
    json report{{"task", task.id}, {"state", "running"}};
    if (fullReportNeeded_) {
        report["reserved"] = toJson(task.reserved);
    }
    if (fullReportNeeded_ || task.limit) {
        report["limit"] = toJson(task.limit.value_or(task.reserved));
    }
    if (usage != Resources{}) {
        report["usage"] = toJson(usage);
    }
    return report;
}

void WorkerState::record(WorkerRecord::Kind kind, const std::string &task, const std::string &detail, TimePoint at)
{
    records_.push_back({kind, task, detail, "", at, options_.incarnation});
}

} // namespace yuccawheel::fakes
