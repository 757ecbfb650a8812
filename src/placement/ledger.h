#pragma once

#include "placement/events.h"

#include <vector>

namespace yuccawheel::placement
{

/// What each worker holds and how much of it is reserved. Asserts at each change that no worker is overbooked.
class Ledger
{
public:
    /// Makes an empty account for each worker below `count`.
    void grow(std::size_t count);
    /// Sets what a worker holds. What is reserved there must fit.
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
    /// Sums over all workers.
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
    static void check(const Account &account);

    std::vector<Account> accounts_;
    Account total_;
};

} // namespace yuccawheel::placement
