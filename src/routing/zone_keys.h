#pragma once

#include "routing/key_table.h"
#include "routing/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace yuccawheel::routing
{

enum class KeyMessageKind : std::uint8_t {
    Reserve, ///< To the key's issuer: requests permission to run the request.
    Lookup, ///< To the key's replica: asks for the outcome of its attempt.
    Reply, ///< Answer to Reserve or Lookup.
    Finish, ///< To the issuer: outcome of the attempt.
    FinishAck,
    Copy, ///< Issuer to replica: outcome of the attempt.
};

/// A message between two entries about one key.
struct KeyMessage {
    KeyMessageKind kind = KeyMessageKind::Reserve;
    std::string to;
    std::string from;
    std::uint64_t number = 0; ///< The requesting entry's number for the request; repeated in answers.
    std::string key;
    std::uint64_t digest = 0; ///< Reserve, Lookup, Copy.
    base::Duration timeout{0}; ///< Reserve: maximum duration of the attempt.
    KeyStatus status = KeyStatus::Unreachable; ///< Reply.
    base::Verdict verdict = base::Verdict::MayHaveRun; ///< Reply, Finish, Copy.
    std::optional<StoredAnswer> answer; ///< Reply, Finish, Copy.
};

/// The parts of a key that an entry issued. Text form: `ZONE-ENTRY:INCARNATION:ISSUED:NUMBER`, numbers in hexadecimal.
struct IssuedKey {
    std::string entry;
    std::uint64_t incarnation = 0;
    base::Duration issuedAt{0}; ///< Time since the issuer's process started.
    std::uint64_t number = 0;
};

struct ZoneKeysOptions {
    std::string entry; ///< Name of this entry.
    std::string zone; ///< Its availability zone.
    std::uint64_t incarnation = 1; ///< Increases with each start of the entry.
    std::vector<EntryInfo> entries; ///< All entries of the cell.
    KeyTableOptions table;
    base::Duration firstUseLimit = std::chrono::hours(1); ///< Maximum age of a key at its first use.
    base::Duration replyTimeout = std::chrono::milliseconds(300); ///< For a reply from another entry.
    /// Interval for resending an unacknowledged Finish.
    base::Duration finishRetryInterval = std::chrono::milliseconds(300);
    std::uint32_t finishAttempts = 10;
};

/// Result of a reservation.
struct KeyDecision {
    std::uint64_t number = 0;
    KeyReply reply;
};

/// Issues idempotency keys and grants at most one attempt per key. The process that issued a key decides on it from
/// memory: all reservations of the key pass through it, so only it can know that there was none. Does no I/O and reads
/// no clock.
class ZoneKeys
{
public:
    ZoneKeys(ZoneKeysOptions options, base::TimePoint now);

    /// Returns a new key.
    std::string issue(base::TimePoint now);
    /// Parses a key issued by an entry of the cell; returns nothing for any other key.
    std::optional<IssuedKey> parse(std::string_view key) const;

    /// Asks for permission to run a request with an issued key. `takeDecisions` returns the decision, now or later.
    /// `number` identifies the request and must not be reused.
    void reserve(std::uint64_t number, const KeyReservation &reservation, base::TimePoint now);
    /// Reports the outcome of the attempt of a granted reservation.
    void finish(std::uint64_t number, const KeyOutcome &outcome, base::TimePoint now);
    void handle(const KeyMessage &message, base::TimePoint now);
    /// Times out unanswered messages and resends unacknowledged outcomes.
    void tick(base::TimePoint now);

    std::vector<KeyMessage> takeMessages();
    std::vector<KeyDecision> takeDecisions();

private:
    struct Pending {
        KeyReservation reservation;
        std::string queriedEntry;
        bool queriedIssuer = true;
        base::TimePoint timeoutAt;
    };
    struct Unacknowledged {
        KeyMessage message;
        base::TimePoint nextAt;
        std::uint32_t attemptsLeft = 0;
    };

    KeyReply
    decide(const IssuedKey &issued, const KeyReservation &reservation, const KeyHolder &holder, base::TimePoint now);
    void queryReplica(std::uint64_t number, Pending &pending, const IssuedKey &issued, base::TimePoint now);
    void addDecision(std::uint64_t number, KeyReply reply);
    void recordOutcome(const KeyOutcome &outcome, const KeyHolder &holder, base::TimePoint now);
    void handleReserve(const KeyMessage &message, base::TimePoint now);
    void handleReply(const KeyMessage &message, base::TimePoint now);
    std::string replicaOf(std::string_view key, const std::string &issuer) const;
    bool isDecidedHere(const IssuedKey &issued) const;
    KeyMessage &send(KeyMessageKind kind, const std::string &to, std::uint64_t number, std::string_view key);

    const ZoneKeysOptions options_;
    const base::TimePoint startedAt_;
    std::uint64_t lastIssued_ = 0;
    KeyTable ownRecords_;
    KeyTable replicaRecords_;
    std::unordered_map<std::uint64_t, Pending> pending_;
    std::unordered_map<std::uint64_t, Unacknowledged> unacknowledged_;
    /// Requests that no longer wait for their issuer, and when to forget them.
    std::unordered_map<std::uint64_t, base::TimePoint> abandonedRequests_;
    std::vector<KeyMessage> messages_;
    std::vector<KeyDecision> decisions_;
};

} // namespace yuccawheel::routing
