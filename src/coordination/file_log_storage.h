#pragma once

#include "coordination/file_system.h"
#include "coordination/log_record.h"
#include "coordination/log_storage.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace yuccawheel::coordination
{

struct FileLogSettings {
    std::size_t segmentBytes =
        std::size_t{4} * 1024 * 1024; ///< A new segment is started once the current one has this size.
    std::size_t retainedSnapshots = 2; ///< The older one may still be in transfer to another replica.
};

/// Stores the log as a sequence of segment files with checksummed records, and each snapshot in a file of its own
/// (docs/design/0201-log-on-disk.md).
class FileLogStorage : public LogStorage
{
public:
    /// `files` must outlive the storage.
    explicit FileLogStorage(FileSystem &files, FileLogSettings settings = {});

    StorageResult<RecoveredState> recover() override;
    StorageResult<std::string> loadSnapshot() const override;
    StorageResult<void> save(const std::optional<HardState> &hardState, const std::vector<Entry> &entries) override;
    StorageResult<void> saveSnapshot(SnapshotMeta &meta, std::string_view bytes) override;
    StorageResult<void> installSnapshot(const Snapshot &snapshot) override;
    StorageResult<std::uint64_t> freeBytes() const override;
    std::optional<std::string> readSnapshot(Index index, std::uint64_t offset, std::size_t size) const override;

private:
    struct Segment {
        std::uint64_t sequence = 0;
        Index highest = 0; ///< Highest entry index in the segment; 0 without entries.
    };
    struct SnapshotFile {
        SnapshotMeta meta;
        std::uint64_t dataOffset = 0;
    };
    /// State of the log while the records are read in order.
    struct Replay {
        HardState hardState;
        std::uint64_t hardStateSegment = 0; ///< Sequence of the segment that it was read from.
        Index first = 0; ///< First entry index in the segments; 0 before the first entry.
        Index last = 0; ///< Last index of the log so far; 0 before the first entry.
        std::optional<Term>
            termAtSnapshot; ///< Term of the entry at the end of the newest snapshot, if the log holds it.
        std::vector<Entry> entries; ///< After the newest snapshot.
    };

    StorageResult<void> findFiles(std::vector<std::uint64_t> &sequences, std::vector<Index> &snapshots);
    StorageResult<void> readSnapshotMeta(Index index);
    StorageResult<void> replaySegment(std::uint64_t sequence, bool newest, Replay &replay);
    StorageResult<void> rewriteSegment(const std::string &name, std::string_view data);
    StorageResult<void> replayRecord(const LogRecord &record, Replay &replay, Segment &segment);
    StorageResult<void> replayEntry(Entry entry, Replay &replay, Segment &segment);
    StorageResult<void> finishReplay(Replay &replay);
    StorageResult<void> startSegment();
    StorageResult<void> writeAndSync();
    StorageResult<void> writeSnapshotFile(const SnapshotMeta &meta, std::string_view bytes);
    StorageResult<void> removeCoveredFiles(Index index);
    void stageRecord(RecordType type, std::string_view payload);
    Index snapshotIndex() const;

    FileSystem &files_;
    FileLogSettings settings_;
    std::deque<Segment> segments_;
    std::map<Index, SnapshotFile> snapshots_;
    std::unique_ptr<AppendFile> current_;
    std::uint64_t currentSize_ = 0; ///< Bytes in the newest segment, all synced.
    std::string staged_; ///< Encoded records that the next write appends.
    HardState hardState_;
};

} // namespace yuccawheel::coordination
