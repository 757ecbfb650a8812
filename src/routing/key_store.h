#pragma once

#include "base/clock.h"
#include "base/verdict.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace yuccawheel::routing
{

/// A whole answer, kept so that a resend gets it again.
struct StoredAnswer {
    unsigned status = 0; ///< HTTP status.
    std::string contentType;
    std::string body;

    bool operator==(const StoredAnswer &) const = default;
};

/// Asks for the right to run the request with this key.
struct KeyReservation {
    std::string key;
    std::uint64_t digest = 0; ///< Of the request's content.
    base::Duration timeout{0}; ///< The attempt ends so soon.
};

enum class KeyStatus : std::uint8_t {
    Granted, ///< No attempt with this key has been dispatched by any entry, and none other will be.
    Duplicate, ///< An attempt was made, or is in progress.
    Conflict, ///< The key belongs to a request with other content.
    Unreachable, ///< Nobody who could tell answers. An attempt may have been made.
    Refused, ///< No attempt was made and none is allowed: the key is malformed, or there is no room for it.
};

struct KeyReply {
    KeyStatus status = KeyStatus::Unreachable;
    base::Verdict verdict = base::Verdict::MayHaveRun; ///< Duplicate only: of the attempt.
    std::optional<StoredAnswer> answer; ///< Duplicate only, while kept.
};

/// What became of the attempt that a reservation allowed. NotRun gives the key free for another attempt.
struct KeyOutcome {
    std::string key;
    base::Verdict verdict = base::Verdict::MayHaveRun;
    std::optional<StoredAnswer> answer;
};

/// Remembers the keys of requests that are not repeatable. Asked before any dispatch of such a request.
class KeyStore
{
public:
    using Reply = std::function<void(KeyReply)>;

    virtual ~KeyStore() = default;

    /// Calls `reply` once, on any thread, now or later.
    virtual void reserve(const KeyReservation &reservation, Reply reply) = 0;
    virtual void finish(const KeyOutcome &outcome) = 0;
    /// Returns a new key, or an empty text if this store issues none.
    virtual std::string issue()
    {
        return {};
    }
};

} // namespace yuccawheel::routing
