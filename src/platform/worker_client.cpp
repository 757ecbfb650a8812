#include "platform/worker_client.h"

#include "base/duty_time.h"
#include "platform/json_fields.h"
#include "platform/worker_answers.h"

namespace yuccawheel::platform
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds OrderTimeout{700}; ///< A healthy worker answers within a few milliseconds.
constexpr std::size_t MaxAnswerMemory = 32U << 20U; ///< For the answers that arrive from all workers at a time.
constexpr std::size_t MaxConnections = 6; ///< One for the long poll `hold`, the others for orders. Workers accept 64.

http::ClientRequest makeRequest(const workflow::WorkerIdentity &worker, const char *path, std::string body)
{
    return {"POST",
            path,
            {{"Content-Type", "application/json"}, {"Yuccawheel-Expect-Instance", worker.id}},
            std::move(body),
            true};
}

std::string encodePoll(const workflow::PollOrder &order, std::uint64_t acknowledged)
{
    Json body{{"fencing_token", order.fence}, {"last_seen", acknowledged}};
    if (order.leaseUntil) {
        body["until_ms"] = order.leaseUntil->count();
    }
    if (order.wait.count() > 0) {
        body["wait_ms"] = order.wait.count();
    }
    return encodeJson(body);
}

} // namespace

WorkerClient::WorkerClient(boost::asio::io_context &io,
                           base::WorkQueue &work,
                           std::function<std::size_t()> connectionLimit)
    : io_(io)
    , work_(work)
    , limiter_(std::make_shared<http::ConnectionLimiter>(io, std::move(connectionLimit)))
    , answerMemory_(std::make_shared<http::MemoryBudget>(MaxAnswerMemory))
{
}

WorkerClient::~WorkerClient()
{
    *alive_ = false;
}

http::CallPool::Done WorkerClient::queued(http::CallPool::Done handle)
{
    using Answer = tl::expected<http::ClientResponse, http::CallError>;
    return [this, alive = alive_, handle = std::move(handle)](Answer answer) mutable {
        auto item = [alive = std::move(alive), handle = std::move(handle), answer = std::move(answer)]() mutable {
            const base::DutyScope duty(base::Duty::Calls);
            if (*alive) {
                handle(std::move(answer));
            }
        };
        work_.post(base::WorkKind::Answers, std::move(item));
    };
}

http::CallPool &WorkerClient::poolFor(const std::string &address)
{
    auto &pool = pools_[address];
    if (!pool) {
        http::CallPoolOptions options;
        options.maxConnections = MaxConnections;
        options.limiter = limiter_;
        options.memory = answerMemory_;
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
              {"fencing_token", order.fence}};
    if (!order.checkpoint.empty()) {
        body["checkpoint"] = order.checkpoint;
    }
    if (!order.ticket.empty()) {
        body["ticket"] = order.ticket;
    }
    // The connection may have been closed by the end of the incarnation, which may have started the run before.
    http::ClientRequest request = makeRequest(worker, "/run-start", encodeJson(body));
    request.mayBeRepeated = false;
    poolFor(worker.address)
        .call(std::move(request), OrderTimeout, queued([id = worker.id, done = std::move(done)](const auto &answer) {
                  done(parseOrderAnswer(id, answer));
              }));
}

void WorkerClient::stop(const workflow::WorkerIdentity &worker,
                        const workflow::StopOrder &order,
                        std::function<void(const workflow::OrderAnswer &)> done)
{
    const base::DutyScope duty(base::Duty::Calls);
    const Json body{{"task", toString(order.task)}, {"run", order.run}, {"fencing_token", order.fence}};
    poolFor(worker.address)
        .call(makeRequest(worker, "/run-stop", encodeJson(body)),
              OrderTimeout,
              queued([id = worker.id, done = std::move(done)](const auto &answer) {
                  done(parseOrderAnswer(id, answer));
              }));
}

void WorkerClient::poll(const workflow::WorkerIdentity &worker,
                        const workflow::PollOrder &order,
                        std::function<void(const workflow::PollAnswer &)> done)
{
    const base::DutyScope duty(base::Duty::Calls);
    // Each incarnation numbers its ends from the start, so only the incarnation that listed an end may be told that it
    // is recorded. A connection doesn't outlive its process: once an answer on it has named the incarnation, all later
    // requests on it reach the same one.
    const auto acknowledgedOn = [acknowledged = order.acknowledged,
                                 born = worker.born](const http::ConnectionTag &tag) {
        return tag == born ? acknowledged : 0;
    };
    poolFor(worker.address)
        .call(
            makeRequest(worker, "/hold", {}),
            order.wait + OrderTimeout,
            queued([id = worker.id, born = worker.born, number = order.number, acknowledgedOn, done = std::move(done)](
                       const auto &answer) {
                workflow::PollAnswer pollAnswer = parsePollAnswer(id, number, answer);
                if (answer) {
                    pollAnswer.acknowledged = acknowledgedOn(answer->tagWhenSent);
                    const bool isExpected = born == 0 || pollAnswer.born == 0 || pollAnswer.born == born;
                    if (pollAnswer.outcome == workflow::OrderOutcome::Done && isExpected) {
                        *answer->connectionTag = born;
                    }
                }
                done(pollAnswer);
            }),
            [order, acknowledgedOn](const http::ConnectionTag &tag) { return encodePoll(order, acknowledgedOn(tag)); });
}

// Keeps a pool with calls in progress: a restarted worker may already use the same address.
void WorkerClient::forget(const workflow::WorkerIdentity &worker)
{
    const auto found = pools_.find(worker.address);
    if (found == pools_.end()) {
        return;
    }
    const bool isIdle = found->second->isIdle();
    found->second->closeConnections();
    if (isIdle) {
        pools_.erase(found);
    }
}

} // namespace yuccawheel::platform
