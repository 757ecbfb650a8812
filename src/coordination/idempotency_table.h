#pragma once

#include "base/verdict.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

namespace yuccawheel::coordination
{

/// Wall-clock time, of the log's entries and not of the reader's clock.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Names a request that may run once. Every attempt carries the same key, its time of issue included.
struct IdempotencyKey {
    WallTime issuedAt{};
    std::string uniqueId;

    bool operator==(const IdempotencyKey &) const = default;
    bool operator<(const IdempotencyKey &other) const
    {
        return std::tie(issuedAt, uniqueId) < std::tie(other.issuedAt, other.uniqueId);
    }
};

struct IdempotencySettings {
    std::chrono::milliseconds retention = std::chrono::hours(24); ///< A key is kept this long after its issue.
    std::chrono::milliseconds maxSkew = std::chrono::minutes(5); ///< How far a key's issue may lie in the future.
    std::size_t maxKeys = 100'000;
    std::size_t maxKeyBytes = 200;
    std::size_t maxAnswerBytes = std::size_t{64} * 1024; ///< Of one answer.
    std::size_t maxTotalBytes = std::size_t{8} * 1024 * 1024; ///< Of all keys and answers.
};

enum class KeyState : std::uint8_t {
    Started, ///< The key is new and now recorded: this attempt may run.
    Running, ///< An earlier attempt was recorded and has not ended.
    Finished, ///< An earlier attempt ended; its verdict and answer are kept.
    Expired, ///< The key is too old to be known: an earlier attempt may have run.
    Refused, ///< The table is full, or the key malformed or from the future; no attempt of it was ever recorded.
    Conflict, ///< The key belongs to a request with other content; the verdict is that request's.
};

struct KeyStatus {
    KeyState state = KeyState::Refused;
    base::Verdict verdict = base::Verdict::NotRun; ///< What can be said of all attempts with this key so far.
    std::string answer; ///< Of the finished attempt.
};

/// Keeps keys with their verdicts and answers for a bounded time in bounded memory. A key that was forgotten is never
/// taken for new: what is older than the retention is Expired, which means "may have run".
class IdempotencyTable
{
public:
    explicit IdempotencyTable(IdempotencySettings settings = {}) : settings_(settings)
    {
    }

    /// Looks the key up, and records it if it is new. `digest` stands for the request's content. `now` may repeat but
    /// never go back; an earlier one counts as the latest seen.
    KeyStatus begin(const IdempotencyKey &key, WallTime now, std::uint64_t digest = 0);
    /// Records how an attempt ended. NotRun removes the key, so that a resend may run; after Ran nothing changes.
    /// An answer too large to keep is dropped; its verdict stays.
    void finish(const IdempotencyKey &key, base::Verdict verdict, std::string answer);
    /// Drops the keys past their retention.
    void expire(WallTime now);

    std::size_t size() const
    {
        return records_.size();
    }
    std::size_t bytes() const
    {
        return bytes_;
    }

    std::string encode() const;
    /// Replaces the content by an encoded one. Returns false, leaving the table empty, if that is malformed.
    bool decode(std::string_view data);

private:
    struct Record {
        std::uint64_t digest = 0;
        bool finished = false;
        base::Verdict verdict = base::Verdict::MayHaveRun;
        std::string answer;
    };

    std::size_t bytesOf(const IdempotencyKey &key, const Record &record) const;
    bool acceptable(const IdempotencyKey &key) const;

    IdempotencySettings settings_;
    std::map<IdempotencyKey, Record> records_; ///< In order of issue, so the oldest come first.
    std::size_t bytes_ = 0;
    WallTime now_{};
};

} // namespace yuccawheel::coordination
