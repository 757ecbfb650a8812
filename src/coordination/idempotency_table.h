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

/// Wall-clock time as recorded in log entries, so that all replicas see the same time.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Identifies a request that must run at most once. Every attempt carries the same key with the same time of issue.
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
    std::chrono::milliseconds retention =
        std::chrono::hours(24); ///< Time from the issue of a key until the table forgets it.
    std::chrono::milliseconds maxSkew = std::chrono::minutes(5); ///< How far the issue of a key may be in the future.
    std::size_t maxKeys = 100'000;
    std::size_t maxKeyBytes = 200;
    std::size_t maxAnswerBytes = std::size_t{64} * 1024; ///< Larger answers are not kept.
    std::size_t maxTotalBytes = std::size_t{8} * 1024 * 1024; ///< Of all keys and answers.
};

enum class KeyState : std::uint8_t {
    Started, ///< The key is new and has been recorded: this attempt may run.
    Running, ///< An earlier attempt has not ended.
    Finished, ///< An earlier attempt has ended; `verdict` and `answer` are those of it.
    Expired, ///< The key is past its retention: an earlier attempt may have run.
    Refused, ///< The table is full, or the key is malformed or from the future. No attempt was recorded.
    Conflict, ///< The key was used by a request with other content; `verdict` is that of the other request.
};

struct KeyStatus {
    KeyState state = KeyState::Refused;
    base::Verdict verdict = base::Verdict::NotRun; ///< Covers all attempts with this key so far.
    std::string answer; ///< Of a Finished attempt, else empty.
};

/// Keeps keys with their verdicts and answers for a bounded time in bounded memory. A forgotten key is never taken for
/// a new one: any key past the retention is Expired, which means "may have run".
class IdempotencyTable
{
public:
    explicit IdempotencyTable(IdempotencySettings settings = {}) : settings_(settings)
    {
    }

    /// Looks the key up, and records it if it is new. `digest` is a hash of the request's content. A `now` before the
    /// latest one seen counts as the latest one.
    KeyStatus begin(const IdempotencyKey &key, WallTime now, std::uint64_t digest = 0);
    /// Records how an attempt ended. NotRun removes the key, so that a resend may run; once Ran is recorded, later
    /// calls change nothing. An answer over the limits is dropped, its verdict is kept.
    void finish(const IdempotencyKey &key, base::Verdict verdict, std::string answer);
    /// Removes the keys past their retention.
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
    /// Replaces the content with what `encode` returned. Returns false and leaves the table empty if the data is
    /// malformed.
    bool decode(std::string_view data);

private:
    struct Record {
        std::uint64_t digest = 0;
        bool finished = false;
        base::Verdict verdict = base::Verdict::MayHaveRun;
        std::string answer;
    };

    std::size_t recordBytes(const IdempotencyKey &key, const Record &record) const;
    bool isAcceptable(const IdempotencyKey &key) const;

    IdempotencySettings settings_;
    std::map<IdempotencyKey, Record> records_; ///< Ordered by time of issue, oldest first.
    std::size_t bytes_ = 0;
    WallTime now_{};
};

} // namespace yuccawheel::coordination
