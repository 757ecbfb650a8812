#include "workflow/eligibility.h"

#include <algorithm>

namespace yuccawheel::workflow
{

namespace
{

// Minimum service time of a long query. The objectives of the shortest jobs reserve less than this for a query.
constexpr std::chrono::milliseconds LongQuery{100};
constexpr std::chrono::milliseconds LongQueryMaxWait{20}; ///< Hides the round trip between two queries.
constexpr std::chrono::milliseconds ShortQueryMaxWait{100}; ///< A few short queries or the end of a long one.
constexpr std::chrono::milliseconds InitialBackoff{500}; ///< About one long query.
constexpr std::uint32_t MaxDoublings = 3; ///< Backoff of up to 4 s, the usual length of a network partition.
constexpr double LongQueryShare = 0.67; ///< Share of gateways open to long queries; equals their share of service time.

} // namespace

void StepEligibility::addAnswer(const std::vector<WorkerNumber> &workers,
                                const std::map<WorkerNumber, Ticket> &eligible)
{
    known_.insert(workers.begin(), workers.end());
    for (const auto &[worker, ticket] : eligible) {
        eligible_[worker] = ticket;
        lastExpiry_ = std::max(lastExpiry_, ticket.validUntil);
    }
}

const Ticket *
StepEligibility::findTicket(WorkerNumber worker, base::TimePoint now, std::chrono::milliseconds margin) const
{
    const auto found = eligible_.find(worker);
    return found != eligible_.end() && found->second.validUntil >= now + margin ? &found->second : nullptr;
}

void StepEligibility::expireTicket(WorkerNumber worker)
{
    const auto found = eligible_.find(worker);
    if (found != eligible_.end()) {
        found->second.validUntil = {};
    }
}

void EligibilityGateways::add(GatewayId gateway)
{
    gateways_.try_emplace(gateway);
}

void EligibilityGateways::remove(GatewayId gateway)
{
    gateways_.erase(gateway);
}

std::optional<EligibilityGateways::GatewayId> EligibilityGateways::choose(std::chrono::microseconds serviceTime,
                                                                          base::TimePoint now) const
{
    const bool isLong = serviceTime >= LongQuery;
    const auto gatewaysWithLong = static_cast<std::size_t>(std::count_if(
        gateways_.begin(), gateways_.end(), [](const auto &item) { return item.second.longQueries > 0; }));
    const auto maxLong =
        std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(gateways_.size()) * LongQueryShare));
    std::optional<GatewayId> best;
    base::TimePoint bestFreeAt{};
    for (const auto &[gateway, load] : gateways_) {
        if (isLong && load.longQueries == 0 && gatewaysWithLong >= maxLong) {
            continue;
        }
        const base::TimePoint freeAt = std::max(load.busyUntil, now);
        if (!best || freeAt < bestFreeAt) {
            best = gateway;
            bestFreeAt = freeAt;
        }
    }
    if (best && bestFreeAt > now + (isLong ? LongQueryMaxWait : ShortQueryMaxWait)) {
        return std::nullopt;
    }
    return best;
}

std::chrono::milliseconds EligibilityGateways::backlog(GatewayId gateway, base::TimePoint now) const
{
    const auto found = gateways_.find(gateway);
    return found == gateways_.end() || found->second.busyUntil <= now
        ? std::chrono::milliseconds{0}
        : std::chrono::ceil<std::chrono::milliseconds>(found->second.busyUntil - now);
}

void EligibilityGateways::recordQuery(GatewayId gateway, std::chrono::microseconds serviceTime, base::TimePoint now)
{
    const auto found = gateways_.find(gateway);
    if (found == gateways_.end()) {
        return;
    }
    Load &load = found->second;
    load.busyUntil = std::max(load.busyUntil, now) + serviceTime;
    ++load.queries;
    load.longQueries += serviceTime >= LongQuery ? 1 : 0;
}

bool EligibilityGateways::finish(Load &load, std::chrono::microseconds serviceTime)
{
    const bool sentBefore = load.queriesBeforeBackoff > 0;
    load.queriesBeforeBackoff -= sentBefore ? 1 : 0;
    load.queries -= std::min(load.queries, 1U);
    load.longQueries -= serviceTime >= LongQuery ? std::min(load.longQueries, 1U) : 0;
    return sentBefore;
}

void EligibilityGateways::recordAnswer(GatewayId gateway, std::chrono::microseconds serviceTime, base::TimePoint now)
{
    const auto found = gateways_.find(gateway);
    if (found == gateways_.end()) {
        return;
    }
    Load &load = found->second;
    finish(load, serviceTime);
    load.timeoutsInRow = 0;
    if (load.queries == 0) {
        load.busyUntil = now;
    }
}

// Queries that were pending together fail for one cause, so only the first of them lengthens the back-off. The service
// may still be processing each.
void EligibilityGateways::recordTimeout(GatewayId gateway, std::chrono::microseconds serviceTime, base::TimePoint now)
{
    const auto found = gateways_.find(gateway);
    if (found == gateways_.end()) {
        return;
    }
    Load &load = found->second;
    if (finish(load, serviceTime)) {
        load.busyUntil = std::max(load.busyUntil, now) + serviceTime;
        return;
    }
    load.queriesBeforeBackoff = load.queries;
    const auto backoff = InitialBackoff * (1U << std::min(load.timeoutsInRow, MaxDoublings));
    ++load.timeoutsInRow;
    load.busyUntil = std::max(load.busyUntil, now) + std::max<std::chrono::microseconds>(serviceTime, backoff);
}

std::chrono::microseconds estimatedServiceTime(const EligibilityPolicy &policy, std::size_t workers)
{
    return policy.perCall + policy.perWorker * static_cast<std::int64_t>(workers);
}

} // namespace yuccawheel::workflow
