#include "store/store_client.h"

#include "base/log.h"

#include <iterator>
#include <utility>

namespace yuccawheel::store
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds WatchTimeout{2000};
constexpr std::chrono::milliseconds ProbeInterval{200};
constexpr std::size_t NoReplica = static_cast<std::size_t>(-1);

} // namespace

StoreClient::StoreClient(asio::io_context &io,
                         const std::vector<asio::ip::tcp::endpoint> &replicas,
                         protocol::Members &members,
                         OnUpdate onUpdate)
    : io_(io)
    , zone_(members.self().zone)
    , onUpdate_(std::move(onUpdate))
    , leader_(NoReplica)
    , probeTimer_(io)
    , alive_(std::make_shared<StoreClient *>(this))
{
    for (std::size_t i = 0; i < replicas.size(); ++i) {
        protocol::Peer::Callbacks callbacks;
        callbacks.notice = [this, i](const protocol::ChannelPtr &, const protocol::Frame &frame) {
            onNotice(i, frame);
        };
        callbacks.closed = [this, i] {
            clearLeader(i);
        };
        replicas_.push_back(std::make_unique<protocol::Peer>(io, replicas[i], members, std::move(callbacks)));
    }
    probeForLeader();
}

StoreClient::~StoreClient()
{
    *alive_ = nullptr;
    // Destroying a peer invokes its callbacks, which must not access peers that are already destroyed.
    const auto replicas = std::exchange(replicas_, {});
}

protocol::Peer *StoreClient::leaderPeer()
{
    return leader_ == NoReplica ? nullptr : replicas_[leader_].get();
}

// Only requests that certainly did not run are retried; for the others the caller decides.
bool StoreClient::shouldRetry(const protocol::RequestError &error)
{
    using protocol::ErrorCode;
    if (error.code == ErrorCode::NotLeader) {
        clearLeader(leader_);
    }
    return error.verdict == base::Verdict::NotRun
        && (error.code == ErrorCode::NotLeader || error.code == ErrorCode::Unreachable
            || error.code == ErrorCode::Overloaded || error.code == ErrorCode::NotReady);
}

// Sends a watch request to every connected replica; only the leader accepts it.
void StoreClient::probeForLeader()
{
    if (leader_ == NoReplica) {
        for (std::size_t i = 0; i < replicas_.size(); ++i) {
            if (replicas_[i]->isConnected()) {
                watch(i);
            }
        }
    }
    probeTimer_.expires_after(ProbeInterval);
    probeTimer_.async_wait([alive = alive_](const boost::system::error_code &error) {
        if (*alive != nullptr && !error) {
            (*alive)->probeForLeader();
        }
    });
}

void StoreClient::watch(std::size_t replica)
{
    replicas_[replica]->request(protocol::Watch{zone_}, WatchTimeout, [this, alive = alive_, replica](auto answer) {
        if (*alive == nullptr || !answer || leader_ != NoReplica) {
            return;
        }
        leader_ = replica;
        base::logInfo("store_leader").with("node", replicas_[replica]->identity().node);
    });
}

void StoreClient::clearLeader(std::size_t replica)
{
    if (replica == leader_) {
        leader_ = NoReplica;
        watching_ = false;
        partialState_ = {};
    }
}

void StoreClient::onNotice(std::size_t replica, const protocol::Frame &frame)
{
    if (frame.type != protocol::MessageType::StateUpdate) {
        return;
    }
    auto update = protocol::decode<protocol::StateUpdate>(frame.payload);
    if (!update) {
        base::logError("unreadable_update").with("reason", update.error().message);
        return;
    }
    if (replica == leader_) {
        onUpdate(std::move(*update));
    }
}

// A partitioned former leader may send a state older than the one known here; it is ignored.
void StoreClient::onUpdate(protocol::StateUpdate update)
{
    if (update.index < index_) {
        base::logWarning("older_state_ignored").with("index", update.index).with("known", index_);
        if (update.full) {
            clearLeader(leader_);
        }
        return;
    }
    lastContact_ = std::chrono::steady_clock::now();
    if (update.full ? !assembleFullState(update) : !watching_) {
        return;
    }
    watching_ = true;
    index_ = update.index;
    onUpdate_(update);
    replicas_[leader_]->notify(protocol::WatchAck{index_, appliedVersion_});
}

void StoreClient::acknowledgeConfiguration(std::uint64_t version)
{
    appliedVersion_ = version;
    if (watching_) {
        replicas_[leader_]->notify(protocol::WatchAck{index_, appliedVersion_});
    }
}

// Joins the parts of a full state. Returns true, with the complete state in `update`, after the last part.
bool StoreClient::assembleFullState(protocol::StateUpdate &update)
{
    const auto append = [](auto &target, auto &source) {
        target.insert(target.end(), std::make_move_iterator(source.begin()), std::make_move_iterator(source.end()));
    };
    append(partialState_.assigned, update.assigned);
    append(partialState_.cancelled, update.cancelled);
    if (!update.last) {
        return false;
    }
    update.assigned = std::move(partialState_.assigned);
    update.cancelled = std::move(partialState_.cancelled);
    partialState_ = {};
    return true;
}

} // namespace yuccawheel::store
