#pragma once

#include "http/server.h"

#include <cstddef>
#include <string_view>

namespace yuccawheel::platform
{

/// An answer that only says what is wrong.
http::Response errorAnswer(int status, std::string_view error);

/// Options of a server that takes bodies of at most so many bytes.
http::ServerOptions serverOptions(std::size_t mostBodyBytes);

} // namespace yuccawheel::platform
