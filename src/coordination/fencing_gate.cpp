#include "coordination/fencing_gate.h"

#include "base/invariant.h"

#include <algorithm>

namespace yuccawheel::coordination
{

GateError FencingGate::error(GateFailure failure, base::TimePoint now) const
{
    return GateError{failure, highestEpoch_, grant_.remaining(now)};
}

// Compares the owner as well as the epoch: a process that restarted without its memory may claim the epoch of its
// earlier run again, and delayed commands of that run must be refused.
tl::expected<void, GateError> FencingGate::check(ProcessId owner, const Epoch &epoch, base::TimePoint now) const
{
    if (epoch < highestEpoch_) {
        return tl::unexpected(error(GateFailure::StaleEpoch, now));
    }
    if (!grant_.isExpiredAt(now) && owner != owner_) {
        return tl::unexpected(error(GateFailure::HeldByOther, now));
    }
    return {};
}

tl::expected<void, GateError>
FencingGate::request(ProcessId owner, const Epoch &epoch, base::TimePoint sentAt, base::TimePoint now)
{
    if (auto allowed = check(owner, epoch, now); !allowed) {
        return allowed;
    }
    YW_INVARIANT(owner == owner_ || grant_.isExpiredAt(now), "a worker must have one owner at a time");
    YW_INVARIANT(!(epoch < highestEpoch_), "the granted epoch must not decrease");
    requestedAt_ = owner == owner_ ? std::max(requestedAt_, sentAt) : sentAt;
    owner_ = owner;
    highestEpoch_ = epoch;
    grant_.grant(now);
    return {};
}

// A release that arrives after a newer request of the same owner must not end the grant of that request.
void FencingGate::release(ProcessId owner, const Epoch &epoch, base::TimePoint sentAt)
{
    if (owner == owner_ && epoch == highestEpoch_ && sentAt > requestedAt_) {
        grant_.release();
    }
}

tl::expected<void, GateError> FencingGate::admit(ProcessId owner, const Epoch &epoch, base::TimePoint now) const
{
    if (epoch < highestEpoch_) {
        return tl::unexpected(error(GateFailure::StaleEpoch, now));
    }
    if (owner != owner_ || epoch != highestEpoch_ || grant_.isExpiredAt(now)) {
        return tl::unexpected(error(GateFailure::NoGrant, now));
    }
    return {};
}

} // namespace yuccawheel::coordination
