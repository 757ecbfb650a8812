#pragma once

#include "daemon/daemon.h"
#include "protocol/listener.h"
#include "protocol/peer.h"
#include "store_thread.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace yuccawheel::store
{

/// Returns the number of a node in the replicated log. Derived from the name so that all nodes compute the same number.
std::uint32_t nodeNumber(const std::string &name);

/// Store process: runs one replica and its connections to the other replicas and to clients.
class StoreService : public daemon::Service
{
public:
    /// Throws std::runtime_error if the data folder can't be used.
    explicit StoreService(daemon::Context &context);
    ~StoreService() override;

    std::optional<std::string> notReadyReason() const override;
    void drain(std::function<void()> done) override;
    std::size_t inProgress() const override;

private:
    std::unique_ptr<StoreThread> startThread();
    void awaitHandover(std::function<void()> done);
    void connectReplicas();
    void onOpened(const protocol::ChannelPtr &channel);
    void onFrame(const protocol::ChannelPtr &channel, protocol::Frame frame);
    void onClosed(const protocol::ChannelPtr &channel);
    void processOutput();
    void send(const coordination::Message &message);

    daemon::Context &context_;
    std::shared_ptr<StoreService *> alive_; ///< Holds null after destruction; checked by posted callbacks.
    std::map<std::uint32_t, std::unique_ptr<protocol::Peer>> replicas_; ///< Other replicas, by node number.
    std::unordered_map<ClientId, protocol::ChannelPtr> clients_;
    std::unordered_map<const protocol::Channel *, ClientId> clientIds_;
    ClientId nextClient_ = 1;
    std::unique_ptr<StoreThread> thread_;
    std::optional<protocol::Listener> listener_;
    boost::asio::steady_timer drainTimer_;
    std::chrono::steady_clock::time_point drainDeadline_{};
};

/// Writes the initial state of a new cluster, with this replica as its only member, to an empty data folder. Returns an
/// exit code.
int formCluster(const settings::ProcessSettings &settings);

} // namespace yuccawheel::store
