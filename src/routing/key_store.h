#pragma once

#include "base/clock.h"
#include "base/verdict.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace yuccawheel::routing
{

/// A complete HTTP answer, stored so that a resent request gets the same answer.
struct StoredAnswer {
    unsigned status = 0; ///< HTTP status.
    std::string contentType;
    std::string body;

    bool operator==(const StoredAnswer &) const = default;
};

/// Asks for permission to run the request with this idempotency key.
struct KeyReservation {
    std::string key;
    std::uint64_t digest = 0; ///< Digest of the request's content.
    base::Duration timeout{0}; ///< Maximum duration of the attempt.
};

enum class KeyStatus : std::uint8_t {
    Granted, ///< The attempt may run: no entry has dispatched or will dispatch another one with this key.
    Duplicate, ///< An attempt has ended or is in progress.
    Conflict, ///< The key was used for a request with different content, or was never issued.
    Unreachable, ///< No process that knows the key's state is reachable. An attempt may have been made.
    Refused, ///< No attempt was made and none is allowed: the key is malformed or there is no room to record it.
};

struct KeyReply {
    KeyStatus status = KeyStatus::Unreachable;
    base::Verdict verdict = base::Verdict::MayHaveRun; ///< Duplicate only: verdict of the recorded attempt.
    std::optional<StoredAnswer> answer; ///< Duplicate only, while retained.
};

/// Outcome of an attempt that a reservation granted. NotRun releases the key for another attempt.
struct KeyOutcome {
    std::string key;
    base::Verdict verdict = base::Verdict::MayHaveRun;
    std::optional<StoredAnswer> answer;
};

/// Tracks the idempotency keys of requests that are not repeatable. Consulted before each dispatch of such a request.
class KeyStore
{
public:
    using Reply = std::function<void(KeyReply)>;

    virtual ~KeyStore() = default;

    /// Calls `reply` exactly once, on any thread, before or after this function returns.
    virtual void reserve(const KeyReservation &reservation, Reply reply) = 0;
    virtual void finish(const KeyOutcome &outcome) = 0;
    /// Returns a new key, or an empty string if this store issues no keys.
    virtual std::string issue()
    {
        return {};
    }
};

} // namespace yuccawheel::routing
