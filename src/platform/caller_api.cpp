#include "platform/caller_api.h"

#include "base/log.h"
#include "platform/answers.h"
#include "platform/job_format.h"
#include "platform/json_fields.h"

#include <charconv>

namespace yuccawheel::platform
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds DefaultPatience{3'000}; ///< Of callers that do not say how long they wait.
constexpr std::size_t MostBodyBytes = 256U << 10U; ///< The configurations' own limit on bodies.

milliseconds patienceOf(const http::Request &request)
{
    const std::string_view text = request.header("yuccawheel-deadline-ms");
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size() && value > 0 ? milliseconds(value)
                                                                                 : DefaultPatience;
}

std::string hostOf(const http::Request &request)
{
    const std::string_view host = request.header("host");
    return std::string(host.substr(0, host.find(':')));
}

void addRetryAfter(http::Response &response, milliseconds delay)
{
    const auto seconds = std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(delay).count());
    response.headers.emplace_back("Retry-After", std::to_string(seconds));
}

http::Response encode(const workflow::QueueReply &reply)
{
    using workflow::QueueOutcome;
    switch (reply.outcome) {
    case QueueOutcome::Accepted:
        return {200, "{}", "application/json", {}};
    case QueueOutcome::State:
        return {200, Json{{"state", workflow::toString(reply.phase)}}.dump(), "application/json", {}};
    case QueueOutcome::Pending:
        return {200, Json{{"pending", reply.pending}}.dump(), "application/json", {}};
    case QueueOutcome::NoSuchQueue:
        return errorAnswer(404, "no such queue");
    case QueueOutcome::NoSuchJob:
        return errorAnswer(410, "no such job");
    case QueueOutcome::Malformed:
        return errorAnswer(400, reply.reason);
    case QueueOutcome::Refused:
        break;
    }
    http::Response response = errorAnswer(503, reply.reason);
    addRetryAfter(response, reply.retryAfter);
    return response;
}

} // namespace

CallerApi::CallerApi(boost::asio::io_context &io,
                     const boost::asio::ip::tcp::endpoint &address,
                     workflow::CallerHandler &handler)
    : handler_(handler)
    , server_(io,
              address,
              serverOptions(MostBodyBytes),
              [this](const http::Request &request, const http::Responder &respond) { handle(request, respond); })
{
}

void CallerApi::handle(const http::Request &request, const http::Responder &respond)
{
    workflow::QueueRequest queue;
    queue.host = hostOf(request);
    queue.path = request.path;
    if (request.method == "POST") {
        queue.verb = workflow::QueueVerb::Submit;
        try {
            queue.job = decodeJob(request.body);
        } catch (const FormatError &error) {
            base::logInfo("job_unreadable").with("path", request.path).with("reason", error.what());
            respond(errorAnswer(400, error.what()));
            return;
        }
    } else if (request.method == "DELETE") {
        queue.verb = workflow::QueueVerb::Cancel;
    } else if (request.method != "GET") {
        respond(errorAnswer(405, "methods are GET, POST and DELETE"));
        return;
    }
    ++inProgress_;
    const workflow::QueueVerb verb = queue.verb;
    handler_.handle(std::move(queue),
                    patienceOf(request),
                    [this, respond, verb](const tl::expected<workflow::QueueReply, workflow::Unanswered> &reply) {
                        --inProgress_;
                        if (reply) {
                            respond(encode(*reply));
                            return;
                        }
                        // 503 would say that the job never runs, which nobody knows of one that was passed on.
                        const bool unknown = reply.error().mayTakeEffect && verb != workflow::QueueVerb::Read;
                        http::Response response =
                            errorAnswer(unknown ? 504 : 503, unknown ? "outcome unknown" : "no leader");
                        addRetryAfter(response, reply.error().retryAfter);
                        respond(std::move(response));
                    });
}

} // namespace yuccawheel::platform
