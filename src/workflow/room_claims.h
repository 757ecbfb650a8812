#pragma once

#include "placement/resources.h"
#include "workflow/worker.h"

#include <map>

namespace yuccawheel::workflow
{

/// Room that is kept for gangs that wait for more of it, within one round of decisions. Load pattern: under a steady
/// stream of small tasks, which take each bit of room that comes free, a gang that needs much room at once never
/// starts.
class RoomClaims
{
public:
    /// `limit` is the most that all claims together may take.
    explicit RoomClaims(const placement::Resources &limit) : left_(limit)
    {
    }

    void claim(WorkerNumber worker, const placement::Resources &amount)
    {
        claims_[worker] += amount;
        left_ -= amount;
        total_ += amount;
    }
    /// Returns what is claimed on a worker.
    placement::Resources on(WorkerNumber worker) const
    {
        const auto found = claims_.find(worker);
        return found == claims_.end() ? placement::Resources{} : found->second;
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
    std::map<WorkerNumber, placement::Resources> claims_;
    placement::Resources left_;
    placement::Resources total_;
};

} // namespace yuccawheel::workflow
