#include "store_service.h"

#include "base/log.h"
#include "coordination/checksum.h"
#include "daemon/cost.h"
#include "store/replication_codec.h"

#include <boost/asio/post.hpp>
#include <fmt/core.h>

#include <random>
#include <stdexcept>

namespace yuccawheel::store
{

namespace
{

constexpr std::chrono::milliseconds HandoverTimeout{1'500};
constexpr std::chrono::milliseconds HandoverPollInterval{5};

std::uint32_t randomGeneration()
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint32_t>(1)(device);
}

StoreOptions makeStoreOptions(const settings::ProcessSettings &settings)
{
    StoreOptions options;
    options.zoneLease = settings.lease;
    for (const settings::Peer &peer : settings.stores) {
        options.nodeNames[nodeNumber(peer.node)] = peer.node;
        options.addresses[nodeNumber(peer.node)] = settings::toString(peer.address);
    }
    return options;
}

bool isCostQuery(const protocol::Frame &frame)
{
    if (frame.type != protocol::MessageType::Query || frame.kind != protocol::FrameKind::Request) {
        return false;
    }
    const auto query = protocol::decode<protocol::Query>(frame.payload);
    return query && query->kind == protocol::QueryKind::ResourceUsage;
}

std::string describe(const coordination::StorageError &error)
{
    return fmt::format("{}: {}", coordination::toString(error.failure), error.detail);
}

} // namespace

std::uint32_t nodeNumber(const std::string &name)
{
    const auto number = static_cast<std::uint32_t>(coordination::checksum(name));
    return number == 0 ? 1 : number;
}

StoreService::StoreService(daemon::Context &context)
    : context_(context)
    , alive_(std::make_shared<StoreService *>(this))
    , thread_(startThread())
    , drainTimer_(context.io)
{
    protocol::Listener::Callbacks callbacks;
    callbacks.opened = [this](const protocol::ChannelPtr &channel) {
        onOpened(channel);
    };
    callbacks.frame = [this](const protocol::ChannelPtr &channel, protocol::Frame frame) {
        onFrame(channel, std::move(frame));
    };
    callbacks.closed = [this](const protocol::ChannelPtr &channel) {
        onClosed(channel);
    };
    listener_.emplace(
        context.io, daemon::toAsio(*context.settings.listen.inner), context.members, std::move(callbacks));
    connectReplicas();
}

StoreService::~StoreService()
{
    *alive_ = nullptr;
    thread_.reset();
    listener_.reset();
}

std::unique_ptr<StoreThread> StoreService::startThread()
{
    const settings::ProcessSettings &settings = context_.settings;
    auto files = coordination::openFolder(settings.dataDir);
    if (!files) {
        throw std::runtime_error(describe(files.error()));
    }
    auto storage = std::make_unique<coordination::FileLogStorage>(**files);
    coordination::ReplicaSettings replicaSettings;
    replicaSettings.log.self = {nodeNumber(settings.node), randomGeneration()};
    replicaSettings.log.seed = context_.self.incarnation ^ replicaSettings.log.self.node;
    for (const settings::Peer &peer : settings.stores) {
        replicaSettings.log.nodes.push_back(nodeNumber(peer.node));
    }
    auto replica = coordination::Replica::start(replicaSettings, *storage, base::BootClock::now());
    if (!replica) {
        throw std::runtime_error(describe(replica.error()));
    }
    const auto wake = [this, alive = alive_] {
        boost::asio::post(context_.io, [this, alive] {
            if (*alive != nullptr) {
                processOutput();
            }
        });
    };
    const auto onDiskFailure = [this](const std::string &reason) {
        base::logError("disk_failed").with("reason", reason);
        boost::asio::post(context_.io, [reason] { throw std::runtime_error(reason); });
    };
    return std::make_unique<StoreThread>(
        std::move(*files), std::move(storage), std::move(*replica), makeStoreOptions(settings), wake, onDiskFailure);
}

void StoreService::connectReplicas()
{
    for (const settings::Peer &peer : context_.settings.stores) {
        if (peer.node != context_.settings.node) {
            replicas_[nodeNumber(peer.node)] = std::make_unique<protocol::Peer>(
                context_.io, daemon::toAsio(peer.address), context_.members, protocol::Peer::Callbacks{});
        }
    }
}

std::optional<std::string> StoreService::notReadyReason() const
{
    return thread_->status().ready
        ? std::nullopt
        : std::optional<std::string>("this replica is not a voter yet, or no leader is known");
}

// Hands leadership over first: a leader that simply exits would leave the cluster without a leader for an election
// timeout.
void StoreService::drain(std::function<void()> done)
{
    drainDeadline_ = std::chrono::steady_clock::now() + HandoverTimeout;
    thread_->tryPush(StoreInput{StoreInput::HandOverLeadership{}});
    awaitHandover(std::move(done));
}

void StoreService::awaitHandover(std::function<void()> done)
{
    if (!thread_->status().isLeader || std::chrono::steady_clock::now() >= drainDeadline_) {
        done();
        return;
    }
    drainTimer_.expires_after(HandoverPollInterval);
    drainTimer_.async_wait([this, done = std::move(done)](const boost::system::error_code &error) {
        if (!error) {
            awaitHandover(done);
        }
    });
}

std::size_t StoreService::inProgress() const
{
    return 0;
}

void StoreService::onOpened(const protocol::ChannelPtr &channel)
{
    const ClientId id = nextClient_++;
    clients_[id] = channel;
    clientIds_[channel.get()] = id;
}

void StoreService::onFrame(const protocol::ChannelPtr &channel, protocol::Frame frame)
{
    if (frame.type == protocol::MessageType::Replication) {
        if (channel->peer().role != protocol::Role::Store) {
            channel->close("only store replicas may send replication messages");
            return;
        }
        auto message = decodeReplication(frame.payload);
        if (!message) {
            channel->close("malformed replication message");
        } else if (!thread_->tryPush(StoreInput{std::move(*message)})) {
            context_.metrics.counter("yw_store_replication_dropped_total").add();
        }
        return;
    }
    if (isCostQuery(frame)) {
        channel->reply(frame.correlation, protocol::QueryReply{daemon::costJson(context_.self)});
        return;
    }
    const auto correlation = frame.correlation;
    const bool isRequest = frame.kind == protocol::FrameKind::Request;
    ClientRequest request{clientIds_.at(channel.get()), channel->peer(), std::move(frame)};
    if (!thread_->tryPush(StoreInput{std::move(request)}) && isRequest) {
        channel->reply(
            correlation,
            protocol::RequestError{
                protocol::ErrorCode::Overloaded, base::Verdict::NotRun, "the replica's input queue is full", {}});
    }
}

void StoreService::onClosed(const protocol::ChannelPtr &channel)
{
    const auto found = clientIds_.find(channel.get());
    if (found == clientIds_.end()) {
        return;
    }
    const ClientId id = found->second;
    clients_.erase(id);
    clientIds_.erase(found);
    // If the queue is full, the replica keeps the client's watch until its leadership ends; processOutput() drops
    // frames to clients that are no longer connected.
    thread_->tryPush(StoreInput{StoreInput::ClientDisconnected{id}});
}

void StoreService::processOutput()
{
    while (auto output = thread_->takeOutput()) {
        for (const coordination::Message &message : output->messages) {
            send(message);
        }
        for (const ClientFrame &frame : output->frames) {
            const auto client = clients_.find(frame.client);
            // The connection of a client that reads too slowly is closed, so that the client resumes from a full state
            // instead of missing updates.
            if (client != clients_.end() && !client->second->send(frame.frame)) {
                const protocol::ChannelPtr channel = client->second;
                channel->close("send queue full");
            }
        }
    }
    context_.metrics.gauge("yw_store_applied_index").set(static_cast<std::int64_t>(thread_->status().appliedIndex));
    context_.metrics.gauge("yw_store_leads").set(thread_->status().isLeader ? 1 : 0);
}

// Messages between replicas may be lost; the replicated log resends them as needed.
void StoreService::send(const coordination::Message &message)
{
    const auto peer = replicas_.find(message.to.node);
    if (peer != replicas_.end()) {
        peer->second->notifyFrame(protocol::Frame{
            protocol::MessageType::Replication, protocol::FrameKind::Notice, 0, encodeReplication(message)});
    }
}

int formCluster(const settings::ProcessSettings &settings)
{
    auto files = coordination::openFolder(settings.dataDir);
    if (!files) {
        fmt::print(stderr, "{}\n", describe(files.error()));
        return static_cast<int>(daemon::ExitCode::Failed);
    }
    coordination::FileLogStorage storage(**files);
    const coordination::ReplicaId self{nodeNumber(settings.node), randomGeneration()};
    const coordination::ReplicaSet set{{{self, true}}};
    std::random_device device;
    const coordination::ClusterId cluster = std::uniform_int_distribution<coordination::ClusterId>(1)(device);
    const auto formed = coordination::Replica::formCluster(storage, cluster, self, set);
    if (!formed) {
        fmt::print(stderr, "the cluster was not formed: {}\n", describe(formed.error()));
        return static_cast<int>(daemon::ExitCode::Failed);
    }
    fmt::print("cluster {:016x} formed; start yw-store on every store VM\n", cluster);
    return static_cast<int>(daemon::ExitCode::Ok);
}

} // namespace yuccawheel::store
