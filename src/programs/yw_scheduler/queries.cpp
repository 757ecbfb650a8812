// Questions of operators that only the zone's scheduler can answer.

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

protocol::RequestError refusal(protocol::ErrorCode code, std::string message)
{
    return {code, base::Verdict::NotRun, std::move(message), {}};
}

} // namespace

void SchedulerService::handleInner(const protocol::ChannelPtr &channel, const protocol::Frame &frame)
{
    if (configuration_.handle(channel, frame)) {
        return;
    }
    if (frame.type != protocol::MessageType::Query || frame.kind != protocol::FrameKind::Request) {
        return;
    }
    const auto query = protocol::decode<protocol::Query>(frame.payload);
    if (!query) {
        channel->reply(frame.correlation, refusal(protocol::ErrorCode::BadRequest, query.error().message));
        return;
    }
    if (!hub_.owning()) {
        channel->reply(frame.correlation,
                       refusal(protocol::ErrorCode::NotOwner, "this scheduler doesn't own the zone"));
        return;
    }
    if (query->kind == protocol::QueryKind::Explain) {
        placement::JobId job = 0;
        const std::string &text = query->argument;
        std::from_chars(text.data(), text.data() + text.size(), job);
        explain(channel, frame.correlation, job);
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
    case protocol::QueryKind::Workers:
        return workersJson();
    case protocol::QueryKind::Drain:
    case protocol::QueryKind::Undrain:
        if (!hub_.drain(query.argument, query.kind == protocol::QueryKind::Drain)) {
            return tl::make_unexpected(refusal(protocol::ErrorCode::NotFound, "no such worker in this zone"));
        }
        return std::string("{}");
    default:
        return tl::make_unexpected(refusal(protocol::ErrorCode::BadRequest, "not a question for a scheduler"));
    }
}

// The planner's thread answers; its answer goes back through the network thread.
void SchedulerService::explain(const protocol::ChannelPtr &channel, std::uint64_t correlation, placement::JobId job)
{
    auto done = [this, alive = alive_, channel, correlation, job](std::string text) {
        boost::asio::post(context_.io, [this, alive, channel, correlation, job, text = std::move(text)] {
            if (*alive != nullptr) {
                const json answer{{"zone", context_.self.zone}, {"job", job}, {"text", text}};
                channel->reply(correlation, protocol::QueryReply{answer.dump()});
            }
        });
    };
    PlannerInput input{PlannerInput::Explain{job, std::move(done)}, 0, std::nullopt};
    if (!planner_ || !planner_->tryPush(std::move(input))) {
        channel->reply(correlation, refusal(protocol::ErrorCode::Overloaded, "the planner is busy"));
    }
}

std::string SchedulerService::workersJson() const
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
                           {"capacity", worker.capacity},
                           {"reserved", reserved},
                           {"tasks", std::move(tasks)}});
    }
    return json{{"workers", std::move(workers)}}.dump();
}

} // namespace yuccawheel::scheduler
