#include "platform/control_api.h"

#include "base/duty_time.h"
#include "base/log.h"
#include "platform/job_format.h"
#include "platform/json_fields.h"
#include "platform/responses.h"

#include <boost/asio/post.hpp>

#include <optional>

namespace yuccawheel::platform
{

namespace
{

constexpr std::string_view PutPath = "/config/put";
constexpr std::size_t MaxConfigurationBytes = 4U << 20U; ///< The platform sends no larger body.
constexpr std::size_t MaxReportBytes = 64U << 10U; ///< Reports have some hundred bytes.
/// Larger configurations are decoded on a thread of their own.
constexpr std::size_t MaxImmediateBytes = 64U << 10U;

// Returns the worker id from a path `/instances/ID/ACTION`; nothing for any other path.
std::optional<std::string> workerIdFromPath(std::string_view path, std::string_view action)
{
    constexpr std::string_view Prefix = "/instances/";
    if (!path.starts_with(Prefix) || !path.ends_with(action) || path.size() <= Prefix.size() + action.size()) {
        return std::nullopt;
    }
    const std::string_view id = path.substr(Prefix.size(), path.size() - Prefix.size() - action.size());
    return id.find('/') == std::string_view::npos ? std::optional(std::string(id)) : std::nullopt;
}

http::ServerOptions controlOptions(std::size_t maxConnections)
{
    http::ServerOptions options = serverOptions(MaxConfigurationBytes, maxConnections);
    options.bodyLimit = [](std::string_view path) {
        return path == PutPath ? MaxConfigurationBytes : MaxReportBytes;
    };
    return options;
}

tl::expected<workflow::Configuration, std::string> readConfiguration(std::string_view body)
{
    const base::DutyScope duty(base::Duty::Reports);
    try {
        workflow::Configuration configuration = decodeConfiguration(body);
        if (const auto fault = workflow::findFault(configuration)) {
            base::logInfo("configuration_invalid").with("version", configuration.version).with("reason", *fault);
            return tl::unexpected(*fault);
        }
        return configuration;
    } catch (const FormatError &error) {
        base::logInfo("request_unreadable").with("path", PutPath).with("reason", error.what());
        return tl::unexpected(std::string(error.what()));
    }
}

} // namespace

ControlApi::ControlApi(boost::asio::io_context &io,
                       const boost::asio::ip::tcp::endpoint &address,
                       base::WorkQueue &work,
                       workflow::ControlHandler &handler,
                       std::size_t maxConnections)
    : io_(io)
    , work_(work)
    , handler_(handler)
    , server_(io,
              address,
              controlOptions(maxConnections),
              [this](const http::Request &request, const http::Responder &respond) { handle(request, respond); })
{
}

ControlApi::~ControlApi()
{
    *alive_ = false;
}

void ControlApi::handle(const http::Request &request, const http::Responder &respond)
{
    if (request.method == "GET" && request.path == "/config/get") {
        getConfiguration(respond);
    } else if (request.method != "POST") {
        respond(errorResponse(405, "the methods are GET and POST"));
    } else if (request.path == PutPath) {
        putConfiguration(request, respond);
    } else {
        queueReport(request, respond);
    }
}

void ControlApi::queueReport(const http::Request &request, const http::Responder &respond)
{
    const bool queued = work_.post(base::WorkKind::Reports, [this, path = request.path, body = request.body, respond] {
        const base::DutyScope duty(base::Duty::Reports);
        handleReport(path, body, respond);
    });
    if (!queued) {
        base::logWarning("report_shed").with("path", request.path);
        http::Response response = errorResponse(503, "too many reports wait");
        response.headers.emplace_back("Retry-After", "1");
        respond(std::move(response));
    }
}

void ControlApi::handleReport(const std::string &path, const std::string &body, const http::Responder &respond)
{
    try {
        if (const auto reportingId = workerIdFromPath(path, "/heartbeat")) {
            report(decodeReport(*reportingId, body), respond);
        } else if (const auto leavingId = workerIdFromPath(path, "/leave")) {
            report(decodeFinalReport(*leavingId, body), respond);
        } else {
            respond(errorResponse(404, "unknown path"));
        }
    } catch (const FormatError &error) {
        base::logInfo("request_unreadable").with("path", path).with("reason", error.what());
        respond(errorResponse(400, error.what()));
    }
}

void ControlApi::report(const workflow::WorkerReport &report, const http::Responder &respond)
{
    handler_.report(report, [respond](const tl::expected<workflow::ReportWorkerReply, workflow::Unanswered> &reply) {
        if (!reply) {
            respond(errorResponse(503, "no leader"));
            return;
        }
        Json body = Json::object();
        if (!reply->reportTo.empty()) {
            body["heartbeat_addr"] = reply->reportTo; // The worker sends its next reports there.
        }
        respond({200, encodeJson(body), "application/json", {}});
    });
}

// Decoding a large document takes a good part of the time after which a leader counts as lost, and elections, leases
// and reports need the network thread meanwhile.
void ControlApi::putConfiguration(const http::Request &request, const http::Responder &respond)
{
    if (request.body.size() <= MaxImmediateBytes) {
        storeConfiguration(readConfiguration(request.body), respond);
        return;
    }
    // The responder belongs to the network thread: it is moved on, so that no copy is destroyed on the other one.
    boost::asio::post(
        decoder_, [this, alive = alive_, body = request.body, respond = http::Responder(respond)]() mutable {
            auto configuration = readConfiguration(body);
            boost::asio::post(
                io_, [this, alive, configuration = std::move(configuration), respond = std::move(respond)]() mutable {
                    if (*alive) {
                        storeConfiguration(std::move(configuration), respond);
                    }
                });
        });
}

void ControlApi::storeConfiguration(tl::expected<workflow::Configuration, std::string> configuration,
                                    const http::Responder &respond)
{
    if (!configuration) {
        respond(errorResponse(400, configuration.error()));
        return;
    }
    handler_.putConfiguration(
        std::move(*configuration),
        [respond](const tl::expected<workflow::PutConfigurationReply, workflow::Unanswered> &reply) {
            respond(reply ? http::Response{200, encodeJson(Json{{"version", reply->version}}), "application/json", {}}
                          : errorResponse(503, "no confirmation that the configuration is stored"));
        });
}

void ControlApi::getConfiguration(const http::Responder &respond)
{
    handler_.getConfiguration(
        [respond](const tl::expected<workflow::GetConfigurationReply, workflow::Unanswered> &reply) {
            if (!reply || reply->version == 0) {
                respond(errorResponse(503, "this process does not know the newest configuration"));
                return;
            }
            respond({200, reply->text, "application/json", {}});
        });
}

} // namespace yuccawheel::platform
