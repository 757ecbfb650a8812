#pragma once

#include "placement/events.h"

#include <vector>

namespace yuccawheel::placement
{

/// Capacity and reserved resources of each worker. Asserts on each change that no worker is overcommitted.
class Ledger
{
public:
    /// Adds empty accounts for workers up to `count`.
    void grow(std::size_t count);
    /// Sets a worker's capacity, which must hold what is reserved.
    void setCapacity(WorkerId worker, const Resources &capacity);
    void reserve(WorkerId worker, const Resources &amount);
    void release(WorkerId worker, const Resources &amount);

    Resources free(WorkerId worker) const
    {
        return accounts_[worker].capacity - accounts_[worker].reserved;
    }
    const Resources &capacity(WorkerId worker) const
    {
        return accounts_[worker].capacity;
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
    };
    static void checkInvariants(const Account &account);

    std::vector<Account> accounts_;
    Account total_;
};

} // namespace yuccawheel::placement
