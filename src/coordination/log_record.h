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
    LogReset = 4, ///< A snapshot replaced the log up to the given position; also the header of a snapshot file.
};

/// A record read from a segment file.
struct LogRecord {
    RecordType type = RecordType::Entry;
    std::uint64_t syncedBefore = 0; ///< Bytes of the segment that were synced when the record was written.
    std::string_view payload;
    std::size_t size = 0; ///< Bytes in the file, including the frame.
};

/// Encodes a record for `offset` in segment `sequence`, both covered by its checksum, and appends it to `out`.
void appendRecord(std::string &out,
                  RecordType type,
                  std::string_view payload,
                  std::uint64_t sequence,
                  std::uint64_t offset,
                  std::uint64_t syncedBefore);
/// Returns the record at `offset`, or nothing if it is incomplete or does not match its checksum.
std::optional<LogRecord> parseRecord(std::string_view segment, std::uint64_t sequence, std::uint64_t offset);
/// Returns whether a valid record after `offset` proves that the bytes at `offset` were synced before that record was
/// written. An invalid record at `offset` is then corruption and not a torn write.
bool isKnownSynced(std::string_view segment, std::uint64_t sequence, std::uint64_t offset);

std::string encodeHardState(const HardState &state);
std::optional<HardState> decodeHardState(std::string_view payload);
std::string encodeEntry(const Entry &entry);
std::optional<Entry> decodeEntry(std::string_view payload);
std::string encodeSnapshotMeta(const SnapshotMeta &meta);
std::optional<SnapshotMeta> decodeSnapshotMeta(std::string_view payload);

} // namespace yuccawheel::coordination
