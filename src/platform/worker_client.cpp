#include "platform/worker_client.h"

#include "base/duty_time.h"
#include "base/log.h"
#include "platform/json_fields.h"

namespace yuccawheel::platform
{

namespace
{

using std::chrono::milliseconds;
using workflow::OrderOutcome;

constexpr milliseconds OrderTimeout{700}; ///< A healthy worker answers within a few milliseconds.
constexpr std::size_t MaxConnections = 6; ///< One for the long poll `hold`, the others for orders. Workers accept 64.

http::ClientRequest makeRequest(const workflow::WorkerIdentity &worker, const char *path, const Json &body)
{
    return {"POST",
            path,
            {{"Content-Type", "application/json"}, {"Yuccawheel-Expect-Instance", worker.id}},
            body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

Json encodePoll(const workflow::PollOrder &order, std::uint64_t acknowledged)
{
    Json body{{"fencing_token", order.epoch}, {"last_seen", acknowledged}};
    if (order.leaseUntil) {
        body["until_ms"] = order.leaseUntil->count();
    }
    if (order.wait.count() > 0) {
        body["wait_ms"] = order.wait.count();
    }
    return body;
}

OrderOutcome parseOutcome(int status, const Json &body)
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

std::optional<milliseconds> parseClock(const Json &body)
{
    return body.contains("clock_ms") ? std::optional(milliseconds(integerField(body, "clock_ms"))) : std::nullopt;
}

Json parseBody(const http::ClientResponse &response)
{
    return response.body.empty() ? Json::object() : parseObject(response.body);
}

// An unreadable answer leaves the outcome of the order unknown: the default outcome is `NoAnswer`.
workflow::OrderAnswer parseOrderAnswer(const std::string &worker,
                                       const tl::expected<http::ClientResponse, http::CallError> &answer)
{
    if (!answer) {
        base::logInfo("order_unanswered").with("worker", worker).with("reason", answer.error().text);
        return {OrderOutcome::NoAnswer, std::nullopt, answer.error().verdict != base::Verdict::NotRun};
    }
    try {
        const Json body = parseBody(*answer);
        return {parseOutcome(answer->status, body), parseClock(body), true};
    } catch (const FormatError &error) {
        base::logWarning("order_answer_unreadable").with("worker", worker).with("reason", error.what());
        return {};
    }
}

std::optional<workflow::RunOutcome> parseRunOutcome(const std::string &text)
{
    using workflow::RunOutcome;
    for (const RunOutcome outcome : {RunOutcome::Done,
                                     RunOutcome::Failed,
                                     RunOutcome::Stopped,
                                     RunOutcome::LeaseExpired,
                                     RunOutcome::GangBroken,
                                     RunOutcome::GangIncomplete}) {
        if (toString(outcome) == text) {
            return outcome;
        }
    }
    return std::nullopt;
}

template <typename Value>
Value elementAt(const Json &row, std::size_t position)
{
    if (!row.is_array() || row.size() <= position) {
        throw FormatError("a row of field running or ended has too few columns");
    }
    try {
        return row[position].get<Value>();
    } catch (const Json::exception &error) {
        throw FormatError(error.what());
    }
}

// Columns of `running`: task, run, checkpoint, percent. Columns of `ended`: number, task, run, outcome, checkpoint.
void decodeRunLists(const Json &body, workflow::PollAnswer &pollAnswer)
{
    pollAnswer.born = integerField(body, "born");
    for (const Json &row : arrayField(body, "running")) {
        pollAnswer.running.push_back({elementAt<std::string>(row, 0),
                                      elementAt<std::uint32_t>(row, 1),
                                      row.size() > 2 ? elementAt<std::string>(row, 2) : std::string()});
    }
    for (const Json &row : arrayField(body, "ended")) {
        const auto outcome = parseRunOutcome(elementAt<std::string>(row, 3));
        if (!outcome) {
            throw FormatError("a row of field ended has an unknown outcome");
        }
        pollAnswer.ended.push_back({elementAt<std::uint64_t>(row, 0),
                                    elementAt<std::string>(row, 1),
                                    elementAt<std::uint32_t>(row, 2),
                                    *outcome,
                                    row.size() > 4 ? elementAt<std::string>(row, 4) : std::string()});
    }
}

workflow::PollAnswer parsePollAnswer(const std::string &worker,
                                     std::uint64_t number,
                                     const tl::expected<http::ClientResponse, http::CallError> &answer)
{
    workflow::PollAnswer pollAnswer;
    pollAnswer.number = number;
    if (!answer) {
        base::logInfo("worker_poll_unanswered").with("worker", worker).with("reason", answer.error().text);
        return pollAnswer;
    }
    try {
        const Json body = parseBody(*answer);
        pollAnswer.clock = parseClock(body);
        const OrderOutcome outcome = parseOutcome(answer->status, body);
        if (outcome == OrderOutcome::Done) {
            decodeRunLists(body, pollAnswer);
        }
        pollAnswer.outcome = outcome;
    } catch (const FormatError &error) {
        base::logWarning("worker_poll_unreadable").with("worker", worker).with("reason", error.what());
        pollAnswer = {};
        pollAnswer.number = number;
    }
    return pollAnswer;
}

} // namespace

WorkerClient::WorkerClient(boost::asio::io_context &io) : io_(io)
{
}

http::CallPool &WorkerClient::poolFor(const std::string &address)
{
    auto &pool = pools_[address];
    if (!pool) {
        http::CallPoolOptions options;
        options.maxConnections = MaxConnections;
        // Reports with a malformed address are refused, so parsing can't fail here.
        pool = std::make_unique<http::CallPool>(io_, *settings::parseEndpoint(address), options);
    }
    return *pool;
}

void WorkerClient::start(const workflow::WorkerIdentity &worker,
                         const workflow::StartOrder &order,
                         std::function<void(const workflow::OrderAnswer &)> done)
{
    const base::DutyScope duty(base::Duty::Calls);
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
    poolFor(worker.address)
        .call(makeRequest(worker, "/run-start", body),
              OrderTimeout,
              [id = worker.id, done = std::move(done)](const auto &answer) { done(parseOrderAnswer(id, answer)); });
}

void WorkerClient::stop(const workflow::WorkerIdentity &worker,
                        const workflow::StopOrder &order,
                        std::function<void(const workflow::OrderAnswer &)> done)
{
    const base::DutyScope duty(base::Duty::Calls);
    const Json body{{"task", toString(order.task)}, {"run", order.run}, {"fencing_token", order.epoch}};
    poolFor(worker.address)
        .call(makeRequest(worker, "/run-stop", body),
              OrderTimeout,
              [id = worker.id, done = std::move(done)](const auto &answer) { done(parseOrderAnswer(id, answer)); });
}

void WorkerClient::poll(const workflow::WorkerIdentity &worker,
                        const workflow::PollOrder &order,
                        std::function<void(const workflow::PollAnswer &)> done)
{
    const base::DutyScope duty(base::Duty::Calls);
    // On a new connection the worker may be a restarted process, so `last_seen` is sent as 0. A reused connection leads
    // to the same process as before, since connections don't outlive a process.
    poolFor(worker.address)
        .call(
            makeRequest(worker, "/hold", encodePoll(order, order.acknowledged)),
            order.wait + OrderTimeout,
            [id = worker.id, order, done = std::move(done)](const auto &answer) {
                workflow::PollAnswer pollAnswer = parsePollAnswer(id, order.number, answer);
                pollAnswer.acknowledged = answer && !answer->onNewConnection ? order.acknowledged : 0;
                done(pollAnswer);
            },
            [order] { return encodePoll(order, 0).dump(); });
}

// Keeps a pool with calls in progress: a restarted worker may already use the same address.
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
