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

/// Keeps a replica's state on disk. After any error but NoSpace of `saveSnapshot` the storage must not be used again.
class LogStorage : public SnapshotSource
{
public:
    /// Reads everything back. Call it once, first. A torn tail is cut; damage elsewhere is an error.
    virtual StorageResult<RecoveredState> recover() = 0;
    /// Returns the bytes of the newest snapshot, empty if there is none.
    virtual StorageResult<std::string> loadSnapshot() const = 0;
    /// Saves and syncs. The entries replace those stored from the first one's index on.
    virtual StorageResult<void> save(const std::optional<HardState> &hardState, const std::vector<Entry> &entries) = 0;
    /// Saves and syncs a snapshot of the own application, then drops what it covers.
    /// NoSpace leaves the earlier snapshot in force. Fills in size and checksum.
    virtual StorageResult<void> saveSnapshot(SnapshotMeta &meta, std::string_view bytes) = 0;
    /// Saves and syncs a snapshot of the leader, which replaces the whole log.
    virtual StorageResult<void> installSnapshot(const Snapshot &snapshot) = 0;
    virtual StorageResult<std::uint64_t> freeBytes() const = 0;
};

} // namespace yuccawheel::coordination
