#include "platform/caller_api.h"

#include "base/log.h"
#include "platform/job_format.h"
#include "platform/json_fields.h"
#include "platform/responses.h"

#include <charconv>

namespace yuccawheel::platform
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds DefaultTimeout{3'000}; ///< For callers that send no deadline header.
constexpr std::size_t MaxBodyBytes = 256U << 10U; ///< Limit stated in the platform's configurations.

milliseconds timeoutOf(const http::Request &request)
{
    const std::string_view text = request.header("yuccawheel-deadline-ms");
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size() && value > 0 ? milliseconds(value) : DefaultTimeout;
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

http::Response toResponse(const workflow::QueueReply &reply)
{
    using workflow::QueueOutcome;
    switch (reply.outcome) {
    case QueueOutcome::Accepted:
        return {200, "{}", "application/json", {}};
    case QueueOutcome::State:
        return {200, encodeJson(Json{{"state", workflow::toString(reply.phase)}}), "application/json", {}};
    case QueueOutcome::Pending:
        return {200, encodeJson(Json{{"pending", reply.pending}}), "application/json", {}};
    case QueueOutcome::NoSuchQueue:
        return errorResponse(404, "no such queue");
    case QueueOutcome::NoSuchJob:
        return errorResponse(410, "no such job");
    case QueueOutcome::Malformed:
        return errorResponse(400, reply.reason);
    case QueueOutcome::Refused:
        break;
    }
    http::Response response = errorResponse(503, reply.reason);
    addRetryAfter(response, reply.retryAfter);
    return response;
}

} // namespace

CallerApi::CallerApi(boost::asio::io_context &io,
                     const boost::asio::ip::tcp::endpoint &address,
                     workflow::CallerHandler &handler,
                     std::size_t maxConnections)
    : handler_(handler)
    , server_(io,
              address,
              serverOptions(MaxBodyBytes, maxConnections),
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
            respond(errorResponse(400, error.what()));
            return;
        }
    } else if (request.method == "DELETE") {
        queue.verb = workflow::QueueVerb::Cancel;
    } else if (request.method != "GET") {
        respond(errorResponse(405, "the methods are GET, POST and DELETE"));
        return;
    }
    const workflow::QueueVerb verb = queue.verb;
    handler_.handle(std::move(queue),
                    timeoutOf(request),
                    [respond, verb](const tl::expected<workflow::QueueReply, workflow::Unanswered> &reply) {
                        if (reply) {
                            respond(toResponse(*reply));
                            return;
                        }
                        // 503 promises that the job never runs, which is unknown once the request was forwarded.
                        const bool isOutcomeUnknown = reply.error().mayTakeEffect && verb != workflow::QueueVerb::Read;
                        http::Response response = errorResponse(isOutcomeUnknown ? 504 : 503,
                                                                isOutcomeUnknown ? "outcome unknown" : "no leader");
                        addRetryAfter(response, reply.error().retryAfter);
                        respond(std::move(response));
                    });
}

} // namespace yuccawheel::platform
