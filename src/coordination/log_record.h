#pragma once

#include "coordination/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace yuccawheel::coordination
{

enum class RecordType : std::uint8_t {
    SegmentStart = 1,
    HardState = 2,
    Entry = 3,
    LogReset = 4, ///< The log was replaced by a snapshot at the given position.
};

/// A record as it stands in a segment file.
struct LogRecord {
    RecordType type = RecordType::Entry;
    std::uint64_t syncedBefore = 0; ///< Bytes of this segment known to be on disk when the record was written.
    std::string_view payload;
    std::size_t size = 0; ///< Bytes in the file, its frame included.
};

/// Appends a record that will stand at `offset` of segment `sequence`; its checksum covers both.
void appendRecord(std::string &out,
                  RecordType type,
                  std::string_view payload,
                  std::uint64_t sequence,
                  std::uint64_t offset,
                  std::uint64_t syncedBefore);
/// Returns the whole and undamaged record at `offset`, or nothing.
std::optional<LogRecord> parseRecord(std::string_view segment, std::uint64_t sequence, std::uint64_t offset);
/// True if a whole record after `offset` was written when the bytes at `offset` were on disk already:
/// then a bad record at `offset` is damage and not a torn tail.
bool wasSynced(std::string_view segment, std::uint64_t sequence, std::uint64_t offset);

std::string encodeHardState(const HardState &state);
std::optional<HardState> decodeHardState(std::string_view payload);
std::string encodeEntry(const Entry &entry);
std::optional<Entry> decodeEntry(std::string_view payload);
std::string encodeSnapshotMeta(const SnapshotMeta &meta);
std::optional<SnapshotMeta> decodeSnapshotMeta(std::string_view payload);

} // namespace yuccawheel::coordination
