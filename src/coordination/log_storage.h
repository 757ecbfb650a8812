#pragma once

#include "coordination/replicated_log.h"
#include "coordination/storage_error.h"
#include "coordination/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccawheel::coordination
{

/// Stores the state of a replica on disk. After NoSpace, from any function but `recover`, what was stored before stays
/// in force and the call may be repeated. After any other error the storage must not be used again.
class LogStorage : public SnapshotSource
{
public:
    /// Reads the stored state. Must be called once, before all other functions. A torn write at the end of the log is
    /// cut off; any other damage is an error.
    virtual StorageResult<RecoveredState> recover() = 0;
    /// Returns the data of the newest snapshot, or an empty string if there is none.
    virtual StorageResult<std::string> loadSnapshot() const = 0;
    /// Saves and syncs. The entries replace all stored ones from the index of the first on.
    virtual StorageResult<void> save(const std::optional<HardState> &hardState, const std::vector<Entry> &entries) = 0;
    /// Saves and syncs a snapshot of this replica's application, fills in the size and checksum of `meta`, and removes
    /// the segments and snapshots that are no longer needed.
    virtual StorageResult<void> saveSnapshot(SnapshotMeta &meta, std::string_view bytes) = 0;
    /// Saves and syncs a snapshot received from the leader, which replaces the whole log.
    virtual StorageResult<void> installSnapshot(const Snapshot &snapshot) = 0;
    virtual StorageResult<std::uint64_t> freeBytes() const = 0;
};

} // namespace yuccawheel::coordination
