#pragma once

#include "base/work_queue.h"
#include "http/server.h"
#include "workflow/configuration.h"
#include "workflow/platform_interface.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>
#include <tl/expected.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace yuccawheel::platform
{

/// Serves worker reports and configuration requests over the platform's HTTP interface. Reports, of which there are
/// many, are items of a work queue; configuration requests are handled at once, after a large one has been decoded on a
/// thread of its own.
class ControlApi
{
public:
    /// Throws boost::system::system_error if the address can't be bound. `handler` must outlive the object.
    ControlApi(boost::asio::io_context &io,
               const boost::asio::ip::tcp::endpoint &address,
               base::WorkQueue &work,
               workflow::ControlHandler &handler,
               std::size_t maxConnections);
    ~ControlApi();
    ControlApi(const ControlApi &) = delete;
    ControlApi &operator=(const ControlApi &) = delete;

private:
    void handle(const http::Request &request, const http::Responder &respond);
    void queueReport(const http::Request &request, const http::Responder &respond);
    void handleReport(const std::string &path, const std::string &body, const http::Responder &respond);
    void report(const workflow::WorkerReport &report, const http::Responder &respond);
    void putConfiguration(const http::Request &request, const http::Responder &respond);
    void storeConfiguration(tl::expected<workflow::Configuration, std::string> configuration,
                            const http::Responder &respond);
    void getConfiguration(const http::Responder &respond);

    boost::asio::io_context &io_;
    base::WorkQueue &work_;
    workflow::ControlHandler &handler_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< Used on the network thread.
    http::Server server_;
    boost::asio::thread_pool decoder_{1};
};

} // namespace yuccawheel::platform
