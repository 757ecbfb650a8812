#include "platform/responses.h"

#include "platform/json_fields.h"

namespace yuccawheel::platform
{

namespace
{

constexpr std::size_t MaxConnections = 2'048; ///< Half of the file descriptors on the platform's VMs.

} // namespace

http::Response errorResponse(int status, std::string_view error)
{
    return {status, encodeJson(Json{{"error", error}}), "application/json", {}};
}

http::ServerOptions serverOptions(std::size_t maxBodyBytes)
{
    http::ServerOptions options;
    options.maxBodyBytes = maxBodyBytes;
    options.maxConnections = MaxConnections;
    return options;
}

} // namespace yuccawheel::platform
