#pragma once

#include "base/clock.h"
#include "coordination/epoch.h"
#include "coordination/lease.h"

#include <tl/expected.hpp>

#include <cstdint>

namespace yuccawheel::coordination
{

enum class GateFailure : std::uint8_t {
    StaleEpoch, ///< A higher epoch has been granted; this one never will be again.
    HeldByOther, ///< Another owner's grant has not run out.
    NoGrant, ///< The sender holds no grant, or it has run out.
};

struct GateError {
    GateFailure failure = GateFailure::NoGrant;
    Epoch highest; ///< The highest epoch granted so far.
    base::Duration remaining{}; ///< How long the grant in the way still runs.
};

/// What a worker grants its zone's owner, and its check of every command. A grant that has not run out is never
/// overridden, not even by a higher epoch, so a worker answers to one owner at a time.
class FencingGate
{
public:
    explicit FencingGate(LeaseSettings terms) : grant_(terms)
    {
    }

    /// Says whether `request` would succeed, and changes nothing.
    tl::expected<void, GateError> check(ProcessId owner, const Epoch &epoch, base::TimePoint now) const;
    /// Grants the worker to the owner, or renews its grant. `sentAt` is the time of the request on the owner's clock.
    tl::expected<void, GateError>
    request(ProcessId owner, const Epoch &epoch, base::TimePoint sentAt, base::TimePoint now);
    /// Gives the grant back, if the sender holds it and has not asked for it again since `sentAt` of its clock.
    void release(ProcessId owner, const Epoch &epoch, base::TimePoint sentAt);
    /// Must succeed before a command is carried out.
    tl::expected<void, GateError> admit(ProcessId owner, const Epoch &epoch, base::TimePoint now) const;

    const Epoch &highest() const
    {
        return highest_;
    }

private:
    GateError error(GateFailure failure, base::TimePoint now) const;

    GrantedLease grant_;
    ProcessId owner_;
    base::TimePoint requestedAt_{}; ///< Latest request granted, on the owner's clock.
    Epoch highest_;
};

} // namespace yuccawheel::coordination
