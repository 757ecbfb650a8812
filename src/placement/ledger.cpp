#include "placement/ledger.h"

#include "base/invariant.h"

namespace yuccawheel::placement
{

void Ledger::grow(std::size_t count)
{
    if (count > accounts_.size()) {
        accounts_.resize(count);
    }
}

void Ledger::setCapacity(WorkerId worker, const Resources &capacity)
{
    Account &account = accounts_[worker];
    total_.capacity += capacity - account.capacity;
    account.capacity = capacity;
    check(account);
}

void Ledger::reserve(WorkerId worker, const Resources &amount)
{
    YW_INVARIANT(amount.isNonNegative(), "a reservation is never negative");
    accounts_[worker].reserved += amount;
    total_.reserved += amount;
    check(accounts_[worker]);
}

void Ledger::release(WorkerId worker, const Resources &amount)
{
    YW_INVARIANT(amount.isNonNegative(), "a release is never negative");
    accounts_[worker].reserved -= amount;
    total_.reserved -= amount;
    check(accounts_[worker]);
}

void Ledger::check(const Account &account)
{
    YW_INVARIANT(account.reserved.isNonNegative(), "no more is released than was reserved");
    YW_INVARIANT(account.reserved.fitsIn(account.capacity), "a worker holds all that is reserved on it");
}

} // namespace yuccawheel::placement
