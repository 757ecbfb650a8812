#include "platform/responses.h"

#include "platform/json_fields.h"

namespace yuccawheel::platform
{

http::Response errorResponse(int status, std::string_view error)
{
    return {status, encodeJson(Json{{"error", error}}), "application/json", {}};
}

http::ServerOptions serverOptions(std::size_t maxBodyBytes, std::size_t maxConnections)
{
    http::ServerOptions options;
    options.maxBodyBytes = maxBodyBytes;
    options.maxConnections = maxConnections;
    return options;
}

} // namespace yuccawheel::platform
