#pragma once

#include "http/server.h"
#include "settings/endpoint.h"
#include "workflow/platform_interface.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>

namespace yuccawheel::platform
{

/// Serves callers' job and queue requests over the platform's HTTP interface.
class CallerApi
{
public:
    /// Throws boost::system::system_error if the address can't be bound. `handler` must outlive the object.
    CallerApi(boost::asio::io_context &io,
              const boost::asio::ip::tcp::endpoint &address,
              workflow::CallerHandler &handler,
              std::size_t maxConnections);

private:
    void handle(const http::Request &request, const http::Responder &respond);

    workflow::CallerHandler &handler_;
    http::Server server_;
};

} // namespace yuccawheel::platform
