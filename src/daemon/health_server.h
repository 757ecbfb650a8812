#pragma once

#include "daemon/daemon.h"
#include "http/server.h"

#include <functional>
#include <optional>
#include <string>

namespace yuccawheel::daemon
{

/// Serves /healthz, /readyz and /metrics on the health address.
class HealthServer
{
public:
    using NotReadyReason = std::function<std::optional<std::string>()>;
    static constexpr std::size_t MaxConnections = 64;

    HealthServer(Context &context, NotReadyReason notReadyReason);

private:
    void handle(const http::Request &request, const http::Responder &respond) const;

    Context &context_;
    NotReadyReason notReadyReason_;
    std::optional<http::Server> server_;
};

} // namespace yuccawheel::daemon
