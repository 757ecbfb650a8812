#include "coordination/fencing_gate.h"

#include "base/invariant.h"

#include <algorithm>

namespace yuccawheel::coordination
{

GateError FencingGate::error(GateFailure failure, base::TimePoint now) const
{
    return GateError{failure, highest_, grant_.remaining(now)};
}

// The owner counts together with the epoch: a process that restarted and lost its memory may come to the epoch that its
// earlier run used, and late commands of that run must not pass.
tl::expected<void, GateError> FencingGate::check(ProcessId owner, const Epoch &epoch, base::TimePoint now) const
{
    if (epoch < highest_) {
        return tl::unexpected(error(GateFailure::StaleEpoch, now));
    }
    if (!grant_.expiredAt(now) && owner != owner_) {
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
    YW_INVARIANT(owner == owner_ || grant_.expiredAt(now), "a worker has one owner at a time");
    YW_INVARIANT(!(epoch < highest_), "the epoch granted must not fall");
    requestedAt_ = owner == owner_ ? std::max(requestedAt_, sentAt) : sentAt;
    owner_ = owner;
    highest_ = epoch;
    grant_.grant(now);
    return {};
}

// A release that was overtaken by a new request of the same owner must not end the grant that this request was given.
void FencingGate::release(ProcessId owner, const Epoch &epoch, base::TimePoint sentAt)
{
    if (owner == owner_ && epoch == highest_ && sentAt > requestedAt_) {
        grant_.release();
    }
}

tl::expected<void, GateError> FencingGate::admit(ProcessId owner, const Epoch &epoch, base::TimePoint now) const
{
    if (epoch < highest_) {
        return tl::unexpected(error(GateFailure::StaleEpoch, now));
    }
    if (owner != owner_ || epoch != highest_ || grant_.expiredAt(now)) {
        return tl::unexpected(error(GateFailure::NoGrant, now));
    }
    return {};
}

} // namespace yuccawheel::coordination
