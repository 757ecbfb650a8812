#include "platform/answers.h"

#include "platform/json_fields.h"

namespace yuccawheel::platform
{

namespace
{

constexpr std::size_t MostConnections = 2'048; ///< Half of the descriptors of the platform's machines.

} // namespace

http::Response errorAnswer(int status, std::string_view error)
{
    return {status, Json{{"error", error}}.dump(), "application/json", {}};
}

http::ServerOptions serverOptions(std::size_t mostBodyBytes)
{
    http::ServerOptions options;
    options.maxBodyBytes = mostBodyBytes;
    options.maxConnections = MostConnections;
    return options;
}

} // namespace yuccawheel::platform
