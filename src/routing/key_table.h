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

/// Who holds a reservation: the asking entry and its number for the request.
struct KeyHolder {
    std::string entry;
    std::uint64_t number = 0;

    bool operator==(const KeyHolder &) const = default;
};

struct KeyTableOptions {
    base::Duration retention = std::chrono::hours(1); ///< After the last change of a record.
    std::size_t maxRecords = 50'000;
    std::size_t maxAnswerBytes = std::size_t{8} * 1024 * 1024; ///< Oldest answers go first; their verdicts stay.
};

/// Remembers each key and what became of its attempt. The first reservation wins.
class KeyTable
{
public:
    explicit KeyTable(KeyTableOptions options);

    /// Reserves a key that has no record. `until` is when the attempt has surely ended.
    KeyReply reserve(std::string_view key,
                     std::uint64_t digest,
                     const KeyHolder &holder,
                     base::TimePoint attemptEnd,
                     base::TimePoint now);
    /// Records the end of the holder's attempt; NotRun drops the record. Returns false if the holder has no attempt.
    bool finish(const KeyOutcome &outcome, const KeyHolder &holder, base::TimePoint now);
    /// Records an end that another entry decided on.
    void addReplicated(const KeyOutcome &outcome, std::uint64_t digest, base::TimePoint now);
    /// What is known of a key; Unreachable if there is no record.
    KeyReply find(std::string_view key, std::uint64_t digest) const;
    /// Drops records that have been kept long enough.
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
