#include "coordination/idempotency_table.h"

#include "coordination/bytes.h"

#include <algorithm>
#include <utility>

namespace yuccawheel::coordination
{

namespace
{

constexpr std::size_t RecordOverheadBytes = 128; // Estimated memory of a record beside its key and answer.

} // namespace

std::size_t IdempotencyTable::recordBytes(const IdempotencyKey &key, const Record &record) const
{
    return key.uniqueId.size() + record.answer.size() + RecordOverheadBytes;
}

bool IdempotencyTable::isAcceptable(const IdempotencyKey &key) const
{
    return !key.uniqueId.empty() && key.uniqueId.size() <= settings_.maxKeyBytes
        && key.issuedAt <= now_ + settings_.maxSkew;
}

// The age is checked before the limits: a key past the retention may have been recorded and dropped, so it is Expired
// even if the table is full. A key within the retention that is not in the table was never recorded, so a refusal means
// "not run".
KeyStatus IdempotencyTable::begin(const IdempotencyKey &key, WallTime now, std::uint64_t digest)
{
    expire(now);
    if (const auto found = records_.find(key); found != records_.end()) {
        const Record &record = found->second;
        if (record.digest != digest) {
            return KeyStatus{KeyState::Conflict, record.verdict, {}};
        }
        return KeyStatus{record.finished ? KeyState::Finished : KeyState::Running, record.verdict, record.answer};
    }
    if (key.issuedAt + settings_.retention <= now_) {
        return KeyStatus{KeyState::Expired, base::Verdict::MayHaveRun, {}};
    }
    Record record;
    record.digest = digest;
    const std::size_t bytes = recordBytes(key, record);
    if (!isAcceptable(key) || records_.size() >= settings_.maxKeys || bytes_ + bytes > settings_.maxTotalBytes) {
        return KeyStatus{KeyState::Refused, base::Verdict::NotRun, {}};
    }
    records_.emplace(key, std::move(record));
    bytes_ += bytes;
    return KeyStatus{KeyState::Started, base::Verdict::NotRun, {}};
}

void IdempotencyTable::finish(const IdempotencyKey &key, base::Verdict verdict, std::string answer)
{
    const auto found = records_.find(key);
    if (found == records_.end()) {
        return;
    }
    Record &record = found->second;
    if (record.finished && record.verdict == base::Verdict::Ran) {
        return;
    }
    if (verdict == base::Verdict::NotRun) {
        bytes_ -= recordBytes(key, record);
        records_.erase(found);
        return;
    }
    record.finished = true;
    record.verdict = verdict;
    const bool fits = answer.size() <= settings_.maxAnswerBytes
        && bytes_ + answer.size() <= settings_.maxTotalBytes + record.answer.size();
    bytes_ -= record.answer.size();
    record.answer = fits ? std::move(answer) : std::string();
    bytes_ += record.answer.size();
}

void IdempotencyTable::expire(WallTime now)
{
    now_ = std::max(now_, now);
    while (!records_.empty() && records_.begin()->first.issuedAt + settings_.retention <= now_) {
        bytes_ -= recordBytes(records_.begin()->first, records_.begin()->second);
        records_.erase(records_.begin());
    }
}

std::string IdempotencyTable::encode() const
{
    std::string data;
    ByteWriter writer(data);
    writer.number(now_.time_since_epoch().count()).number(static_cast<std::uint64_t>(records_.size()));
    for (const auto &[key, record] : records_) {
        writer.number(key.issuedAt.time_since_epoch().count()).text(key.uniqueId).number(record.digest);
        writer.number(static_cast<std::uint8_t>(record.finished)).number(static_cast<std::uint8_t>(record.verdict));
        writer.text(record.answer);
    }
    return data;
}

bool IdempotencyTable::decode(std::string_view data)
{
    records_.clear();
    bytes_ = 0;
    using Rep = std::chrono::milliseconds::rep;
    ByteReader reader(data);
    now_ = WallTime(std::chrono::milliseconds(reader.number<Rep>()));
    const auto count = reader.number<std::uint64_t>();
    for (std::uint64_t i = 0; i < count && reader.ok(); ++i) {
        IdempotencyKey key;
        key.issuedAt = WallTime(std::chrono::milliseconds(reader.number<Rep>()));
        key.uniqueId = reader.text();
        Record record;
        record.digest = reader.number<std::uint64_t>();
        record.finished = reader.number<std::uint8_t>() != 0;
        record.verdict = static_cast<base::Verdict>(reader.number<std::uint8_t>());
        record.answer = reader.text();
        bytes_ += recordBytes(key, record);
        records_.emplace(std::move(key), std::move(record));
    }
    if (!reader.finished()) {
        records_.clear();
        bytes_ = 0;
        return false;
    }
    return true;
}

} // namespace yuccawheel::coordination
