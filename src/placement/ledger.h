#pragma once

#include "placement/events.h"

#include <vector>

namespace yuccawheel::placement
{

/// Capacity and reserved resources of each worker. Asserts on each change that no worker is overcommitted, unless its
/// capacity has shrunk below what was reserved.
class Ledger
{
public:
    /// Adds empty accounts for workers up to `count`.
    void grow(std::size_t count);
    /// Sets a worker's capacity, which must hold what is reserved.
    void setCapacity(WorkerId worker, const Resources &capacity);
    /// Sets the capacity that a worker reports for itself, which may have shrunk below what is reserved. Nothing more
    /// can be reserved there then.
    void setReportedCapacity(WorkerId worker, const Resources &capacity);
    void reserve(WorkerId worker, const Resources &amount);
    /// Records what was reserved earlier, by another leader, even if the capacity has shrunk since.
    void adopt(WorkerId worker, const Resources &amount);
    void release(WorkerId worker, const Resources &amount);

    Resources free(WorkerId worker) const
    {
        return accounts_[worker].capacity - accounts_[worker].reserved;
    }
    const Resources &capacity(WorkerId worker) const
    {
        return accounts_[worker].capacity;
    }
    /// Returns whether more is reserved on a worker than it holds.
    bool isExceeded(WorkerId worker) const
    {
        return accounts_[worker].exceeded;
    }
    const Resources &reserved(WorkerId worker) const
    {
        return accounts_[worker].reserved;
    }
    /// Sum over all workers.
    const Resources &totalCapacity() const
    {
        return total_.capacity;
    }
    const Resources &totalReserved() const
    {
        return total_.reserved;
    }

private:
    struct Account {
        Resources capacity;
        Resources reserved;
        bool exceeded = false; ///< The capacity has shrunk below what is reserved.
    };
    static void checkInvariants(const Account &account);
    static void updateExceeded(Account &account);

    std::vector<Account> accounts_;
    Account total_;
};

} // namespace yuccawheel::placement
