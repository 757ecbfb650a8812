#pragma once

#include "base/clock.h"
#include "coordination/epoch.h"
#include "coordination/lease.h"

#include <tl/expected.hpp>

#include <cstdint>

namespace yuccawheel::coordination
{

enum class GateFailure : std::uint8_t {
    StaleEpoch, ///< A higher epoch has been granted, so this one is refused for good.
    HeldByOther, ///< Another owner's grant has not expired.
    NoGrant, ///< The sender holds no grant, or its grant has expired.
};

struct GateError {
    GateFailure failure = GateFailure::NoGrant;
    Epoch highestEpoch; ///< The highest epoch granted so far.
    base::Duration remaining{}; ///< Time until the current grant expires; zero if it has.
};

/// Kept by a worker: grants the worker to the owner of its zone, and checks every command against that grant. A grant
/// that has not expired is never overridden, not even by a higher epoch, so a worker has one owner at a time.
class FencingGate
{
public:
    explicit FencingGate(LeaseSettings lease) : grant_(lease)
    {
    }

    /// Returns whether `request` would succeed, without changing anything.
    tl::expected<void, GateError> check(ProcessId owner, const Epoch &epoch, base::TimePoint now) const;
    /// Grants the worker to the owner, or renews the owner's grant. `sentAt` is when the request was sent, on the
    /// owner's clock.
    tl::expected<void, GateError>
    request(ProcessId owner, const Epoch &epoch, base::TimePoint sentAt, base::TimePoint now);
    /// Ends the grant, if the sender holds it and has not requested it again after `sentAt` on the sender's clock.
    void release(ProcessId owner, const Epoch &epoch, base::TimePoint sentAt);
    /// Checks a command. The worker may execute the command only if this succeeds.
    tl::expected<void, GateError> admit(ProcessId owner, const Epoch &epoch, base::TimePoint now) const;

    const Epoch &highestEpoch() const
    {
        return highestEpoch_;
    }

private:
    GateError error(GateFailure failure, base::TimePoint now) const;

    GrantedLease grant_;
    ProcessId owner_;
    base::TimePoint requestedAt_{}; ///< When the latest granted request was sent, on the owner's clock.
    Epoch highestEpoch_;
};

} // namespace yuccawheel::coordination
