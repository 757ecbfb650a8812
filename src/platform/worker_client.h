#pragma once

#include "http/call_pool.h"
#include "workflow/platform_interface.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace yuccawheel::platform
{

/// Sends orders to workers over the platform's HTTP interface.
class WorkerClient : public workflow::WorkerCalls
{
public:
    /// `connectionLimit` returns how many connections to all workers together may be open.
    WorkerClient(boost::asio::io_context &io, std::function<std::size_t()> connectionLimit);

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

    /// Divides the connections between this many workers, also before all of them are called.
    void expectWorkers(std::size_t workers)
    {
        limiter_->expectPools(workers);
    }
    /// Returns the number of open connections to all workers.
    std::size_t openConnections() const
    {
        return limiter_->open();
    }

private:
    http::CallPool &poolFor(const std::string &address);

    boost::asio::io_context &io_;
    std::shared_ptr<http::ConnectionLimiter> limiter_;
    std::map<std::string, std::unique_ptr<http::CallPool>> pools_; ///< By worker address.
};

} // namespace yuccawheel::platform
