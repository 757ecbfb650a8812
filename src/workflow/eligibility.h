#pragma once

#include "base/clock.h"
#include "workflow/configuration.h"
#include "workflow/worker.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace yuccawheel::workflow
{

/// Permission to run the tasks of one step on one worker.
struct Ticket {
    std::string text;
    base::TimePoint validUntil{};
};

/// Eligibility of workers for one step, as far as known. Eligibility never changes, but tickets expire.
class StepEligibility
{
public:
    /// Records an answer about `workers`: those in `eligible` may run the step, the others may not.
    void addAnswer(const std::vector<WorkerNumber> &workers, const std::map<WorkerNumber, Ticket> &eligible);
    /// Returns a ticket that is valid for at least `margin`, or null.
    const Ticket *findTicket(WorkerNumber worker, base::TimePoint now, std::chrono::milliseconds margin) const;
    /// Returns whether a ticket may be valid.
    bool hasTicket(base::TimePoint now) const
    {
        return now <= lastExpiry_;
    }
    bool isAnyKnown() const
    {
        return !known_.empty();
    }
    bool isKnown(WorkerNumber worker) const
    {
        return known_.contains(worker);
    }
    bool isEligible(WorkerNumber worker) const
    {
        return eligible_.contains(worker);
    }
    const std::map<WorkerNumber, Ticket> &eligible() const
    {
        return eligible_;
    }
    void expireTicket(WorkerNumber worker);

private:
    std::set<WorkerNumber> known_;
    std::map<WorkerNumber, Ticket> eligible_;
    base::TimePoint lastExpiry_{}; ///< Latest expiry of all tickets so far.
};

/// Balances queries over the gateways that call the eligibility service. The service handles one query of each gateway
/// at a time. Queries are held back here rather than queued at the service, so that the most urgent step goes first and
/// a new leader does not wait behind the queries of the previous one.
/// Load pattern: bursts of steps with long queries next to many steps with short ones. Some gateways take no long
/// queries, because short ones would wait behind them.
class EligibilityGateways
{
public:
    using GatewayId = std::uint64_t;

    void add(GatewayId gateway);
    void remove(GatewayId gateway);
    /// Returns the gateway that would answer a query of this service time first, or nothing if all are busy.
    std::optional<GatewayId> choose(std::chrono::microseconds serviceTime, base::TimePoint now) const;
    /// Returns how long the service will be busy with the pending queries of a gateway.
    std::chrono::milliseconds backlog(GatewayId gateway, base::TimePoint now) const;
    void recordQuery(GatewayId gateway, std::chrono::microseconds serviceTime, base::TimePoint now);
    void recordAnswer(GatewayId gateway, std::chrono::microseconds serviceTime, base::TimePoint now);
    /// Records a query that failed or timed out. The service may still be processing it, or be unreachable from there.
    void recordTimeout(GatewayId gateway, std::chrono::microseconds serviceTime, base::TimePoint now);
    /// Forgets all pending queries, because their answers will be ignored.
    void forgetQueries()
    {
        for (auto &[gateway, load] : gateways_) {
            load = {};
        }
    }

private:
    struct Load {
        base::TimePoint busyUntil{};
        std::uint32_t queries = 0;
        std::uint32_t longQueries = 0;
        std::uint32_t timeoutsInRow = 0;
        std::uint32_t queriesBeforeBackoff = 0; ///< Pending queries that were sent before the latest back-off.
    };
    /// Returns whether the query was sent before the latest back-off.
    static bool finish(Load &load, std::chrono::microseconds serviceTime);

    std::map<GatewayId, Load> gateways_;
};

/// Time that the service needs for a query about this number of workers.
std::chrono::microseconds estimatedServiceTime(const EligibilityPolicy &policy, std::size_t workers);

} // namespace yuccawheel::workflow
