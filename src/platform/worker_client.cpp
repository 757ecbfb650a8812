#include "platform/worker_client.h"

#include "base/log.h"
#include "platform/json_fields.h"

namespace yuccawheel::platform
{

namespace
{

using std::chrono::milliseconds;
using workflow::OrderOutcome;

constexpr milliseconds OrderTimeout{700}; ///< A healthy worker answers within a few milliseconds.
constexpr std::size_t MostConnections = 6; ///< One waits for ends; the others carry orders. Workers take 64.

http::ClientRequest makeRequest(const workflow::WorkerIdentity &worker, const char *path, const Json &body)
{
    return {"POST",
            path,
            {{"Content-Type", "application/json"}, {"Yuccawheel-Expect-Instance", worker.id}},
            body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

OrderOutcome outcomeOf(int status, const Json &body)
{
    switch (status) {
    case 200:
        return OrderOutcome::Done;
    case 421:
        return OrderOutcome::OtherIncarnation;
    case 429:
    case 503:
        return OrderOutcome::Unhealthy;
    case 409: {
        const std::string reason = textField(body, "reason");
        return reason == "fence" ? OrderOutcome::StaleEpoch
            : reason == "old"    ? OrderOutcome::OldRun
            : reason == "late"   ? OrderOutcome::TooLate
            : reason == "room"   ? OrderOutcome::NoRoom
            : reason == "ticket" ? OrderOutcome::NoTicket
                                 : OrderOutcome::Malformed;
    }
    case 400:
        return OrderOutcome::Malformed;
    default:
        return OrderOutcome::NoAnswer;
    }
}

std::optional<milliseconds> clockIn(const Json &body)
{
    return body.contains("clock_ms") ? std::optional(milliseconds(integerField(body, "clock_ms"))) : std::nullopt;
}

Json bodyOf(const http::ClientResponse &response)
{
    return response.body.empty() ? Json::object() : parseObject(response.body);
}

// An answer that can't be read leaves open what became of the order.
workflow::OrderAnswer orderAnswer(const workflow::WorkerIdentity &worker,
                                  const tl::expected<http::ClientResponse, http::CallError> &answer)
{
    if (!answer) {
        base::logInfo("order_unanswered").with("worker", worker.id).with("reason", answer.error().text);
        return {};
    }
    try {
        const Json body = bodyOf(*answer);
        return {outcomeOf(answer->status, body), clockIn(body)};
    } catch (const FormatError &error) {
        base::logWarning("order_answer_unreadable").with("worker", worker.id).with("reason", error.what());
        return {};
    }
}

std::optional<workflow::RunOutcome> endOf(const std::string &word)
{
    using workflow::RunOutcome;
    for (const RunOutcome end : {RunOutcome::Done,
                                 RunOutcome::Failed,
                                 RunOutcome::Stopped,
                                 RunOutcome::LeaseExpired,
                                 RunOutcome::GangBroken,
                                 RunOutcome::GangIncomplete}) {
        if (toString(end) == word) {
            return end;
        }
    }
    return std::nullopt;
}

template <typename Value>
Value element(const Json &row, std::size_t position)
{
    if (!row.is_array() || row.size() <= position) {
        throw FormatError("a row is too short");
    }
    try {
        return row[position].get<Value>();
    } catch (const Json::exception &error) {
        throw FormatError(error.what());
    }
}

// Rows of `running` are task, run, checkpoint and percent; those of `ended` number, task, run, end and checkpoint.
void decodeLists(const Json &body, workflow::PollAnswer &look)
{
    look.born = integerField(body, "born");
    for (const Json &row : arrayField(body, "running")) {
        look.running.push_back({element<std::string>(row, 0),
                                element<std::uint32_t>(row, 1),
                                row.size() > 2 ? element<std::string>(row, 2) : std::string()});
    }
    for (const Json &row : arrayField(body, "ended")) {
        const auto how = endOf(element<std::string>(row, 3));
        if (!how) {
            throw FormatError("an unknown kind of end");
        }
        look.ended.push_back({element<std::uint64_t>(row, 0),
                              element<std::string>(row, 1),
                              element<std::uint32_t>(row, 2),
                              *how,
                              row.size() > 4 ? element<std::string>(row, 4) : std::string()});
    }
}

workflow::PollAnswer lookAnswer(const workflow::WorkerIdentity &worker,
                                std::uint64_t number,
                                const tl::expected<http::ClientResponse, http::CallError> &answer)
{
    workflow::PollAnswer look;
    look.number = number;
    if (!answer) {
        base::logInfo("worker_poll_unanswered").with("worker", worker.id).with("reason", answer.error().text);
        return look;
    }
    try {
        const Json body = bodyOf(*answer);
        look.clock = clockIn(body);
        const OrderOutcome outcome = outcomeOf(answer->status, body);
        if (outcome == OrderOutcome::Done) {
            decodeLists(body, look);
        }
        look.outcome = outcome;
    } catch (const FormatError &error) {
        base::logWarning("worker_poll_unreadable").with("worker", worker.id).with("reason", error.what());
        look = {};
        look.number = number;
    }
    return look;
}

} // namespace

WorkerClient::WorkerClient(boost::asio::io_context &io) : io_(io)
{
}

http::CallPool &WorkerClient::poolOf(const std::string &address)
{
    auto &pool = pools_[address];
    if (!pool) {
        http::CallPoolOptions options;
        options.maxConnections = MostConnections;
        // Reports with an address that can't be read are refused, so there is one here.
        pool = std::make_unique<http::CallPool>(io_, *settings::parseEndpoint(address), options);
    }
    return *pool;
}

void WorkerClient::start(const workflow::WorkerIdentity &worker,
                         const workflow::StartOrder &order,
                         std::function<void(const workflow::OrderAnswer &)> done)
{
    Json body{{"task", toString(order.task)},
              {"run", order.run},
              {"task_spec", order.payload},
              {"until_ms", order.leaseUntil.count()},
              {"fencing_token", order.epoch}};
    if (!order.checkpoint.empty()) {
        body["checkpoint"] = order.checkpoint;
    }
    if (!order.ticket.empty()) {
        body["ticket"] = order.ticket;
    }
    poolOf(worker.address)
        .call(makeRequest(worker, "/run-start", body),
              OrderTimeout,
              [worker, done = std::move(done)](const auto &answer) { done(orderAnswer(worker, answer)); });
}

void WorkerClient::stop(const workflow::WorkerIdentity &worker,
                        const workflow::StopOrder &order,
                        std::function<void(const workflow::OrderAnswer &)> done)
{
    const Json body{{"task", toString(order.task)}, {"run", order.run}, {"fencing_token", order.epoch}};
    poolOf(worker.address)
        .call(makeRequest(worker, "/run-stop", body),
              OrderTimeout,
              [worker, done = std::move(done)](const auto &answer) { done(orderAnswer(worker, answer)); });
}

void WorkerClient::poll(const workflow::WorkerIdentity &worker,
                        const workflow::PollOrder &order,
                        std::function<void(const workflow::PollAnswer &)> done)
{
    Json body{{"fencing_token", order.epoch}, {"last_seen", order.acknowledged}};
    if (order.leaseUntil) {
        body["until_ms"] = order.leaseUntil->count();
    }
    if (order.wait.count() > 0) {
        body["wait_ms"] = order.wait.count();
    }
    const http::ClientRequest request = makeRequest(worker, "/hold", body);
    // A connection does not outlive a process, so that one over which answers came leads to the same life.
    body["last_seen"] = 0;
    poolOf(worker.address)
        .call(
            request,
            order.wait + OrderTimeout,
            [worker, order, done = std::move(done)](const auto &answer) {
                workflow::PollAnswer look = lookAnswer(worker, order.number, answer);
                look.acknowledged = answer && !answer->onNewConnection ? order.acknowledged : 0;
                done(look);
            },
            body.dump());
}

// Another life may be at the address already, and have calls of its own in progress.
void WorkerClient::forget(const workflow::WorkerIdentity &worker)
{
    const auto found = pools_.find(worker.address);
    if (found == pools_.end()) {
        return;
    }
    found->second->closeConnections();
    if (found->second->isIdle()) {
        pools_.erase(found);
    }
}

} // namespace yuccawheel::platform
