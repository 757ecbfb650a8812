#pragma once

#include "http/server.h"

#include <cstddef>
#include <string_view>

namespace yuccawheel::platform
{

/// A JSON response with an `error` field.
http::Response errorResponse(int status, std::string_view error);

/// Options of a server that accepts request bodies of up to `maxBodyBytes` over at most `maxConnections` connections.
http::ServerOptions serverOptions(std::size_t maxBodyBytes, std::size_t maxConnections);

} // namespace yuccawheel::platform
