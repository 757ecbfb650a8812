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

/// Number that the embedding program gives to one connection of a daemon; never reused.
using ClientId = std::uint64_t;

struct StoreOptions {
    std::chrono::milliseconds zoneLease{10'000}; ///< How long a zone's owner may be silent before another may take it.
    std::chrono::milliseconds jobRetention{3'600'000}; ///< How long a finished job can still be read.
    std::map<std::uint32_t, std::string> nodeNames; ///< Replicas by node number.
    std::map<std::uint32_t, std::string> addresses; ///< Where daemons reach them.
};

/// A request of a daemon, as it came.
struct ClientRequest {
    ClientId client = 0;
    protocol::Identity from;
    protocol::Frame frame;
};

struct ClientFrame {
    ClientId client = 0;
    protocol::Frame frame;
};

/// What has to be sent after a round.
struct StoreOutput {
    std::vector<coordination::Message> messages;
    std::vector<ClientFrame> frames;
    bool more = false;
};

/// One store replica without sockets or threads: the replicated log, the state it builds, and the daemons' requests.
/// Only the leader answers daemons; the others name it. Time comes in as arguments.
class StoreCore
{
public:
    StoreCore(coordination::Replica &replica, StoreOptions options, base::TimePoint now);

    void receive(const coordination::Message &message, base::TimePoint now);
    void handleRequest(const ClientRequest &request, base::TimePoint now, WallTime wall);
    void onClientDisconnected(ClientId client);
    void tick(base::TimePoint now, WallTime wall);

    /// Begins to hand the leadership over, if this replica leads and another voter can take it.
    void handOver(base::TimePoint now);

    /// Saves, syncs, applies, and returns what to send. An error is fatal.
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
        std::uint64_t version = 0; ///< Configuration that the daemon has in force.
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
        std::function<void(const ApplyReply &)> answer;
    };
    struct ZoneStatus {
        base::TimePoint lastRenewal{};
        protocol::ZoneSummary summary;
        bool released = false;
        bool moving = false; ///< An entry that takes the zone's shares away is not applied yet.
    };

    // Requests.
    template <typename Message>
    std::optional<Message> read(const ClientRequest &request);
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
    void proposeFor(const LogEntry &entry, const ClientRequest &request);
    void propose(const LogEntry &entry,
                 ClientId client,
                 std::uint64_t correlation,
                 std::function<void(const ApplyReply &)> answer);
    void readBarrier(ClientId client, std::uint64_t correlation, std::function<void()> serve);

    // After the log moved on.
    void apply(const coordination::Entry &entry);
    void settle(const coordination::Entry &entry, const ApplyReply &reply);
    void onReadReady(const coordination::ReadReady &ready);
    void notifyWatchers(const StateChange &change);
    protocol::StateUpdate updateFor(const std::string &zone, const StateChange &change) const;
    void sendFullState(ClientId client, const std::string &zone);
    static void addAssignment(const JobRecord &record, const std::string &zone, protocol::StateUpdate &update);
    void describeConfiguration(protocol::StateUpdate &update) const;
    void describeChanges(const StateChange &change, protocol::StateUpdate &update) const;
    void load(const std::string &snapshot);

    // What the leader does by itself.
    void becomeLeader(base::TimePoint now);
    void assignWaitingJobs(WallTime wall);
    void forgetOldJobs(WallTime wall);
    void moveSharesOfLostZones(base::TimePoint now, WallTime wall);
    std::optional<MoveEntry::Move> moveOf(const JobRecord &record, const std::string &zone);
    void proposeQuietly(const LogEntry &entry);

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
