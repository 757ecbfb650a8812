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
    std::size_t segmentBytes = std::size_t{4} * 1024 * 1024; ///< A segment that has grown past this is closed.
    std::size_t snapshotsKept = 2; ///< The older one may still be on its way to another replica.
};

/// The log as a row of segment files of checksummed records, with each snapshot in a file of its own
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
        Index highest = 0; ///< Highest index of an entry that the segment holds.
    };
    struct SnapshotFile {
        SnapshotMeta meta;
        std::uint64_t dataOffset = 0;
    };
    /// The log as it emerges from reading the records in order.
    struct Replay {
        HardState hardState;
        Index first = 0; ///< First index that the segments hold; 0 before the first entry.
        Index last = 0; ///< Last index of the log so far; 0 before the first entry.
        std::optional<Term> termAtSnapshot;
        std::vector<Entry> entries; ///< Those after the snapshot.
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
    StorageResult<void> dropCovered(Index index);
    void stage(RecordType type, std::string_view payload);
    Index snapshotIndex() const;

    FileSystem &files_;
    FileLogSettings settings_;
    std::deque<Segment> segments_;
    std::map<Index, SnapshotFile> snapshots_;
    std::unique_ptr<AppendFile> current_;
    std::uint64_t currentSize_ = 0; ///< Bytes of the newest segment, all of them synced.
    std::string staged_; ///< Records of the next write.
    HardState hardState_;
};

} // namespace yuccawheel::coordination
