#include "coordination/log_record.h"

#include "coordination/bytes.h"
#include "coordination/checksum.h"
#include "coordination/replica_set.h"

namespace yuccawheel::coordination
{

namespace
{

constexpr std::uint32_t RecordMagic = 0x31725779; // "yWr1"
constexpr std::uint64_t SequenceFactor = 0x9e3779b97f4a7c15ULL;

struct Frame {
    std::uint32_t magic = 0;
    std::uint32_t length = 0;
    std::uint64_t type = 0;
    std::uint64_t syncedBefore = 0;
    std::uint64_t checksum = 0;
};

// Segment and offset are part of the checksum, so that a record from another position, such as one left over from an
// earlier file, does not pass as valid.
std::uint64_t recordChecksum(const Frame &frame, std::string_view payload, std::uint64_t sequence, std::uint64_t offset)
{
    std::string head;
    ByteWriter(head).number(frame.length).number(frame.type).number(frame.syncedBefore).number(offset);
    return checksum(payload, checksum(head, sequence * SequenceFactor));
}

} // namespace

void appendRecord(std::string &out,
                  RecordType type,
                  std::string_view payload,
                  std::uint64_t sequence,
                  std::uint64_t offset,
                  std::uint64_t syncedBefore)
{
    Frame frame{
        RecordMagic, static_cast<std::uint32_t>(payload.size()), static_cast<std::uint64_t>(type), syncedBefore, 0};
    frame.checksum = recordChecksum(frame, payload, sequence, offset);
    ByteWriter(out).number(frame);
    out.append(payload);
}

std::optional<LogRecord> parseRecord(std::string_view segment, std::uint64_t sequence, std::uint64_t offset)
{
    if (offset > segment.size()) {
        return std::nullopt;
    }
    ByteReader reader(segment.substr(offset));
    const auto frame = reader.number<Frame>();
    if (!reader.ok() || frame.magic != RecordMagic || frame.length > reader.remaining()) {
        return std::nullopt;
    }
    const std::string_view payload = segment.substr(offset + sizeof(Frame), frame.length);
    if (frame.checksum != recordChecksum(frame, payload, sequence, offset)) {
        return std::nullopt;
    }
    return LogRecord{static_cast<RecordType>(frame.type), frame.syncedBefore, payload, sizeof(Frame) + payload.size()};
}

bool isKnownSynced(std::string_view segment, std::uint64_t sequence, std::uint64_t offset)
{
    std::string magic;
    ByteWriter(magic).number(RecordMagic);
    for (std::size_t at = segment.find(magic, offset + 1); at != std::string_view::npos;
         at = segment.find(magic, at + 1)) {
        const auto record = parseRecord(segment, sequence, at);
        if (record && record->syncedBefore > offset) {
            return true;
        }
    }
    return false;
}

std::string encodeHardState(const HardState &state)
{
    std::string payload;
    ByteWriter(payload)
        .number(state.cluster)
        .number(state.self.node)
        .number(state.self.generation)
        .number(state.term)
        .number(state.votedFor.node)
        .number(state.votedFor.generation);
    return payload;
}

std::optional<HardState> decodeHardState(std::string_view payload)
{
    ByteReader reader(payload);
    HardState state;
    state.cluster = reader.number<ClusterId>();
    state.self.node = reader.number<std::uint32_t>();
    state.self.generation = reader.number<std::uint32_t>();
    state.term = reader.number<Term>();
    state.votedFor.node = reader.number<std::uint32_t>();
    state.votedFor.generation = reader.number<std::uint32_t>();
    return reader.finished() ? std::optional(state) : std::nullopt;
}

std::string encodeEntry(const Entry &entry)
{
    std::string payload;
    ByteWriter(payload)
        .number(entry.index)
        .number(entry.term)
        .number(static_cast<std::uint8_t>(entry.kind))
        .text(entry.data);
    return payload;
}

std::optional<Entry> decodeEntry(std::string_view payload)
{
    ByteReader reader(payload);
    Entry entry;
    entry.index = reader.number<Index>();
    entry.term = reader.number<Term>();
    entry.kind = static_cast<EntryKind>(reader.number<std::uint8_t>());
    entry.data = reader.text();
    return reader.finished() ? std::optional(std::move(entry)) : std::nullopt;
}

std::string encodeSnapshotMeta(const SnapshotMeta &meta)
{
    std::string payload;
    ByteWriter(payload)
        .number(meta.index)
        .number(meta.term)
        .number(meta.size)
        .number(meta.checksum)
        .text(encodeReplicaSet(meta.replicas));
    return payload;
}

std::optional<SnapshotMeta> decodeSnapshotMeta(std::string_view payload)
{
    ByteReader reader(payload);
    SnapshotMeta meta;
    meta.index = reader.number<Index>();
    meta.term = reader.number<Term>();
    meta.size = reader.number<std::uint64_t>();
    meta.checksum = reader.number<std::uint64_t>();
    auto replicas = decodeReplicaSet(reader.text());
    if (!reader.finished() || !replicas) {
        return std::nullopt;
    }
    meta.replicas = std::move(*replicas);
    return meta;
}

} // namespace yuccawheel::coordination
