#pragma once

#include "base/work_queue.h"
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
    /// Answers are parsed and passed on as items of `work`. `connectionLimit` returns how many connections to all
    /// workers together may be open.
    WorkerClient(boost::asio::io_context &io, base::WorkQueue &work, std::function<std::size_t()> connectionLimit);
    ~WorkerClient() override;
    WorkerClient(const WorkerClient &) = delete;
    WorkerClient &operator=(const WorkerClient &) = delete;

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
    /// Returns a callback that queues the handling of an answer, unless this object has been destroyed.
    http::CallPool::Done queued(http::CallPool::Done handle);

    boost::asio::io_context &io_;
    base::WorkQueue &work_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::shared_ptr<http::ConnectionLimiter> limiter_;
    std::shared_ptr<http::MemoryBudget> answerMemory_;
    std::map<std::string, std::unique_ptr<http::CallPool>> pools_; ///< By worker address.
};

} // namespace yuccawheel::platform
