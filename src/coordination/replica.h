#pragma once

#include "base/clock.h"
#include "coordination/log_storage.h"
#include "coordination/replicated_log.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace yuccawheel::coordination
{

struct ReplicaSettings {
    LogSettings log;
    std::uint64_t diskReserveBytes = std::uint64_t{64} * 1024 * 1024; ///< With less free, proposals are refused.
    std::size_t snapshotThresholdBytes = std::size_t{8} * 1024 * 1024; ///< Applied bytes after which a snapshot is due.
};

/// What the embedding program does next, in this order.
struct ReplicaOutput {
    std::vector<Message> messages; ///< To send; everything they depend on is on disk.
    std::optional<std::string> snapshot; ///< To load in place of the application's state.
    std::vector<Entry> committed; ///< To apply, in order. Kinds other than Application carry no data for it.
    std::vector<ReadReady> reads; ///< To answer from the state that now holds.
    bool hasMore = false; ///< Call `flush` again soon: there is more to apply.
};

/// One replica: the replicated log joined to its disk. Not thread-safe; time comes in as an argument.
/// Every StorageError that it returns is fatal: report it and end the process.
class Replica
{
public:
    /// Reads the disk. `storage` must outlive the replica.
    static StorageResult<std::unique_ptr<Replica>>
    start(ReplicaSettings settings, LogStorage &storage, base::TimePoint now);
    /// Writes the state of a new cluster to an empty disk; use it on one replica, once, before `start`.
    /// Any other disk is an error, so that a second call cannot form a second cluster.
    static StorageResult<void>
    formCluster(LogStorage &storage, ClusterId cluster, ReplicaId self, const ReplicaSet &set);

    void tick(base::TimePoint now);
    void receive(const Message &message, base::TimePoint now);
    tl::expected<Position, ProposeError> propose(std::string data);
    tl::expected<void, ProposeError> requestRead(std::uint64_t read);
    tl::expected<Position, ProposeError> removeReplica(ReplicaId id, base::TimePoint now);
    bool handOverLeadership(base::TimePoint now);
    void setNodes(std::vector<std::uint32_t> nodes)
    {
        log_.setNodes(std::move(nodes));
    }

    /// Saves and syncs what is due, and returns what follows from it. Call it after each batch of the calls above.
    StorageResult<ReplicaOutput> flush(base::TimePoint now);

    /// True if enough was applied since the last snapshot to save the next one.
    bool isSnapshotDue() const;
    /// Saves the application's state after `index`, which must be the last entry applied. A full disk is no error
    /// here: the log goes on and the snapshot is due again.
    StorageResult<void> saveSnapshot(Index index, std::string_view bytes);

    const ReplicatedLog &log() const
    {
        return log_;
    }

private:
    Replica(
        ReplicaSettings settings, LogStorage &storage, RecoveredState state, std::string snapshot, base::TimePoint now);
    StorageResult<void> persist(const Ready &ready);
    void noteFreeSpace();
    void collect(Ready ready, ReplicaOutput &output);

    ReplicaSettings settings_;
    LogStorage &storage_;
    ReplicatedLog log_;
    std::optional<std::string> loaded_; ///< Snapshot found at the start, until it is handed out.
    std::vector<ReadReady> waitingReads_; ///< Confirmed, but not all entries before them are applied.
    std::size_t appliedBytes_ = 0;
    bool diskFull_ = false;
    bool failed_ = false;
};

} // namespace yuccawheel::coordination
