// Answers operators' queries, which entries forward to the schedulers. Most of them need the zone's owner.

#include "daemon/cost.h"
#include "placement/resources_json.h"
#include "scheduler_service.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <charconv>

namespace yuccawheel::scheduler
{

namespace
{

using nlohmann::json;

std::string_view stateName(const Worker &worker)
{
    if (worker.draining) {
        return "draining";
    }
    switch (worker.state) {
    case Worker::State::Unknown:
        return "unknown";
    case Worker::State::Active:
        return "active";
    case Worker::State::Silent:
        return "silent";
    case Worker::State::Expired:
        return "expired";
    }
    return "unknown";
}

template <typename Number>
Number parseNumber(const std::string &text)
{
    Number number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

protocol::RequestError makeError(protocol::ErrorCode code, std::string message)
{
    return {code, base::Verdict::NotRun, std::move(message), {}};
}

} // namespace

void SchedulerService::handleInnerFrame(const protocol::ChannelPtr &channel, const protocol::Frame &frame)
{
    if (configuration_.handle(channel, frame)) {
        return;
    }
    if (frame.type != protocol::MessageType::Query || frame.kind != protocol::FrameKind::Request) {
        return;
    }
    const auto query = protocol::decode<protocol::Query>(frame.payload);
    if (!query) {
        channel->reply(frame.correlation, makeError(protocol::ErrorCode::BadRequest, query.error().message));
        return;
    }
    if (query->kind == protocol::QueryKind::ResourceUsage) {
        channel->reply(frame.correlation, protocol::QueryReply{daemon::costJson(context_.self)});
        return;
    }
    if (query->kind == protocol::QueryKind::Starts) {
        const std::chrono::milliseconds since(parseNumber<std::int64_t>(query->argument));
        channel->reply(frame.correlation, protocol::QueryReply{starts_.summarize(since).dump()});
        return;
    }
    if (!hub_.isOwner()) {
        channel->reply(frame.correlation,
                       makeError(protocol::ErrorCode::NotOwner, "this scheduler does not own the zone"));
        return;
    }
    if (query->kind == protocol::QueryKind::Explain) {
        explain(channel, frame.correlation, parseNumber<placement::JobId>(query->argument));
        return;
    }
    if (query->kind == protocol::QueryKind::Workers) {
        listWorkers(channel, frame.correlation);
        return;
    }
    const auto answer = answerQuery(*query);
    if (answer) {
        channel->reply(frame.correlation, protocol::QueryReply{*answer});
    } else {
        channel->reply(frame.correlation, answer.error());
    }
}

tl::expected<std::string, protocol::RequestError> SchedulerService::answerQuery(const protocol::Query &query)
{
    switch (query.kind) {
    case protocol::QueryKind::RunningTasks:
        return runningTasksJson();
    case protocol::QueryKind::Drain:
    case protocol::QueryKind::Undrain:
        if (!hub_.drain(query.argument, query.kind == protocol::QueryKind::Drain)) {
            return tl::make_unexpected(makeError(protocol::ErrorCode::NotFound, "this zone has no such worker"));
        }
        return std::string("{}");
    default:
        return tl::make_unexpected(
            makeError(protocol::ErrorCode::BadRequest, "schedulers do not answer this kind of query"));
    }
}

template <typename Answer>
void SchedulerService::queryPlanner(const protocol::ChannelPtr &channel,
                                    std::uint64_t correlation,
                                    std::function<Answer(const placement::Planner &)> query,
                                    std::function<std::string(const Answer &)> format)
{
    auto runQuery = [this, alive = alive_, channel, correlation, query = std::move(query), format = std::move(format)](
                        const placement::Planner &planner) {
        boost::asio::post(context_.io, [alive, channel, correlation, format, answer = query(planner)] {
            if (*alive != nullptr) {
                channel->reply(correlation, protocol::QueryReply{format(answer)});
            }
        });
    };
    PlannerInput input{PlannerInput::Query{std::move(runQuery)}, 0, std::nullopt};
    if (!planner_ || !planner_->tryPush(std::move(input))) {
        channel->reply(correlation, makeError(protocol::ErrorCode::Overloaded, "the planner's input queue is full"));
    }
}

void SchedulerService::explain(const protocol::ChannelPtr &channel, std::uint64_t correlation, placement::JobId job)
{
    queryPlanner<std::string>(
        channel,
        correlation,
        [job](const placement::Planner &planner) { return planner.explain(job); },
        [this, job](const std::string &text) {
            return json{{"zone", context_.self.zone}, {"job", job}, {"text", text}}.dump();
        });
}

// The planner knows which workers are quarantined or on probation; the hub knows everything else about them.
void SchedulerService::listWorkers(const protocol::ChannelPtr &channel, std::uint64_t correlation)
{
    using Restrictions = std::vector<placement::WorkerRestriction>;
    queryPlanner<Restrictions>(
        channel,
        correlation,
        [](const placement::Planner &planner) { return planner.restrictedWorkers(); },
        [this](const Restrictions &restricted) { return workersJson(restricted); });
}

std::string SchedulerService::workersJson(const std::vector<placement::WorkerRestriction> &restricted) const
{
    json workers = json::array();
    for (const Worker &worker : hub_.workers()) {
        placement::Resources reserved;
        json tasks = json::array();
        for (const auto &[task, outstanding] : worker.tasks) {
            reserved += outstanding.reserved;
            tasks.push_back(placement::toString(task));
        }
        workers.push_back({{"name", worker.name},
                           {"zone", context_.self.zone},
                           {"rack", worker.rack},
                           {"state", stateName(worker)},
                           {"reason", ""},
                           {"capacity", worker.capacity},
                           {"reserved", reserved},
                           {"tasks", std::move(tasks)}});
    }
    for (const placement::WorkerRestriction &restriction : restricted) {
        if (restriction.worker >= workers.size()) {
            continue;
        }
        json &worker = workers[restriction.worker];
        worker["reason"] = restriction.reason;
        if (worker["state"] == "active") {
            worker["state"] = restriction.probation ? "probation" : "quarantined";
        }
    }
    return json{{"workers", std::move(workers)}}.dump();
}

std::string SchedulerService::runningTasksJson() const
{
    std::map<placement::JobId, std::uint64_t> running;
    for (const Worker &worker : hub_.workers()) {
        for (const auto &[task, outstanding] : worker.tasks) {
            ++running[task.job];
        }
    }
    return json{{"zone", context_.self.zone}, {"running", running}}.dump();
}

} // namespace yuccawheel::scheduler
