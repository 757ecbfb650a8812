#pragma once

#include "base/clock.h"
#include "coordination/replica.h"
#include "protocol/error.h"
#include "protocol/messages.h"
#include "store/cluster_state.h"
#include "store/zone_assigner.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccawheel::store
{

/// Identifies one connection of a daemon. Assigned by the embedding program and never reused.
using ClientId = std::uint64_t;

struct StoreOptions {
    std::chrono::milliseconds zoneLease{10'000}; ///< Silence of an owner after which its zone may be taken over.
    std::chrono::milliseconds jobRetention{3'600'000}; ///< How long a finished job remains readable.
    std::map<std::uint32_t, std::string> nodeNames; ///< Names of the replicas by node number.
    std::map<std::uint32_t, std::string> addresses; ///< Addresses of the replicas for daemons, by node number.
};

/// A frame received from a daemon.
struct ClientRequest {
    ClientId client = 0;
    protocol::Identity from;
    protocol::Frame frame;
};

/// A frame to send to a daemon.
struct ClientFrame {
    ClientId client = 0;
    protocol::Frame frame;
};

/// Messages to send after a flush.
struct StoreOutput {
    std::vector<coordination::Message> messages;
    std::vector<ClientFrame> frames;
    bool more = false; ///< Call `flush` again soon: there is more to apply.
};

/// One store replica without sockets or threads: the replicated log, the state machine and the handling of daemons'
/// requests. Only the leader serves requests; other replicas refuse them and name the leader. The current time is
/// passed in.
class StoreCore
{
public:
    StoreCore(coordination::Replica &replica, StoreOptions options, base::TimePoint now);

    void receive(const coordination::Message &message, base::TimePoint now);
    void handleRequest(const ClientRequest &request, base::TimePoint now, WallTime wall);
    void onClientDisconnected(ClientId client);
    void tick(base::TimePoint now, WallTime wall);

    /// Starts a leadership transfer if this replica is the leader and another voter can take over.
    void handOver(base::TimePoint now);

    /// Writes and syncs the log, applies committed entries and returns the messages to send. An error is fatal.
    coordination::StorageResult<StoreOutput> flush(base::TimePoint now);

    bool isLeader() const;
    const ClusterState &state() const
    {
        return state_;
    }
    const coordination::ReplicatedLog &log() const
    {
        return replica_.log();
    }

private:
    struct Watcher {
        std::string zone;
        protocol::Identity identity;
        std::uint64_t version = 0; ///< Configuration version that the daemon has applied.
    };
    struct PendingRead {
        ClientId client = 0;
        std::uint64_t correlation = 0;
        std::function<void()> serve;
    };
    struct PendingReply {
        ClientId client = 0;
        std::uint64_t correlation = 0;
        coordination::Term term = 0;
        std::function<void(const ApplyReply &)> onApplied;
    };
    struct ZoneStatus {
        base::TimePoint lastRenewal{};
        protocol::ZoneSummary summary;
        bool released = false;
        bool moving = false; ///< A proposed entry that reassigns the zone's shares is not applied yet.
    };

    // Handling of daemons' requests.
    template <typename Message>
    std::optional<Message> decodeRequest(const ClientRequest &request);
    void onSubmit(const ClientRequest &request, WallTime wall);
    void onCancel(const ClientRequest &request, WallTime wall);
    void onAcquire(const ClientRequest &request, base::TimePoint now);
    void onReserveKey(const ClientRequest &request, WallTime wall);
    void onFinishKey(const ClientRequest &request);
    void onRenew(const ClientRequest &request, base::TimePoint now, WallTime wall);
    void onWatch(const ClientRequest &request);
    void onWatchAck(const ClientRequest &request);
    void onQuery(const ClientRequest &request, base::TimePoint now);
    tl::expected<std::string, protocol::RequestError> answerQuery(const protocol::Query &query,
                                                                  base::TimePoint now) const;
    std::string configurationStatus() const;
    std::string storeStatus(base::TimePoint now) const;

    template <typename Reply>
    void proposeAndReply(const LogEntry &entry, const ClientRequest &request);
    void propose(const LogEntry &entry,
                 ClientId client,
                 std::uint64_t correlation,
                 std::function<void(const ApplyReply &)> onApplied);
    void readBarrier(ClientId client, std::uint64_t correlation, std::function<void()> serve);

    // Handling of committed entries, snapshots and reads.
    void apply(const coordination::Entry &entry);
    void answerPending(const coordination::Entry &entry, const ApplyReply &reply);
    void onReadReady(const coordination::ReadReady &ready);
    void notifyWatchers(const StateChange &change);
    protocol::StateUpdate updateFor(const std::string &zone, const StateChange &change) const;
    void sendFullState(ClientId client, const std::string &zone);
    static void addAssignment(const JobRecord &record, const std::string &zone, protocol::StateUpdate &update);
    void addFullConfiguration(protocol::StateUpdate &update) const;
    void addConfigurationChanges(const StateChange &change, protocol::StateUpdate &update) const;
    void restoreSnapshot(const std::string &snapshot);

    // Periodic work of the leader.
    void onLeadershipGained(base::TimePoint now);
    void assignWaitingJobs(WallTime wall);
    void forgetExpiredJobs(WallTime wall);
    void moveSharesOfLostZones(base::TimePoint now, WallTime wall);
    std::optional<MoveEntry::Move> planMove(const JobRecord &record, const std::string &zone);
    void proposeWithoutReply(const LogEntry &entry);

    template <typename Message>
    void reply(ClientId client, std::uint64_t correlation, const Message &message)
    {
        output_.frames.push_back(
            {client,
             protocol::Frame{Message::Type, protocol::FrameKind::Response, correlation, protocol::encode(message)}});
    }
    void refuse(ClientId client,
                std::uint64_t correlation,
                protocol::ErrorCode code,
                std::string message,
                std::string redirect = {});
    std::string leaderAddress() const;
    std::string nodeName(std::uint32_t node) const;

    coordination::Replica &replica_;
    StoreOptions options_;
    ClusterState state_;
    ZoneAssigner assigner_;
    std::map<ClientId, Watcher> watchers_;
    std::map<std::uint64_t, PendingRead> reads_;
    std::map<coordination::Index, PendingReply> pending_;
    std::map<std::string, ZoneStatus> zones_;
    std::uint64_t nextRead_ = 1;
    bool wasLeader_ = false;
    base::TimePoint leaderSince_{};
    base::TimePoint nextReview_{};
    StoreOutput output_;
};

} // namespace yuccawheel::store
