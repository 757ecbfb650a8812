#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>

namespace yuccawheel::coordination
{

constexpr std::int64_t PartsPerMillion = 1'000'000;

/// Length of a lease and the bound on clock drift. Holder and grantor must use the same values.
struct LeaseSettings {
    std::chrono::milliseconds length{10'000};
    std::int64_t maxDriftPpm = 1'000; ///< Parts per million by which two clocks may drift apart.

    /// Returns how long the holder may rely on the lease, counted from when it sent the request.
    base::Duration holderLength() const
    {
        return base::Duration(length) / PartsPerMillion * (PartsPerMillion - maxDriftPpm);
    }
    /// Returns how long the grantor must honour the lease, counted from when it granted the request.
    base::Duration grantorLength() const
    {
        return base::Duration(length) / PartsPerMillion * (PartsPerMillion + maxDriftPpm);
    }
};

/// A lease on the side of its holder. It is valid from the grantor's answer on and expires a lease length after the
/// request was sent.
class HeldLease
{
public:
    explicit HeldLease(LeaseSettings settings = {}) : settings_(settings)
    {
    }

    /// Extends the lease by a grant whose request was sent at `requestedAt`. The grant of an older request changes
    /// nothing.
    void renew(base::TimePoint requestedAt)
    {
        const base::TimePoint until = requestedAt + settings_.holderLength();
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
    base::TimePoint validUntil() const
    {
        return until_;
    }

private:
    LeaseSettings settings_;
    base::TimePoint until_{};
};

/// A lease on the side of its grantor. What the lease protects must not be granted to another holder before
/// `isExpiredAt` returns true.
class GrantedLease
{
public:
    explicit GrantedLease(LeaseSettings settings = {}) : settings_(settings)
    {
    }

    void grant(base::TimePoint now)
    {
        until_ = now + settings_.grantorLength();
    }
    /// Ends the lease because the holder has returned it.
    void release()
    {
        until_ = base::TimePoint{};
    }
    bool isExpiredAt(base::TimePoint now) const
    {
        return now >= until_;
    }
    /// Returns the time until the lease expires, or zero.
    base::Duration remaining(base::TimePoint now) const
    {
        return isExpiredAt(now) ? base::Duration::zero() : until_ - now;
    }

private:
    LeaseSettings settings_;
    base::TimePoint until_{};
};

} // namespace yuccawheel::coordination
