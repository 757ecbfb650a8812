#pragma once

#include "base/clock.h"
#include "coordination/file_log_storage.h"
#include "coordination/replica.h"
#include "fakes/fake_disk.h"
#include "fakes/fake_network.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace yuccawheel::fakes
{

/// Replicas of a log on fake disks and a fake network, in virtual time. Applies the entries that they commit, and ends
/// the process if two replicas disagree or an acknowledged entry is lost.
class FakeCluster
{
public:
    struct Options {
        std::uint32_t replicas = 3;
        std::uint64_t seed = 1;
        std::size_t snapshotEvery = 2000; ///< Log bytes after which a snapshot is due.
        std::size_t retainedBytes = 500;
        std::size_t segmentBytes = 1500;
        std::chrono::milliseconds snapshotDelay{0}; ///< From the application's state until its snapshot is saved.
        std::chrono::milliseconds electionTimeout{1'000};
        std::chrono::milliseconds electionJitter{1'000};
        std::uint32_t spares = 0; ///< Additional nodes with empty disks. If not 0, any node may join.
    };
    using Value = std::uint64_t;

    explicit FakeCluster(Options options);

    /// Advances the virtual time in steps of 1 ms.
    void run(std::chrono::milliseconds duration);
    /// Runs until the condition holds. Returns false if it does not hold within `limit`.
    template <typename Condition>
    bool runUntil(Condition condition, std::chrono::milliseconds limit)
    {
        for (std::chrono::milliseconds passed{0}; passed < limit; ++passed) {
            if (condition()) {
                return true;
            }
            step();
        }
        return condition();
    }

    /// Proposes a new value at a node's replica. Returns whether the replica accepted the proposal.
    bool propose(std::uint32_t node);
    /// Requests a read, which must see every value acknowledged so far. Returns whether the replica accepted the
    /// request.
    bool read(std::uint32_t node);

    /// Makes the leader remove a node's replica from the replica set. Returns whether the leader accepted the request.
    bool remove(std::uint32_t node);

    /// Makes a replica hand over its leadership. Returns whether the handover started.
    bool handOver(std::uint32_t node);

    void kill(std::uint32_t node);
    void losePower(std::uint32_t node);
    /// Kills the process and replaces the disk by an empty one.
    void loseDisk(std::uint32_t node);
    void start(std::uint32_t node);
    void pause(std::uint32_t node, std::chrono::milliseconds duration);
    void setClockRate(std::uint32_t node, double rate);

    bool running(std::uint32_t node) const;
    const coordination::ReplicatedLog &log(std::uint32_t node) const;
    FakeDisk &disk(std::uint32_t node);
    FakeNetwork<coordination::Message> &network()
    {
        return network_;
    }
    base::TimePoint now() const
    {
        return now_;
    }
    /// Returns the leader with the highest term, or 0 if there is none.
    std::uint32_t leader() const;
    /// Returns whether all replicas run, are voters (unless there are spares) and have applied the leader's whole log.
    bool settled() const;
    /// Ends the process if an acknowledged value is missing from the state of a running replica.
    void checkAcknowledged() const;
    const std::set<Value> &acknowledged() const
    {
        return acknowledged_;
    }
    std::uint64_t readsServed() const
    {
        return readsServed_;
    }
    /// Storage errors that stopped a replica, in order.
    const std::vector<coordination::StorageError> &storageErrors() const
    {
        return storageErrors_;
    }

private:
    struct Application {
        coordination::Index index = 0;
        std::set<Value> values;
    };
    struct Node {
        std::unique_ptr<FakeDisk> disk;
        std::unique_ptr<coordination::FileLogStorage> storage;
        std::unique_ptr<coordination::Replica> replica;
        Application application;
        std::optional<Application> unsaved; ///< State of which a snapshot will be saved.
        base::TimePoint saveAt{};
        base::TimePoint pausedUntil{};
        double clockRate = 1.0;
        std::vector<coordination::Message> waiting; ///< Received but not yet handled, for example during a pause.
        std::map<coordination::Index, std::pair<coordination::Term, Value>> proposed;
        std::map<std::uint64_t, coordination::Index>
            reads; ///< Highest index acknowledged when the read was requested, by read id.
    };

    void step();
    base::TimePoint localTime(const Node &node) const;
    coordination::ReplicaSettings settingsOf(std::uint32_t number);
    void flush(Node &node, std::uint32_t number);
    void handle(Node &node, std::uint32_t number, const coordination::ReplicaOutput &output);
    void saveSnapshot(Node &node);
    void apply(Node &node, const coordination::Entry &entry);
    void stop(Node &node);
    void checkLeader(const Node &node);

    Options options_;
    FakeNetwork<coordination::Message> network_;
    std::map<std::uint32_t, Node> nodes_;
    base::TimePoint now_{std::chrono::hours(1)};
    std::uint32_t nextGeneration_ = 100;
    std::uint64_t nextRead_ = 1;
    std::uint64_t readsServed_ = 0;
    Value nextValue_ = 1;
    std::map<coordination::Index, coordination::Entry> agreed_; ///< Entries applied by any replica.
    std::map<coordination::Term, coordination::ReplicaId> leaders_;
    std::set<Value> acknowledged_;
    coordination::Index acknowledgedIndex_ = 0;
    std::vector<coordination::StorageError> storageErrors_;
};

} // namespace yuccawheel::fakes
