#pragma once

#include "base/clock.h"
#include "placement/resources.h"
#include "workflow/worker.h"

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace yuccawheel::workflow
{

/// What decides whether a waiting task may use capacity that gangs have claimed.
struct ClaimedCapacityUser {
    std::int32_t priority = 0;
    bool resumable = false;
    bool longRunning = false;
    bool overdue = false; ///< It has waited for so long that it may not wait on beside free capacity.
    base::TimePoint expectedEnd{}; ///< If it starts now.
};

/// Capacity that is kept free for waiting gangs, within one dispatch. Others may use claimed capacity meanwhile if that
/// is unlikely to delay the gang, or if they would wait for too long.
/// Load pattern: under a steady stream of small tasks, which take any capacity as soon as it is free, a gang that needs
/// much capacity at once would never start. Many gangs that each collect a part would not start either, so only as many
/// collect at a time as the limit holds whole. Each service has a limit of its own, since gangs wait only for its
/// workers.
class CapacityClaims
{
public:
    struct Claim {
        placement::Resources amount; ///< Kept free now.
        placement::Resources reserved; ///< All that the gang is to get on the worker, as other runs end.
        std::int32_t priority = 0; ///< Of the gang. Less urgent resumable tasks can be preempted later.
        base::TimePoint backfillUntil{}; ///< Tasks that are expected to end by then may use the capacity.
        bool yieldsToOverdue = false;
    };

    /// How much of a service's workers gangs may claim.
    struct Limit {
        placement::Resources total; ///< What all gangs that claim capacity need together; only CPU is limited.
        bool isMostCapacityFree = false;
    };
    using LimitOfService = std::function<Limit(const std::string &service)>;

    explicit CapacityClaims(LimitOfService limitOfService) : limitOfService_(std::move(limitOfService))
    {
    }

    void claim(WorkerNumber worker, const Claim &claim)
    {
        claims_[worker].claims.push_back(claim);
        claims_[worker].reserved += claim.reserved;
        total_ += claim.amount;
    }
    /// Returns whether a gang of a service that needs this much may claim capacity.
    bool admits(const std::string &service, const placement::Resources &need)
    {
        const Admission &admission = admissionTo(service);
        return !admission.closed && (!admission.admitted || need.milliCpu <= admission.available.milliCpu);
    }
    /// The same, and closes admission to the service if it may not: small gangs of lower rank would overtake a large
    /// one for ever. Waiting gangs have to ask in order of rank. One that exceeds the limit by itself may claim if it
    /// is the first.
    bool askAdmission(const std::string &service, const placement::Resources &need)
    {
        const bool admitted = admits(service, need);
        admissionTo(service).closed = !admitted;
        return admitted;
    }
    /// Whether most capacity of a service is free. A gang without admission may ask for tickets then, which it needs to
    /// start: those ahead of it that still don't start wait for something else than capacity, maybe for ever.
    bool isMostCapacityFree(const std::string &service)
    {
        return admissionTo(service).isMostCapacityFree;
    }
    /// Counts a gang's whole need against the limit.
    void admit(const std::string &service, const placement::Resources &need)
    {
        Admission &admission = admissionTo(service);
        admission.available -= need;
        admission.admitted = true;
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
    /// Returns the capacity of a worker that a task must leave free.
    placement::Resources withheldCapacity(WorkerNumber worker, const ClaimedCapacityUser &user) const
    {
        const auto found = claims_.find(worker);
        if (found == claims_.end()) {
            return {};
        }
        placement::Resources withheld = found->second.held;
        for (const Claim &claim : found->second.claims) {
            if (!mayUse(user, claim)) {
                withheld += claim.amount;
            }
        }
        return withheld;
    }
    /// Returns all that gangs are to get on a worker.
    placement::Resources reservedCapacity(WorkerNumber worker) const
    {
        const auto found = claims_.find(worker);
        return found == claims_.end() ? placement::Resources{} : found->second.held + found->second.reserved;
    }
    const placement::Resources &total() const
    {
        return total_;
    }

private:
    struct WorkerClaims {
        std::vector<Claim> claims;
        placement::Resources reserved; ///< Sum of the claims.
        placement::Resources held;
    };

    // A long-running task restarts at once, as its callers are waiting. There is no stream of them that could overtake
    // a gang for ever.
    static bool mayUse(const ClaimedCapacityUser &user, const Claim &claim)
    {
        return user.longRunning || (user.resumable && user.priority > claim.priority)
            || user.expectedEnd <= claim.backfillUntil || (user.overdue && claim.yieldsToOverdue);
    }

    struct Admission {
        placement::Resources available;
        bool isMostCapacityFree = false;
        bool admitted = false;
        bool closed = false;
    };
    // The limit takes a look at all workers, and most dispatches have no gang that waits.
    Admission &admissionTo(const std::string &service)
    {
        const auto found = admissions_.find(service);
        if (found != admissions_.end()) {
            return found->second;
        }
        const Limit limit = limitOfService_(service);
        return admissions_[service] = {limit.total, limit.isMostCapacityFree, false, false};
    }

    LimitOfService limitOfService_;
    std::unordered_map<std::string, Admission> admissions_;
    std::unordered_map<WorkerNumber, WorkerClaims> claims_;
    placement::Resources total_;
};

} // namespace yuccawheel::workflow
