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
    std::uint64_t diskReserveBytes =
        std::uint64_t{64} * 1024 * 1024; ///< Proposals are refused with less free disk space.
    std::size_t snapshotThresholdBytes = std::size_t{8} * 1024 * 1024; ///< Applied bytes after which a snapshot is due.
};

/// What the embedding program must do next, in this order.
struct ReplicaOutput {
    std::vector<Message> messages; ///< Send these; all state that they depend on is on disk.
    std::optional<std::string> snapshot; ///< Load this in place of the application's state.
    std::vector<Entry>
        committed; ///< Apply these in order. Only entries of kind Application carry data for the application.
    std::vector<ReadReady> reads; ///< Answer these from the resulting state.
    bool hasMore = false; ///< More entries are ready to be applied: call `flush` again soon.
};

/// One replica: a replicated log with its storage. Not thread-safe; the time is passed in as an argument.
/// Every StorageError it returns is fatal: the program must report it and end the process. A full disk is no error: the
/// replica takes no part in the log until there is space, and its stored state stays as it is.
class Replica
{
public:
    /// Starts a replica from its storage, which must outlive it.
    /// NoSpace means that the stored state is whole but can't be prepared for use without space.
    static StorageResult<std::unique_ptr<Replica>>
    start(ReplicaSettings settings, LogStorage &storage, base::TimePoint now);
    /// Forms a new cluster by writing its initial state to an empty disk. Must be called once, on one replica, before
    /// `start`. A disk that is not empty is an error, so that a second call cannot form a second cluster.
    static StorageResult<void>
    formCluster(LogStorage &storage, ClusterId cluster, ReplicaId self, const ReplicaSet &set);

    void tick(base::TimePoint now);
    void receive(const Message &message, base::TimePoint now);
    tl::expected<Position, ProposeError> propose(std::string data);
    tl::expected<void, ProposeError> requestRead(std::uint64_t readId);
    tl::expected<Position, ProposeError> removeReplica(ReplicaId id, base::TimePoint now);
    bool handOverLeadership(base::TimePoint now);
    void setNodes(std::vector<std::uint32_t> nodes)
    {
        log_.setNodes(std::move(nodes));
    }

    /// Saves and syncs pending state and returns what the program must do next. Call it after each batch of the calls
    /// above.
    StorageResult<ReplicaOutput> flush(base::TimePoint now);
    /// Returns whether state waits for space on a full disk. The replica promises nothing meanwhile: it sends and takes
    /// no messages, so that a leader's lease runs out and the others elect another one.
    bool isDiskFull() const
    {
        return unsaved_.has_value();
    }

    /// Returns whether enough entries have been applied since the last snapshot to save the next one.
    bool isSnapshotDue() const;
    /// Saves the application's state after `index`, an applied entry. Does nothing if the log holds a later snapshot
    /// already. A full disk is not an error: the log continues and the snapshot remains due.
    StorageResult<void> saveSnapshot(Index index, std::string_view bytes);

    const ReplicatedLog &log() const
    {
        return log_;
    }

private:
    Replica(
        ReplicaSettings settings, LogStorage &storage, RecoveredState state, std::string snapshot, base::TimePoint now);
    StorageResult<void> persist(const Ready &ready);
    void updateLowSpace();
    void collectOutput(Ready ready, ReplicaOutput &output);

    ReplicaSettings settings_;
    LogStorage &storage_;
    ReplicatedLog log_;
    std::optional<std::string> loadedSnapshot_; ///< Snapshot read at start, until `flush` returns it.
    std::optional<Ready> unsaved_; ///< Could not be saved for want of space.
    base::TimePoint nextSave_{}; ///< When to try again.
    std::vector<ReadReady> waitingReads_; ///< Confirmed, but waiting for earlier entries to be applied.
    std::size_t appliedBytes_ = 0;
    bool lowSpace_ = false; ///< Less than the reserve is free.
    bool failed_ = false;
};

} // namespace yuccawheel::coordination
