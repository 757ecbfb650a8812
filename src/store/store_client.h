#pragma once

#include "protocol/members.h"
#include "protocol/messages.h"
#include "protocol/peer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace yuccawheel::store
{

/// A daemon's client of the store: finds the leader among the replicas, sends requests to it, and watches the state of
/// one zone. All calls and callbacks run on the io_context's thread.
class StoreClient
{
public:
    /// Called for each update that is not older than the last one. A full state arrives as a single update.
    using OnUpdate = std::function<void(const protocol::StateUpdate &)>;

    StoreClient(boost::asio::io_context &io,
                const std::vector<boost::asio::ip::tcp::endpoint> &replicas,
                protocol::Members &members,
                OnUpdate onUpdate);
    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    /// Sends a request to the leader. Retries until the timeout, but only while it is certain that the request did not
    /// run.
    template <typename Request>
    void request(const Request &message,
                 std::chrono::milliseconds timeout,
                 std::function<void(tl::expected<typename Request::Reply, protocol::RequestError>)> done)
    {
        attempt<Request>(
            std::make_shared<Request>(message), std::chrono::steady_clock::now() + timeout, std::move(done));
    }

    /// Whether the full state has arrived from the current leader, so that the last update is at most moments old.
    bool isUpToDate() const
    {
        return watching_;
    }
    /// Log index of the last update; zero before the first full one.
    std::uint64_t index() const
    {
        return index_;
    }
    /// Reports the applied configuration version to the leader, now and with the acknowledgement of each later update.
    void acknowledgeConfiguration(std::uint64_t version);
    /// Time of the last update from the leader.
    std::chrono::steady_clock::time_point lastContact() const
    {
        return lastContact_;
    }

private:
    template <typename Request>
    using Done = std::function<void(tl::expected<typename Request::Reply, protocol::RequestError>)>;

    template <typename Request>
    void attempt(std::shared_ptr<Request> message, std::chrono::steady_clock::time_point deadline, Done<Request> done)
    {
        const auto remaining =
            std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
        protocol::Peer *const leader = leaderPeer();
        if (leader == nullptr) {
            retry<Request>(
                message,
                deadline,
                std::move(done),
                {protocol::ErrorCode::Unreachable, base::Verdict::NotRun, "no store replica is the leader", {}});
            return;
        }
        leader->request(*message, remaining, [this, alive = alive_, message, deadline, done](auto answer) {
            if (answer || *alive == nullptr || !shouldRetry(answer.error())) {
                done(std::move(answer));
                return;
            }
            retry<Request>(message, deadline, done, answer.error());
        });
    }

    template <typename Request>
    void retry(std::shared_ptr<Request> message,
               std::chrono::steady_clock::time_point deadline,
               Done<Request> done,
               protocol::RequestError error)
    {
        if (std::chrono::steady_clock::now() + RetryDelay >= deadline) {
            done(tl::make_unexpected(std::move(error)));
            return;
        }
        const auto timer = std::make_shared<boost::asio::steady_timer>(io_, RetryDelay);
        timer->async_wait([this, alive = alive_, timer, message, deadline, done](const auto &) {
            if (*alive != nullptr) {
                attempt<Request>(message, deadline, done);
            }
        });
    }

    static constexpr std::chrono::milliseconds RetryDelay{100};

    protocol::Peer *leaderPeer();
    bool shouldRetry(const protocol::RequestError &error);
    void watch(std::size_t replica);
    void onNotice(std::size_t replica, const protocol::Frame &frame);
    void onUpdate(protocol::StateUpdate update);
    bool assembleFullState(protocol::StateUpdate &update);
    void clearLeader(std::size_t replica);
    void probeForLeader();

    boost::asio::io_context &io_;
    std::string zone_;
    OnUpdate onUpdate_;
    std::vector<std::unique_ptr<protocol::Peer>> replicas_;
    std::size_t leader_ = 0;
    bool watching_ = false;
    protocol::StateUpdate partialState_; ///< Received parts of an incomplete full state.
    std::uint64_t index_ = 0;
    std::uint64_t appliedVersion_ = 0;
    std::chrono::steady_clock::time_point lastContact_{};
    boost::asio::steady_timer probeTimer_;
    std::shared_ptr<StoreClient *> alive_;
};

} // namespace yuccawheel::store
