#pragma once

#include "http/call_pool.h"
#include "workflow/platform_interface.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>

namespace yuccawheel::platform
{

/// Sends orders to workers over the platform's HTTP interface.
class WorkerClient : public workflow::WorkerCalls
{
public:
    explicit WorkerClient(boost::asio::io_context &io);

    void start(const workflow::WorkerIdentity &worker,
               const workflow::StartOrder &order,
               std::function<void(const workflow::OrderAnswer &)> done) override;
    void stop(const workflow::WorkerIdentity &worker,
              const workflow::StopOrder &order,
              std::function<void(const workflow::OrderAnswer &)> done) override;
    void poll(const workflow::WorkerIdentity &worker,
              const workflow::PollOrder &order,
              std::function<void(const workflow::PollAnswer &)> done) override;
    void forget(const workflow::WorkerIdentity &worker) override;

private:
    http::CallPool &poolFor(const std::string &address);

    boost::asio::io_context &io_;
    std::map<std::string, std::unique_ptr<http::CallPool>> pools_; ///< By worker address.
};

} // namespace yuccawheel::platform
