#pragma once

#include "placement/resources.h"
#include "workflow/worker.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>

namespace yuccawheel::workflow
{

/// Capacity that is kept free for waiting gangs, within one dispatch. Resumable tasks of lower urgency may use claimed
/// capacity meanwhile, because the gang can preempt them later.
/// Load pattern: under a steady stream of small tasks, which take any capacity as soon as it is free, a gang that needs
/// much capacity at once would never start. Many gangs that each collect a part would not start either, so only as many
/// collect at a time as the limit holds whole.
class CapacityClaims
{
public:
    /// `limit` is the maximum that all gangs which claim capacity need together; only CPU is limited.
    CapacityClaims(const placement::Resources &limit, bool isMostCapacityFree)
        : available_(limit)
        , isMostCapacityFree_(isMostCapacityFree)
    {
    }

    void claim(WorkerNumber worker, const placement::Resources &amount, std::int32_t priority)
    {
        Claim &claim = claims_[worker];
        claim.amount += amount;
        claim.priority = std::max(claim.priority, priority);
        total_ += amount;
    }
    /// Returns whether a gang that needs this much may claim capacity, and closes admission if it may not: small gangs
    /// of lower rank would overtake a large one for ever. Waiting gangs have to ask in order of rank. One that exceeds
    /// the limit by itself may claim if it is the first.
    bool askAdmission(const placement::Resources &need)
    {
        closed_ = closed_ || (admitted_ && need.milliCpu > available_.milliCpu);
        return !closed_;
    }
    /// Returns whether a gang that needs this much may ask for tickets, which it needs to start. Without admission it
    /// may while most capacity is free: those ahead of it that still don't start wait for something else than
    /// capacity, maybe for ever.
    bool mayQuery(const placement::Resources &need)
    {
        return askAdmission(need) || isMostCapacityFree_;
    }
    /// Counts a gang's whole need against the limit.
    void admit(const placement::Resources &need)
    {
        available_ -= need;
        admitted_ = true;
    }
    /// Holds capacity freed by preemption against all other tasks. It does not count against the limit.
    void hold(WorkerNumber worker, const placement::Resources &amount)
    {
        claims_[worker].held += amount;
    }
    void releaseHold(WorkerNumber worker, const placement::Resources &amount)
    {
        claims_[worker].held -= amount;
    }
    /// Returns the capacity of a worker that tasks of this priority must leave free.
    placement::Resources withheldCapacity(WorkerNumber worker, std::int32_t priority, bool resumable) const
    {
        const auto found = claims_.find(worker);
        if (found == claims_.end()) {
            return {};
        }
        const Claim &claim = found->second;
        return resumable && priority > claim.priority ? claim.held : claim.held + claim.amount;
    }
    const placement::Resources &total() const
    {
        return total_;
    }

private:
    struct Claim {
        placement::Resources amount;
        placement::Resources held;
        std::int32_t priority = std::numeric_limits<std::int32_t>::min(); ///< Priority of the least urgent claim.
    };
    std::map<WorkerNumber, Claim> claims_;
    placement::Resources available_;
    placement::Resources total_;
    bool isMostCapacityFree_;
    bool admitted_ = false;
    bool closed_ = false;
};

} // namespace yuccawheel::workflow
