#include "workflow/eligibility.h"

#include <algorithm>

namespace yuccawheel::workflow
{

namespace
{

constexpr std::chrono::milliseconds LongCall{100}; ///< Above the objective's reserve of the shortest jobs.
constexpr std::chrono::milliseconds LongCallWait{20}; ///< Hides the way there and back between two calls.
constexpr std::chrono::milliseconds ShortCallWait{100}; ///< A few short calls, or the end of a long one.
constexpr std::chrono::milliseconds FirstDoubt{500}; ///< About one long call.
constexpr std::uint32_t MostDoublings = 3; ///< Up to 4 s, the usual length of a cut.
constexpr double LongCallShare = 0.67; ///< Of the machines, for long calls: their share of the service's time.

} // namespace

void StepEligibility::learned(const std::vector<WorkerNumber> &workers, const std::map<WorkerNumber, Ticket> &good)
{
    known_.insert(workers.begin(), workers.end());
    for (const auto &[worker, ticket] : good) {
        good_[worker] = ticket;
    }
}

const Ticket *StepEligibility::ticket(WorkerNumber worker, base::TimePoint now, std::chrono::milliseconds margin) const
{
    const auto found = good_.find(worker);
    return found != good_.end() && found->second.validUntil >= now + margin ? &found->second : nullptr;
}

void StepEligibility::expire(WorkerNumber worker)
{
    const auto found = good_.find(worker);
    if (found != good_.end()) {
        found->second.validUntil = {};
    }
}

void EligibilityGateways::add(Machine machine)
{
    machines_.try_emplace(machine);
}

void EligibilityGateways::remove(Machine machine)
{
    machines_.erase(machine);
}

std::optional<EligibilityGateways::Machine> EligibilityGateways::choose(std::chrono::microseconds cost,
                                                                        base::TimePoint now) const
{
    const bool isLong = cost >= LongCall;
    const auto busyWithLong = static_cast<std::size_t>(
        std::count_if(machines_.begin(), machines_.end(), [](const auto &item) { return item.second.longCalls > 0; }));
    const auto mostLong =
        std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(machines_.size()) * LongCallShare));
    std::optional<Machine> best;
    base::TimePoint bestAt{};
    for (const auto &[machine, load] : machines_) {
        if (isLong && load.longCalls == 0 && busyWithLong >= mostLong) {
            continue;
        }
        const base::TimePoint at = std::max(load.busyUntil, now);
        if (!best || at < bestAt) {
            best = machine;
            bestAt = at;
        }
    }
    if (best && bestAt > now + (isLong ? LongCallWait : ShortCallWait)) {
        return std::nullopt;
    }
    return best;
}

std::chrono::milliseconds EligibilityGateways::backlog(Machine machine, base::TimePoint now) const
{
    const auto found = machines_.find(machine);
    return found == machines_.end() || found->second.busyUntil <= now
        ? std::chrono::milliseconds{0}
        : std::chrono::ceil<std::chrono::milliseconds>(found->second.busyUntil - now);
}

void EligibilityGateways::started(Machine machine, std::chrono::microseconds cost, base::TimePoint now)
{
    const auto found = machines_.find(machine);
    if (found == machines_.end()) {
        return;
    }
    Load &load = found->second;
    load.busyUntil = std::max(load.busyUntil, now) + cost;
    ++load.calls;
    load.longCalls += cost >= LongCall ? 1 : 0;
}

void EligibilityGateways::finish(Load &load, std::chrono::microseconds cost)
{
    load.calls -= std::min(load.calls, 1U);
    load.longCalls -= cost >= LongCall ? std::min(load.longCalls, 1U) : 0;
}

void EligibilityGateways::answered(Machine machine, std::chrono::microseconds cost, base::TimePoint now)
{
    const auto found = machines_.find(machine);
    if (found == machines_.end()) {
        return;
    }
    Load &load = found->second;
    finish(load, cost);
    load.unansweredInRow = 0;
    if (load.calls == 0) {
        load.busyUntil = now;
    }
}

void EligibilityGateways::unanswered(Machine machine, std::chrono::microseconds cost, base::TimePoint now)
{
    const auto found = machines_.find(machine);
    if (found == machines_.end()) {
        return;
    }
    Load &load = found->second;
    finish(load, cost);
    const auto doubt = FirstDoubt * (1U << std::min(load.unansweredInRow, MostDoublings));
    ++load.unansweredInRow;
    load.busyUntil = std::max(load.busyUntil, now) + std::max<std::chrono::microseconds>(cost, doubt);
}

std::chrono::microseconds costOf(const EligibilityPolicy &policy, std::size_t workers)
{
    return policy.perCall + policy.perWorker * static_cast<std::int64_t>(workers);
}

} // namespace yuccawheel::workflow
