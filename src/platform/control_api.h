#pragma once

#include "base/work_queue.h"
#include "http/server.h"
#include "workflow/platform_interface.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <string>

namespace yuccawheel::platform
{

/// Serves worker reports and configuration requests over the platform's HTTP interface. Reports, of which there are
/// many, are items of a work queue; configuration requests are handled at once.
class ControlApi
{
public:
    /// Throws boost::system::system_error if the address can't be bound. `handler` must outlive the object.
    ControlApi(boost::asio::io_context &io,
               const boost::asio::ip::tcp::endpoint &address,
               base::WorkQueue &work,
               workflow::ControlHandler &handler,
               std::size_t maxConnections);

private:
    void handle(const http::Request &request, const http::Responder &respond);
    void queueReport(const http::Request &request, const http::Responder &respond);
    void handleReport(const std::string &path, const std::string &body, const http::Responder &respond);
    void report(const workflow::WorkerReport &report, const http::Responder &respond);
    void putConfiguration(const http::Request &request, const http::Responder &respond);
    void getConfiguration(const http::Responder &respond);

    base::WorkQueue &work_;
    workflow::ControlHandler &handler_;
    http::Server server_;
};

} // namespace yuccawheel::platform
