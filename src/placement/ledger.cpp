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
    checkInvariants(account);
}

void Ledger::setReportedCapacity(WorkerId worker, const Resources &capacity)
{
    Account &account = accounts_[worker];
    total_.capacity += capacity - account.capacity;
    account.capacity = capacity;
    updateExceeded(account);
}

void Ledger::adopt(WorkerId worker, const Resources &amount)
{
    YW_INVARIANT(amount.isNonNegative(), "a reserved amount must not be negative");
    accounts_[worker].reserved += amount;
    total_.reserved += amount;
    updateExceeded(accounts_[worker]);
}

void Ledger::updateExceeded(Account &account)
{
    account.exceeded = !account.reserved.fitsIn(account.capacity);
}

void Ledger::reserve(WorkerId worker, const Resources &amount)
{
    YW_INVARIANT(amount.isNonNegative(), "a reserved amount must not be negative");
    YW_INVARIANT(!isExceeded(worker), "nothing can be reserved on a worker that holds less than is reserved");
    accounts_[worker].reserved += amount;
    total_.reserved += amount;
    checkInvariants(accounts_[worker]);
}

void Ledger::release(WorkerId worker, const Resources &amount)
{
    YW_INVARIANT(amount.isNonNegative(), "a released amount must not be negative");
    accounts_[worker].reserved -= amount;
    total_.reserved -= amount;
    if (isExceeded(worker)) {
        updateExceeded(accounts_[worker]);
    }
    checkInvariants(accounts_[worker]);
}

void Ledger::checkInvariants(const Account &account)
{
    YW_INVARIANT(account.reserved.isNonNegative(), "a worker must not release more than was reserved");
    YW_INVARIANT(account.exceeded || account.reserved.fitsIn(account.capacity),
                 "the reservations on a worker must fit in its capacity");
}

} // namespace yuccawheel::placement
