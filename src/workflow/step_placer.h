#pragma once

#include "placement/ledger.h"
#include "workflow/capacity_claims.h"
#include "workflow/capacity_index.h"
#include "workflow/dispatch_cost.h"
#include "workflow/eligibility.h"
#include "workflow/state.h"
#include "workflow/suspect_isolation.h"
#include "workflow/worker_speed.h"
#include "workflow/worker_view.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace yuccawheel::workflow
{

/// Assignment of the task `index` of a step to a worker.
struct Assignment {
    std::uint32_t index = 0;
    WorkerNumber worker = 0;
};

/// Resources that a task of a step reserves on its worker.
placement::Resources reservationOf(const StepSpec &step);

/// Chooses workers for the waiting tasks of one step. Has no side effects on the worker views and the ledger.
class StepPlacer
{
public:
    StepPlacer(const WorkerViews &workers,
               const placement::Ledger &ledger,
               const CapacityClaims &claims,
               const CapacityIndex &index,
               const SuspectIsolation &isolation,
               const WorkerSpeedTracker &speeds,
               DispatchCost &cost,
               base::TimePoint now)
        : workers_(workers)
        , ledger_(ledger)
        , claims_(claims)
        , index_(index)
        , isolation_(isolation)
        , speeds_(speeds)
        , cost_(cost)
        , now_(now)
    {
    }

    struct Request {
        const JobRecord &job;
        std::size_t position = 0;
        const std::vector<std::uint32_t> &waiting; ///< Indices of the tasks to place.
        const StepEligibility *eligibility = nullptr; ///< Null if every worker of the service may run the step.
        /// Tasks of the step on each worker, including proposed placements; filled only if maxPerWorker is set.
        std::map<WorkerNumber, std::uint32_t> tasksByWorker;
        Slack slack = Slack::Moderate;
        bool mayPreempt = false; ///< Resumable tasks of less urgent jobs may be preempted.
        TaskRef unit; ///< For isolation: the only task to place, or the first member of the gang.
        Suspicion suspicion = Suspicion::None;
        std::chrono::milliseconds expectedRunTime{0};
        bool overdue = false; ///< Has waited for so long that it may not wait on beside free capacity.
        bool trialOfGang = false; ///< A worker on probation may get several members.
    };

    /// Returns whether any task, or all of a gang, may fit, by free CPU alone. Costs a fraction of place().
    bool mayFit(const Request &request) const;
    /// Returns as many assignments as fit; for a gang all or none.
    std::vector<Assignment> place(const Request &request) const;

    /// Returns whether the worker could run the step if it had free capacity, regardless of tickets.
    bool canRun(const Request &request, WorkerNumber number, const WorkerView &worker) const;
    /// Returns the free capacity of a worker minus what the step must leave to claims.
    placement::Resources availableOn(const Request &request, WorkerNumber number) const;
    /// Returns how many of the step's tasks fit on the worker now.
    std::uint32_t fittingTasks(const Request &request, WorkerNumber number) const;
    /// Returns how many of the step's tasks would fit on the worker with this free capacity.
    std::uint32_t fittingTasksIn(const Request &request, WorkerNumber number, const placement::Resources &free) const;

    /// Calls `visit(WorkerNumber)` for each worker known to be eligible that could run the step; for all that could run
    /// it if the step needs no eligibility. With a margin, only workers whose ticket is valid for that long count.
    template <typename Visit>
    void
    forEachEligible(const Request &request, std::optional<std::chrono::milliseconds> ticketMargin, Visit visit) const
    {
        if (request.eligibility == nullptr) {
            for (const auto &[number, worker] : workers_) {
                if (canRun(request, number, worker)) {
                    visit(number);
                }
            }
            return;
        }
        for (const auto &[number, ticket] : request.eligibility->eligible()) {
            if (ticketMargin && ticket.validUntil < now_ + *ticketMargin) {
                continue;
            }
            const auto worker = workers_.find(number);
            if (worker != workers_.end() && canRun(request, number, worker->second)) {
                visit(number);
            }
        }
    }

private:
    struct Candidate {
        WorkerNumber worker = 0;
        std::uint32_t tasks = 0;
        std::int64_t freeMilliCpu = 0;
    };

    bool mayTryOnProbation(const std::vector<Candidate> &candidates) const;
    int speedRank(const Request &request, WorkerNumber number) const;
    std::vector<Candidate> candidatesFor(const Request &request) const;
    std::vector<Assignment> placeBatch(const Request &request, std::vector<Candidate> candidates) const;
    std::vector<Assignment> placeGang(const Request &request, const std::vector<Candidate> &candidates) const;
    static std::vector<Assignment> assignInOrder(std::vector<Candidate> candidates,
                                                 const std::vector<std::uint32_t> &waiting);

    const WorkerViews &workers_;
    const placement::Ledger &ledger_;
    const CapacityClaims &claims_;
    const CapacityIndex &index_;
    const SuspectIsolation &isolation_;
    const WorkerSpeedTracker &speeds_;
    DispatchCost &cost_;
    base::TimePoint now_;
};

} // namespace yuccawheel::workflow
