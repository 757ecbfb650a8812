#include "workflow/eligibility.h"

#include <algorithm>

namespace yuccawheel::workflow
{

namespace
{

constexpr std::chrono::milliseconds LongCall{100}; ///< Above the objective's reserve of the shortest jobs.
constexpr std::chrono::milliseconds MaxBacklog{1'500}; ///< Shortest life of a ticket that was seen.
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

void AskingMachines::add(Machine machine)
{
    machines_.try_emplace(machine);
}

void AskingMachines::remove(Machine machine)
{
    machines_.erase(machine);
}

std::optional<AskingMachines::Machine> AskingMachines::choose(std::chrono::microseconds cost, base::TimePoint now) const
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
    if (best && bestAt > now + MaxBacklog) {
        return std::nullopt;
    }
    return best;
}

void AskingMachines::started(Machine machine, std::chrono::microseconds cost, base::TimePoint now)
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

void AskingMachines::finished(Machine machine, std::chrono::microseconds cost, base::TimePoint now)
{
    const auto found = machines_.find(machine);
    if (found == machines_.end()) {
        return;
    }
    Load &load = found->second;
    load.calls -= std::min(load.calls, 1U);
    load.longCalls -= cost >= LongCall ? std::min(load.longCalls, 1U) : 0;
    if (load.calls == 0) {
        load.busyUntil = now;
    }
}

std::chrono::microseconds costOf(const EligibilityPolicy &policy, std::size_t workers)
{
    return policy.perCall + policy.perWorker * static_cast<std::int64_t>(workers);
}

} // namespace yuccawheel::workflow
