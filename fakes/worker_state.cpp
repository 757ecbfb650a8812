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

Resources resourcesFrom(const json &value)
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
    std::optional<milliseconds> runTime; ///< None: runs until it is stopped.
    bool succeeds = true;
    double usage = 1; ///< Use as a multiple of the reservation.
    std::string serve;
};

/// Reads `{run_ms: 200, result: ok|fail, usage: FACTOR, serve: NAME}`. Each key may be left out, and a payload that is
/// no mapping says nothing. Services run until they are stopped and serve their own name.
Payload readPayload(const json &command, milliseconds defaultRunTime)
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
    , grantEnds_(now)
    , lastAnswered_(now)
{
}

void WorkerState::advance(TimePoint now)
{
    struct Over {
        TaskIndex index;
        std::string state;
        TimePoint at;
    };
    std::vector<Over> over;
    for (const auto &[index, task] : running_) {
        const TimePoint deadline = lastAnswered_ + task.detachedFor;
        if (task.endsAt && *task.endsAt <= std::min(now, deadline)) {
            over.push_back({index, task.succeeds ? "finished" : "failed", *task.endsAt});
        } else if (deadline <= now) {
            over.push_back({index, "stopped", deadline});
        }
    }
    for (const Over &task : over) {
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
        if (needFull_ || !task.reported || usageDue) {
            tasks.push_back(describe(task, now));
            task.reported = true;
            task.usageReported = task.usageReported || usageDue;
        }
        if (task.endsAt) {
            const auto left = std::chrono::ceil<milliseconds>(*task.endsAt - now);
            wait = std::clamp(left, milliseconds(1), wait);
        }
    }
    for (auto &[id, ended] : ended_) {
        tasks.push_back({{"task", id}, {"state", ended.state}});
        ended.firstSequence = ended.firstSequence == 0 ? sequence_ : ended.firstSequence;
    }
    json body{{"incarnation", options_.incarnation},
              {"sequence", sequence_},
              {"epoch", {epoch_.number, epoch_.rank}},
              {"wait_ms", wait.count()}};
    if (needFull_) {
        body["full"] = true;
        body["rack"] = options_.rack;
        body["capacity"] = toJson(options_.capacity);
    }
    if (needFull_ || !tasks.empty()) {
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
    needFull_ = answer.value("need_full", false) || owner != owner_;
    epoch_ = epoch;
    owner_ = owner;
    lastAnswered_ = sentAt;
    grantEnds_ = sentAt + milliseconds(answer.value("lease_ms", std::int64_t{0}));
    const auto acknowledged = answer.value("acknowledged", std::uint64_t{0});
    std::erase_if(ended_, [&](const auto &entry) {
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
        release();
    }
    return true;
}

void WorkerState::pollFailed()
{
    needFull_ = true;
}

void WorkerState::release()
{
    grantEnds_ = TimePoint::min();
}

void WorkerState::losePower(TimePoint now)
{
    while (!running_.empty()) {
        end(running_.begin()->first, "lost", now);
    }
    ended_.clear();
    past_.clear();
    ++options_.incarnation;
    needFull_ = true;
    lastAnswered_ = now;
}

std::vector<WorkerRecord> WorkerState::takeRecords()
{
    return std::exchange(records_, {});
}

/// A grant that is still valid protects its owner's ledger against a second owner, whatever the epochs say.
bool WorkerState::acceptsEpoch(Epoch epoch, const std::string &owner, TimePoint now) const
{
    return !(epoch < epoch_) && (owner == owner_ || grantEnds_ <= now || owner_.empty());
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
    const Resources reserved = resourcesFrom(command.at("reserved"));
    Running task;
    task.id = id;
    task.reserved = reserved;
    task.startedAt = now;
    task.detachedFor = milliseconds(command.value("detached_for_ms", std::int64_t{60'000}));
    // The answer may have lain unread while this process was paused; its lease has run out then.
    if (lastAnswered_ + task.detachedFor <= now) {
        report(id, "stopped");
        return;
    }
    if (startRefused(id, index, reserved, now)) {
        return;
    }
    const Payload payload = readPayload(command, options_.runTime);
    task.usage = scaled(reserved, payload.usage * faults.usageFactor);
    task.succeeds = payload.succeeds && !faults.failEverything;
    if (faults.failEverything) {
        task.endsAt = now;
    } else if (payload.runTime) {
        task.endsAt = now + std::chrono::duration_cast<base::Duration>(*payload.runTime * faults.runFactor);
    }
    running_.emplace(index, task);
    record(WorkerRecord::Kind::Start, id, "-", now);
    records_.back().serve = faults.failEverything ? "" : payload.serve;
}

/// Known attempts are reported again; a second attempt and a start beyond the capacity are the platform's breach.
bool WorkerState::startRefused(const std::string &id, TaskIndex index, const Resources &reserved, TimePoint now)
{
    if (const auto past = past_.find(id); past != past_.end()) {
        report(id, past->second);
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
    const auto past = past_.find(id);
    report(id, past == past_.end() ? "unknown" : past->second);
}

void WorkerState::throttle(const json &command)
{
    const auto id = command.at("task").get<std::string>();
    for (auto &[index, task] : running_) {
        if (task.id == id) {
            task.limit = resourcesFrom(command.at("limit"));
            task.usageReported = false;
        }
    }
}

void WorkerState::end(TaskIndex index, const std::string &state, TimePoint at)
{
    const auto task = running_.extract(index);
    const std::string &id = task.mapped().id;
    record(WorkerRecord::Kind::End, id, state, at);
    past_.emplace(id, state);
    report(id, state);
}

void WorkerState::report(const std::string &id, const std::string &state)
{
    ended_.try_emplace(id, Ended{state});
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
    if (needFull_) {
        report["reserved"] = toJson(task.reserved);
    }
    if (needFull_ || task.limit) {
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
