#include "coordination/file_log_storage.h"

#include "base/invariant.h"
#include "coordination/bytes.h"
#include "coordination/checksum.h"

#include <fmt/core.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace yuccawheel::coordination
{

namespace
{

constexpr std::uint32_t FormatVersion = 1;
constexpr std::string_view SegmentPrefix = "segment-";
constexpr std::string_view SnapshotPrefix = "snapshot-";
constexpr std::string_view TemporaryName = "temporary";
constexpr std::size_t MaxMetaBytes = 4096; // Of the header record of a snapshot file.

std::string segmentName(std::uint64_t sequence)
{
    return fmt::format("{}{:016x}", SegmentPrefix, sequence);
}

std::string snapshotName(Index index)
{
    return fmt::format("{}{:016x}", SnapshotPrefix, index);
}

std::optional<std::uint64_t> parseHexSuffix(std::string_view name, std::string_view prefix)
{
    if (!name.starts_with(prefix)) {
        return std::nullopt;
    }
    name.remove_prefix(prefix.size());
    std::uint64_t number = 0;
    const auto result = std::from_chars(name.data(), name.data() + name.size(), number, 16);
    if (result.ec != std::errc{} || result.ptr != name.data() + name.size()) {
        return std::nullopt;
    }
    return number;
}

tl::unexpected<StorageError> damaged(const std::string &file, const std::string &what)
{
    return tl::unexpected(StorageError{StorageFailure::Damaged, file + ": " + what});
}

StorageResult<void> missingSnapshot(Index index)
{
    return damaged(snapshotName(index), "the snapshot that precedes the log is missing");
}

tl::unexpected<StorageError> malformed(const char *what)
{
    return tl::unexpected(StorageError{StorageFailure::Damaged, what});
}

} // namespace

FileLogStorage::FileLogStorage(FileSystem &files, FileLogSettings settings) : files_(files), settings_(settings)
{
}

StorageResult<RecoveredState> FileLogStorage::recover()
{
    segments_.clear();
    snapshots_.clear();
    current_.reset();
    std::vector<std::uint64_t> sequences;
    std::vector<Index> snapshots;
    if (auto done = findFiles(sequences, snapshots); !done) {
        return tl::unexpected(done.error());
    }
    for (const Index index : snapshots) {
        if (auto done = readSnapshotMeta(index); !done) {
            return tl::unexpected(done.error());
        }
    }
    Replay replay;
    for (std::size_t i = 0; i < sequences.size(); ++i) {
        if (i > 0 && sequences[i] != sequences[i - 1] + 1) {
            return damaged(segmentName(sequences[i - 1] + 1), "the segment is missing");
        }
        if (auto done = replaySegment(sequences[i], i + 1 == sequences.size(), replay); !done) {
            return tl::unexpected(done.error());
        }
    }
    if (segments_.empty() && !snapshots_.empty()) {
        return damaged(segmentName(1), "there are snapshots but no log segments");
    }
    if (auto done = finishReplay(replay); !done) {
        return tl::unexpected(done.error());
    }
    const SnapshotMeta meta = snapshots_.empty() ? SnapshotMeta{} : snapshots_.rbegin()->second.meta;
    return RecoveredState{hardState_, meta, std::move(replay.entries)};
}

StorageResult<void> FileLogStorage::findFiles(std::vector<std::uint64_t> &sequences, std::vector<Index> &snapshots)
{
    auto names = files_.list();
    if (!names) {
        return tl::unexpected(names.error());
    }
    for (const std::string &name : *names) {
        if (const auto sequence = parseHexSuffix(name, SegmentPrefix)) {
            sequences.push_back(*sequence);
        } else if (const auto index = parseHexSuffix(name, SnapshotPrefix)) {
            snapshots.push_back(*index);
        } else if (name == TemporaryName) {
            if (auto done = files_.remove(name); !done) {
                return done;
            }
        }
    }
    std::sort(sequences.begin(), sequences.end());
    std::sort(snapshots.begin(), snapshots.end());
    return {};
}

StorageResult<void> FileLogStorage::readSnapshotMeta(Index index)
{
    const std::string name = snapshotName(index);
    const auto head = files_.read(name, 0, MaxMetaBytes);
    if (!head) {
        return tl::unexpected(head.error());
    }
    const auto record = parseRecord(*head, index, 0);
    const auto meta = record ? decodeSnapshotMeta(record->payload) : std::nullopt;
    if (!meta || meta->index != index) {
        return damaged(name, "the snapshot header is malformed or does not match its checksum");
    }
    snapshots_.insert_or_assign(index, SnapshotFile{*meta, record->size});
    return {};
}

// Only the newest segment can end in a torn write: every older one was synced before its successor was created.
StorageResult<void> FileLogStorage::replaySegment(std::uint64_t sequence, bool newest, Replay &replay)
{
    const std::string name = segmentName(sequence);
    const auto size = files_.size(name);
    if (!size) {
        return tl::unexpected(size.error());
    }
    const auto data = files_.read(name, 0, *size);
    if (!data) {
        return tl::unexpected(data.error());
    }
    Segment segment{sequence, 0};
    std::uint64_t offset = 0;
    while (offset < data->size()) {
        const auto record = parseRecord(*data, sequence, offset);
        if (!record) {
            break;
        }
        if ((offset == 0) != (record->type == RecordType::SegmentStart)) {
            return damaged(name, fmt::format("a record of the wrong type at byte {}", offset));
        }
        if (auto done = replayRecord(*record, replay, segment); !done) {
            return damaged(name, fmt::format("{} at byte {}", done.error().detail, offset));
        }
        offset += record->size;
    }
    const bool whole = offset == data->size() && offset > 0;
    if (!whole && (!newest || isKnownSynced(*data, sequence, offset))) {
        return damaged(name, fmt::format("a record is incomplete or does not match its checksum at byte {}", offset));
    }
    if (offset == 0) {
        return files_.remove(name);
    }
    segments_.push_back(segment);
    currentSize_ = offset;
    return newest ? rewriteSegment(name, data->substr(0, offset)) : StorageResult<void>();
}

// A process that died between write and sync, or on a failed sync, leaves bytes that can be read from the page cache
// but may not be on disk. They are written and synced again, without the torn tail, before any state depends on them.
StorageResult<void> FileLogStorage::rewriteSegment(const std::string &name, std::string_view data)
{
    const std::string temporary(TemporaryName);
    auto file = files_.create(temporary);
    if (!file) {
        return tl::unexpected(file.error());
    }
    auto done = (*file)->append(data);
    if (done) {
        done = (*file)->sync();
    }
    if (done) {
        done = files_.rename(temporary, name);
    }
    return done ? files_.syncFolder() : done;
}

StorageResult<void> FileLogStorage::replayRecord(const LogRecord &record, Replay &replay, Segment &segment)
{
    if (record.type == RecordType::SegmentStart) {
        if (ByteReader(record.payload).number<std::uint32_t>() != FormatVersion) {
            return malformed("an unknown format version");
        }
    } else if (record.type == RecordType::HardState) {
        const auto state = decodeHardState(record.payload);
        if (!state) {
            return malformed("a malformed hard state");
        }
        replay.hardState = *state;
        replay.hardStateSegment = segment.sequence;
    } else if (record.type == RecordType::Entry) {
        auto entry = decodeEntry(record.payload);
        if (!entry) {
            return malformed("a malformed entry");
        }
        return replayEntry(std::move(*entry), replay, segment);
    } else if (record.type == RecordType::LogReset) {
        ByteReader reader(record.payload);
        replay.last = reader.number<Index>();
        replay.first = replay.last + 1;
        const auto term = reader.number<Term>();
        replay.entries.clear();
        replay.termAtSnapshot = replay.last == snapshotIndex() ? std::optional(term) : std::nullopt;
    } else {
        return malformed("a record of unknown type");
    }
    return {};
}

// An entry at or below the last index replaces the log from that index on: the leader of a later term overwrote it.
StorageResult<void> FileLogStorage::replayEntry(Entry entry, Replay &replay, Segment &segment)
{
    if (replay.last != 0 && entry.index > replay.last + 1) {
        return malformed("a gap in the log");
    }
    segment.highest = std::max(segment.highest, entry.index);
    replay.last = entry.index;
    replay.first = replay.first == 0 ? entry.index : replay.first;
    const Index covered = snapshotIndex();
    if (entry.index <= covered) {
        replay.entries.clear();
        replay.termAtSnapshot = entry.index == covered ? std::optional(entry.term) : std::nullopt;
        return {};
    }
    if (!replay.entries.empty()) {
        const Index first = replay.entries.front().index;
        replay.entries.resize(entry.index < first ? 0 : std::min(entry.index - first, replay.entries.size()));
    }
    replay.entries.push_back(std::move(entry));
    return {};
}

// After a crash during the installation of a snapshot, the log may not contain the entry at the end of the snapshot.
// Such a log is discarded, and a LogReset record tells so to the next start.
StorageResult<void> FileLogStorage::finishReplay(Replay &replay)
{
    hardState_ = replay.hardState;
    if (segments_.empty()) {
        return {};
    }
    auto file = files_.openAppend(segmentName(segments_.back().sequence));
    if (!file) {
        return tl::unexpected(file.error());
    }
    current_ = std::move(*file);
    // A process that died in `startSegment` may have left a segment without one, and the older segments are removed
    // later.
    if (replay.hardStateSegment != segments_.back().sequence) {
        stageRecord(RecordType::HardState, encodeHardState(hardState_));
        if (auto done = writeAndSync(); !done) {
            return done;
        }
    }
    if (snapshots_.empty()) {
        return replay.first <= 1 ? StorageResult<void>() : missingSnapshot(replay.first - 1);
    }
    const SnapshotMeta &meta = snapshots_.rbegin()->second.meta;
    if (replay.termAtSnapshot == meta.term) {
        return {};
    }
    if (replay.last >= meta.index && !replay.termAtSnapshot) {
        return missingSnapshot(replay.first - 1);
    }
    replay.entries.clear();
    std::string payload;
    ByteWriter(payload).number(meta.index).number(meta.term);
    stageRecord(RecordType::LogReset, payload);
    return writeAndSync();
}

StorageResult<std::string> FileLogStorage::loadSnapshot() const
{
    if (snapshots_.empty()) {
        return std::string();
    }
    const auto &[index, file] = *snapshots_.rbegin();
    auto bytes = files_.read(snapshotName(index), file.dataOffset, file.meta.size);
    if (bytes && (bytes->size() != file.meta.size || checksum(*bytes) != file.meta.checksum)) {
        return damaged(snapshotName(index), "the snapshot does not match its checksum");
    }
    return bytes;
}

std::optional<std::string> FileLogStorage::readSnapshot(Index index, std::uint64_t offset, std::size_t size) const
{
    const auto found = snapshots_.find(index);
    if (found == snapshots_.end() || offset > found->second.meta.size) {
        return std::nullopt;
    }
    const std::uint64_t left = found->second.meta.size - offset;
    auto bytes = files_.read(snapshotName(index), found->second.dataOffset + offset, std::min<std::size_t>(size, left));
    if (!bytes) {
        return std::nullopt;
    }
    return std::move(*bytes);
}

StorageResult<void> FileLogStorage::save(const std::optional<HardState> &hardState, const std::vector<Entry> &entries)
{
    if (hardState) {
        hardState_ = *hardState;
    }
    if (!current_ || currentSize_ >= settings_.segmentBytes) {
        if (auto done = startSegment(); !done) {
            return done;
        }
    }
    if (hardState) {
        stageRecord(RecordType::HardState, encodeHardState(*hardState));
    }
    for (const Entry &entry : entries) {
        stageRecord(RecordType::Entry, encodeEntry(entry));
        segments_.back().highest = std::max(segments_.back().highest, entry.index);
    }
    return writeAndSync();
}

void FileLogStorage::stageRecord(RecordType type, std::string_view payload)
{
    appendRecord(staged_, type, payload, segments_.back().sequence, currentSize_ + staged_.size(), currentSize_);
}

StorageResult<void> FileLogStorage::writeAndSync()
{
    const std::string batch = std::exchange(staged_, {});
    if (auto done = current_->append(batch); !done) {
        // What was written of the batch would follow the last whole record when the call is repeated.
        const bool repeatable = done.error().failure == StorageFailure::NoSpace;
        const auto cut = repeatable ? current_->truncate(currentSize_) : StorageResult<void>();
        return cut ? done : cut;
    }
    if (auto done = current_->sync(); !done) {
        return done;
    }
    currentSize_ += batch.size();
    return {};
}

// The hard state is repeated at the start of each segment, so that older segments can be removed.
StorageResult<void> FileLogStorage::startSegment()
{
    const std::uint64_t sequence = segments_.empty() ? 1 : segments_.back().sequence + 1;
    auto file = files_.create(segmentName(sequence));
    if (!file) {
        return tl::unexpected(file.error());
    }
    current_ = std::move(*file);
    currentSize_ = 0;
    segments_.push_back(Segment{sequence, 0});
    std::string payload;
    ByteWriter(payload).number(FormatVersion);
    stageRecord(RecordType::SegmentStart, payload);
    stageRecord(RecordType::HardState, encodeHardState(hardState_));
    if (auto done = writeAndSync(); !done) {
        current_.reset();
        segments_.pop_back();
        static_cast<void>(files_.remove(segmentName(sequence))); // Replaced by the next try in any case.
        return done;
    }
    return files_.syncFolder();
}

StorageResult<void> FileLogStorage::saveSnapshot(SnapshotMeta &meta, std::string_view bytes)
{
    meta.size = bytes.size();
    meta.checksum = checksum(bytes);
    if (auto done = writeSnapshotFile(meta, bytes); !done) {
        return done;
    }
    return removeCoveredFiles(meta.index);
}

StorageResult<void> FileLogStorage::installSnapshot(const Snapshot &snapshot)
{
    if (!current_) {
        if (auto done = startSegment(); !done) {
            return done;
        }
    }
    const bool written = snapshotIndex() == snapshot.meta.index; // By an earlier try.
    if (auto done = written ? StorageResult<void>() : writeSnapshotFile(snapshot.meta, snapshot.bytes); !done) {
        return done;
    }
    std::string payload;
    ByteWriter(payload).number(snapshot.meta.index).number(snapshot.meta.term);
    stageRecord(RecordType::LogReset, payload);
    if (auto done = writeAndSync(); !done) {
        return done;
    }
    return removeCoveredFiles(snapshot.meta.index);
}

// The file gets its final name only after its bytes are synced, and the name is synced before anything that the
// snapshot covers is removed.
StorageResult<void> FileLogStorage::writeSnapshotFile(const SnapshotMeta &meta, std::string_view bytes)
{
    YW_INVARIANT(meta.index > snapshotIndex(), "snapshots must advance with the log");
    std::string head;
    appendRecord(head, RecordType::LogReset, encodeSnapshotMeta(meta), meta.index, 0, 0);
    const std::string temporary(TemporaryName);
    const std::string name = snapshotName(meta.index);
    auto file = files_.create(temporary);
    if (!file) {
        return tl::unexpected(file.error());
    }
    auto done = (*file)->append(head);
    if (done) {
        done = (*file)->append(bytes);
    }
    if (done) {
        done = (*file)->sync();
    }
    if (done) {
        done = files_.rename(temporary, name);
    }
    if (done) {
        done = files_.syncFolder();
    }
    if (done) {
        snapshots_.emplace(meta.index, SnapshotFile{meta, head.size()});
    } else if (done.error().failure == StorageFailure::NoSpace) {
        static_cast<void>(files_.remove(temporary));
    }
    return done;
}

// The segment that holds the last entry of the snapshot is kept: at the next start it proves that log and snapshot
// agree. Segments are removed from the oldest on, each removal synced before the next, so that a crash leaves no gap.
StorageResult<void> FileLogStorage::removeCoveredFiles(Index index)
{
    while (segments_.size() > 1 && segments_.front().highest < index) {
        if (auto done = files_.remove(segmentName(segments_.front().sequence)); !done) {
            return done;
        }
        if (auto done = files_.syncFolder(); !done) {
            return done;
        }
        segments_.pop_front();
    }
    while (snapshots_.size() > settings_.retainedSnapshots) {
        if (auto done = files_.remove(snapshotName(snapshots_.begin()->first)); !done) {
            return done;
        }
        snapshots_.erase(snapshots_.begin());
    }
    return {};
}

StorageResult<std::uint64_t> FileLogStorage::freeBytes() const
{
    return files_.freeBytes();
}

Index FileLogStorage::snapshotIndex() const
{
    return snapshots_.empty() ? 0 : snapshots_.rbegin()->first;
}

} // namespace yuccawheel::coordination
