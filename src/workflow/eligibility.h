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

/// What is known about the workers that may run one step. Which ones may does not change; tickets expire.
class StepEligibility
{
public:
    /// Takes an answer about workers: those in `good` may run the step, the others may not.
    void learned(const std::vector<WorkerNumber> &workers, const std::map<WorkerNumber, Ticket> &good);
    /// Returns a ticket that is valid for at least `margin`, or null.
    const Ticket *ticket(WorkerNumber worker, base::TimePoint now, std::chrono::milliseconds margin) const;
    bool isKnown(WorkerNumber worker) const
    {
        return known_.contains(worker);
    }
    bool isGood(WorkerNumber worker) const
    {
        return good_.contains(worker);
    }
    const std::map<WorkerNumber, Ticket> &good() const
    {
        return good_;
    }
    void expire(WorkerNumber worker);

private:
    std::set<WorkerNumber> known_;
    std::map<WorkerNumber, Ticket> good_;
};

/// Machines that ask the eligibility service. It serves one call of each machine at a time, so a call that would stand
/// in a line there waits here instead, where the most urgent one goes first and a change of leader forgets it.
/// Load pattern: bursts of steps with long calls, beside many with short ones. Long calls are kept from some of the
/// machines, as short ones would wait behind them.
class EligibilityGateways
{
public:
    using Machine = std::uint64_t;

    void add(Machine machine);
    void remove(Machine machine);
    /// Returns the machine whose answer to a call of this length would come first; nothing if none is nearly free.
    std::optional<Machine> choose(std::chrono::microseconds cost, base::TimePoint now) const;
    /// Returns how long the service will be at work on what a machine has asked.
    std::chrono::milliseconds backlog(Machine machine, base::TimePoint now) const;
    void started(Machine machine, std::chrono::microseconds cost, base::TimePoint now);
    void answered(Machine machine, std::chrono::microseconds cost, base::TimePoint now);
    /// No answer has come in time: the service may still be at work on the call, or be out of the machine's reach.
    void unanswered(Machine machine, std::chrono::microseconds cost, base::TimePoint now);
    /// Forgets what was asked: its answers will not be heard.
    void forgetCalls()
    {
        for (auto &[machine, load] : machines_) {
            load = {};
        }
    }

private:
    struct Load {
        base::TimePoint busyUntil{};
        std::uint32_t calls = 0;
        std::uint32_t longCalls = 0;
        std::uint32_t unansweredInRow = 0;
    };
    static void finish(Load &load, std::chrono::microseconds cost);

    std::map<Machine, Load> machines_;
};

/// Time that the service takes for a call.
std::chrono::microseconds costOf(const EligibilityPolicy &policy, std::size_t workers);

} // namespace yuccawheel::workflow
