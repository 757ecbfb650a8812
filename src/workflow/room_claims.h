#pragma once

#include "placement/resources.h"
#include "workflow/worker.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>

namespace yuccawheel::workflow
{

/// Room that is kept for gangs that wait for more of it, within one round of decisions. Tasks that can be resumed may
/// use it meanwhile if they are less urgent than the gang: they give way to it later.
/// Load pattern: under a steady stream of small tasks, which take each bit of room that comes free, a gang that needs
/// much room at once never starts.
class RoomClaims
{
public:
    /// `limit` is the most that all claims together may take.
    explicit RoomClaims(const placement::Resources &limit) : left_(limit)
    {
    }

    void claim(WorkerNumber worker, const placement::Resources &amount, std::int32_t priority)
    {
        Claim &claim = claims_[worker];
        claim.amount += amount;
        claim.priority = std::max(claim.priority, priority);
        left_ -= amount;
        total_ += amount;
    }
    /// Keeps room that was just made for a gang from everybody. It does not count against the limit.
    void hold(WorkerNumber worker, const placement::Resources &amount)
    {
        claims_[worker].held += amount;
    }
    /// Returns what is kept on a worker from tasks of a queue of this priority.
    placement::Resources against(WorkerNumber worker, std::int32_t priority, bool resumable) const
    {
        const auto found = claims_.find(worker);
        if (found == claims_.end()) {
            return {};
        }
        const Claim &claim = found->second;
        return resumable && priority > claim.priority ? claim.held : claim.held + claim.amount;
    }
    /// Returns whether a further amount may be claimed.
    bool allows(const placement::Resources &amount) const
    {
        return amount.milliCpu <= left_.milliCpu;
    }

    const placement::Resources &total() const
    {
        return total_;
    }

private:
    struct Claim {
        placement::Resources amount;
        placement::Resources held;
        std::int32_t priority = std::numeric_limits<std::int32_t>::min(); ///< Of the least urgent claim.
    };
    std::map<WorkerNumber, Claim> claims_;
    placement::Resources left_;
    placement::Resources total_;
};

} // namespace yuccawheel::workflow
