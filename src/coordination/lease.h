#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>

namespace yuccawheel::coordination
{

constexpr std::int64_t PartsPerMillion = 1'000'000;

/// Length of a lease and how far two clocks may drift apart while it runs. Both sides must use the same values.
struct LeaseSettings {
    std::chrono::milliseconds length{10'000};
    std::int64_t maxDriftPpm = 1'000; ///< Parts per million.

    /// How long the holder may rely on it, counted from when it sent the request.
    base::Duration holderLength() const
    {
        return base::Duration(length) / PartsPerMillion * (PartsPerMillion - maxDriftPpm);
    }
    /// How long the grantor must honour it, counted from when it granted.
    base::Duration grantorLength() const
    {
        return base::Duration(length) / PartsPerMillion * (PartsPerMillion + maxDriftPpm);
    }
};

/// The holder's side: a lease is valid from its answer until it has run out, counted from the request.
class HeldLease
{
public:
    explicit HeldLease(LeaseSettings terms = {}) : terms_(terms)
    {
    }

    /// Takes a grant whose request was sent at `requestedAt`. An answer that overtook a later one changes nothing.
    void renew(base::TimePoint requestedAt)
    {
        const base::TimePoint until = requestedAt + terms_.holderLength();
        until_ = until > until_ ? until : until_;
    }
    void drop()
    {
        until_ = base::TimePoint{};
    }
    bool isValidAt(base::TimePoint now) const
    {
        return now < until_;
    }
    base::TimePoint until() const
    {
        return until_;
    }

private:
    LeaseSettings terms_;
    base::TimePoint until_{};
};

/// The grantor's side: nothing it protects may be given to another before `expiredAt` holds.
class GrantedLease
{
public:
    explicit GrantedLease(LeaseSettings terms = {}) : terms_(terms)
    {
    }

    void grant(base::TimePoint now)
    {
        until_ = now + terms_.grantorLength();
    }
    /// The holder gave it back.
    void release()
    {
        until_ = base::TimePoint{};
    }
    bool expiredAt(base::TimePoint now) const
    {
        return now >= until_;
    }
    /// Returns how long it still runs, or zero.
    base::Duration remaining(base::TimePoint now) const
    {
        return expiredAt(now) ? base::Duration::zero() : until_ - now;
    }

private:
    LeaseSettings terms_;
    base::TimePoint until_{};
};

} // namespace yuccawheel::coordination
