#include "daemon/health_server.h"

#include "base/duty_time.h"
#include "base/log.h"
#include "base/traffic.h"
#include "daemon/json_api.h"

#include <fmt/core.h>

namespace yuccawheel::daemon
{

HealthServer::HealthServer(Context &context, NotReadyReason notReadyReason)
    : context_(context)
    , notReadyReason_(std::move(notReadyReason))
{
    const auto &address = context.settings.listen.health;
    if (address) {
        http::ServerOptions options;
        options.maxConnections = MaxConnections;
        options.refusable = false;
        server_.emplace(
            context.io,
            toAsio(*address),
            options,
            [this](const http::Request &request, const http::Responder &respond) { handle(request, respond); });
        base::logInfo("listening").with("on", "health").with("port", server_->address().port());
    }
}

void HealthServer::handle(const http::Request &request, const http::Responder &respond) const
{
    if (request.path == "/healthz") {
        respond({200, "ok\n", "text/plain", {}});
    } else if (request.path == "/readyz") {
        const auto reason = notReadyReason_();
        respond({reason ? 503 : 200, reason.value_or("ready") + "\n", "text/plain", {}});
    } else if (request.path == "/metrics") {
        context_.metrics.gauge("yw_log_lines_dropped").set(static_cast<std::int64_t>(base::LogWriter::dropped()));
        const base::ControlTraffic &traffic = base::controlTraffic();
        context_.metrics.gauge("yw_control_sent_bytes").set(static_cast<std::int64_t>(traffic.sentBytes()));
        context_.metrics.gauge("yw_control_received_bytes").set(static_cast<std::int64_t>(traffic.receivedBytes()));
        for (std::size_t kind = 0; kind < base::ControlTraffic::KindCount; ++kind) {
            const auto sent = static_cast<std::int64_t>(traffic.sentBytes(kind));
            const auto received = static_cast<std::int64_t>(traffic.receivedBytes(kind));
            if (sent + received > 0) {
                const std::string label = fmt::format("{{kind=\"{}\"}}", kind);
                context_.metrics.gauge("yw_control_kind_sent_bytes" + label).set(sent);
                context_.metrics.gauge("yw_control_kind_received_bytes" + label).set(received);
            }
        }
        const auto times = base::timeByDuty();
        for (std::size_t duty = 0; duty < base::DutyCount; ++duty) {
            const auto name = base::toString(static_cast<base::Duty>(duty));
            context_.metrics.gauge(fmt::format("yw_duty_microseconds{{duty=\"{}\"}}", name)).set(times[duty].count());
        }
        respond({200, context_.metrics.render(), "text/plain; version=0.0.4", {}});
    } else {
        respond(errorResponse(404, "not_found", "paths are /healthz, /readyz and /metrics"));
    }
}

} // namespace yuccawheel::daemon
