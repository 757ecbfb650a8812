#pragma once

#include "base/clock.h"
#include "routing/key_store.h"
#include "routing/upstream_table.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace yuccawheel::routing
{

/// Holder of a reservation: the requesting entry and its number for the request.
struct KeyHolder {
    std::string entry;
    std::uint64_t number = 0;

    bool operator==(const KeyHolder &) const = default;
};

struct KeyTableOptions {
    base::Duration retention = std::chrono::hours(1); ///< Minimum age of a record's last change before it is removed.
    std::size_t maxRecords = 50'000;
    std::size_t maxAnswerBytes =
        std::size_t{8} * 1024 * 1024; ///< Above this, the oldest answers are dropped; their verdicts stay.
};

/// Records each idempotency key with the outcome of its attempt. The first reservation wins.
class KeyTable
{
public:
    explicit KeyTable(KeyTableOptions options);

    /// Reserves a key that has no record. The attempt is guaranteed to have ended by `attemptEnd`.
    KeyReply reserve(std::string_view key,
                     std::uint64_t digest,
                     const KeyHolder &holder,
                     base::TimePoint attemptEnd,
                     base::TimePoint now);
    /// Records the outcome of the holder's attempt; NotRun removes the record. Returns false if the holder has no
    /// attempt in progress.
    bool finish(const KeyOutcome &outcome, const KeyHolder &holder, base::TimePoint now);
    /// Records an outcome replicated from another entry. Ignored if the key has a record.
    void addReplicated(const KeyOutcome &outcome, std::uint64_t digest, base::TimePoint now);
    /// Returns the recorded state of a key; Unreachable if there is no record.
    KeyReply find(std::string_view key, std::uint64_t digest) const;
    /// Removes records whose retention time has passed.
    void expire(base::TimePoint now);
    /// Digest of the request with this key; zero if there is no record.
    std::uint64_t digestOf(std::string_view key) const;
    std::size_t size() const;

private:
    struct Record {
        std::uint64_t digest = 0;
        KeyHolder holder;
        bool finished = false;
        base::Verdict verdict = base::Verdict::MayHaveRun;
        std::optional<StoredAnswer> answer;
        base::TimePoint expiresAt;
    };
    struct Expiry {
        std::string key;
        base::TimePoint at;
    };

    void storeAnswer(const std::string &key, Record &record, const std::optional<StoredAnswer> &answer);
    void dropAnswer(Record &record);

    const KeyTableOptions options_;
    TextMap<Record> records_;
    std::deque<Expiry> expiries_;
    std::deque<std::string> answerOrder_;
    std::size_t answerBytes_ = 0;
};

} // namespace yuccawheel::routing
