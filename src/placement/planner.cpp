#include "placement/planner.h"

#include "base/invariant.h"
#include "placement/attempt_end_handler.h"
#include "placement/consolidator.h"
#include "placement/event_handlers.h"
#include "placement/placer.h"
#include "placement/preemptor.h"
#include "placement/reservation_grower.h"
#include "placement/zone_state.h"

#include <fmt/core.h>

#include <algorithm>
#include <iterator>

namespace yuccawheel::placement
{

namespace
{

constexpr std::chrono::seconds UnblockInterval{1};

} // namespace

class Planner::Impl
{
public:
    explicit Impl(PlannerOptions options) : zone(options)
    {
    }

    void runTimers();
    void processDirtyWorkers();
    void placeAll();
    void placeOnHeldWorker(WorkerId worker);
    void handleBlocked(JobHandle handle);
    void preemptForUrgentJobs();
    bool placeNext(JobHandle handle);

    ZoneState zone;
    base::TimePoint nextUnblock; ///< Next time at which all blocked jobs are tried again.
    AttemptEndHandler endHandler{zone};
    Preemptor preemptor{zone};
    BackfillReserver backfillReserver{zone};
    ReservationGrower grower{zone, preemptor};
    Consolidator consolidator{zone};
    WorkerEventHandler workerEvents{zone, endHandler, grower};
    JobEventHandler jobEvents{zone, endHandler};
    TaskPlacer taskPlacer{zone};
    GangPlacer gangPlacer{zone};
};

void Planner::Impl::runTimers()
{
    endHandler.requeueDueRetries();
    std::erase_if(zone.restrictedWorkers, [this](WorkerId worker) {
        WorkerHealth &health = zone.workers[worker].health;
        const bool hasExpired = health.expire(zone.now);
        if (hasExpired || health.recordLastingTrials(static_cast<int>(zone.countTrials(worker, true)))) {
            zone.updateIndexes(worker);
            zone.markDirty(worker);
        }
        return health.state() == WorkerHealth::State::Healthy;
    });
    std::erase_if(zone.pendingCheckpoints, [this](const TaskId &task) {
        const auto live = zone.jobs.findLive(task);
        if (!live || !zone.jobs.live(*live).checkpointing) {
            return true;
        }
        if (zone.jobs.live(*live).stopDeadline > zone.now) {
            return false;
        }
        zone.requestStop(*live, zone.jobs.live(*live).reason, false);
        return true;
    });
    workerEvents.stopTasksOnDrainingWorkers();
    preemptor.expireHolds();
    backfillReserver.dropIfStale();
    consolidator.run();
    // Preemption and the backfill reservation become available to a job after it has waited.
    if (zone.now >= nextUnblock) {
        nextUnblock = zone.now + UnblockInterval;
        zone.queue.unblockAll();
    }
}

// Starting a job may release workers that were held for it; these become dirty and are processed by the same loop.
void Planner::Impl::processDirtyWorkers()
{
    while (!zone.dirtyWorkers.empty()) {
        const WorkerId worker = zone.dirtyWorkers.back();
        zone.dirtyWorkers.pop_back();
        zone.workers[worker].dirty = false;
        grower.handleFreedRoom(worker);
        placeOnHeldWorker(worker);
        if (zone.acceptsTasks(worker)) {
            zone.queue.unblockFitting(zone.ledger.free(worker));
        }
    }
}

void Planner::Impl::placeAll()
{
    while (const auto handle = zone.queue.front()) {
        Job &job = zone.jobs[*handle];
        if (job.startableCount() == 0 || job.rollingBack) {
            zone.queue.erase(*handle);
        } else if (job.estimateVersion != zone.estimator.version(job.history) && zone.updateSize(*handle)) {
            zone.queue.erase(*handle);
            zone.enqueue(*handle);
        } else if (!placeNext(*handle)) {
            handleBlocked(*handle);
        }
    }
}

// Room on a worker that is held for a job after preemption goes to that job, whatever its position in the queue.
void Planner::Impl::placeOnHeldWorker(WorkerId worker)
{
    const JobHandle heldFor = zone.workers[worker].heldFor;
    if (heldFor == NoHandle || heldFor == zone.backfill.job) {
        return;
    }
    while (zone.queue.contains(heldFor) && zone.jobs[heldFor].startableCount() > 0
           && zone.jobs[heldFor].size.fitsIn(zone.ledger.free(worker)) && placeNext(heldFor)) {
    }
    const std::vector<LiveHandle> &held = zone.workers[worker].tasks;
    const bool hasPendingStops =
        std::any_of(held.begin(), held.end(), [this](LiveHandle live) { return zone.jobs.live(live).stopping; });
    const bool isGang = zone.jobs[heldFor].spec.kind == JobKind::Gang;
    if (zone.workers[worker].heldFor == heldFor && !isGang && !hasPendingStops) {
        zone.releaseHeldWorker(worker);
    }
}

void Planner::Impl::handleBlocked(JobHandle handle)
{
    if (zone.checkNeverFits(handle)) {
        zone.queue.erase(handle);
        zone.releaseHeldWorkers(handle);
        return;
    }
    zone.queue.block(handle);
    if (zone.jobs[handle].spec.urgent) {
        return;
    }
    if (preemptor.canPreempt(handle)) {
        preemptor.preemptFor(handle);
    }
    backfillReserver.tryReserve(handle);
}

// Urgent jobs of one size share a shape, and only the first job of a blocked shape reaches handleBlocked().
void Planner::Impl::preemptForUrgentJobs()
{
    std::erase_if(zone.urgentJobs, [this](JobId id) {
        const auto handle = zone.jobs.find(id);
        if (!handle || !zone.queue.contains(*handle)) {
            return true;
        }
        preemptor.preemptFor(*handle);
        return false;
    });
}

bool Planner::Impl::placeNext(JobHandle handle)
{
    const bool placed =
        zone.jobs[handle].spec.kind == JobKind::Gang ? gangPlacer.place(handle) : taskPlacer.place(handle);
    if (placed && zone.jobs[handle].startableCount() == 0) {
        zone.queue.erase(handle);
        zone.releaseHeldWorkers(handle);
    }
    return placed;
}

Planner::Planner(PlannerOptions options) : impl_(std::make_unique<Impl>(options))
{
}

Planner::~Planner() = default;

void Planner::handle(const Event &event, base::TimePoint now)
{
    YW_INVARIANT(now >= impl_->zone.now, "time must not go backwards");
    impl_->zone.now = now;
    std::visit(
        [this](const auto &content) {
            if constexpr (requires { impl_->workerEvents.handle(content); }) {
                impl_->workerEvents.handle(content);
            } else {
                impl_->jobEvents.handle(content);
            }
        },
        event);
}

void Planner::decide(base::TimePoint now, std::vector<Command> &commands)
{
    YW_INVARIANT(now >= impl_->zone.now, "time must not go backwards");
    impl_->zone.now = now;
    impl_->runTimers();
    impl_->processDirtyWorkers();
    impl_->placeAll();
    impl_->processDirtyWorkers();
    impl_->placeAll();
    impl_->preemptForUrgentJobs();
    std::move(impl_->zone.outbox.begin(), impl_->zone.outbox.end(), std::back_inserter(commands));
    impl_->zone.outbox.clear();
}

std::string Planner::explain(JobId id) const
{
    const ZoneState &zone = impl_->zone;
    const auto handle = zone.jobs.find(id);
    if (!handle) {
        return zone.endedJobs.count(id) != 0 ? "done: every task has a final result" : "not known in this zone";
    }
    const Job &job = zone.jobs[*handle];
    std::string text = fmt::format("{} of {} tasks done, {} running, {} waiting",
                                   job.doneCount,
                                   job.slots.size(),
                                   job.liveCount - job.stoppingCount,
                                   job.slots.size() - job.doneCount - job.liveCount);
    if (job.neverFits) {
        text += fmt::format("; fits no VM: missing {} millicores, {} MiB, {} accelerators",
                            job.missing.milliCpu,
                            job.missing.memoryMib,
                            job.missing.accelerators);
    } else if (job.cancelled) {
        text += "; cancelled";
    } else if (zone.queue.contains(*handle)) {
        text += fmt::format("; waits for {} millicores, {} MiB, {} accelerators on one VM{}",
                            job.size.milliCpu,
                            job.size.memoryMib,
                            job.size.accelerators,
                            zone.teams.withinQuota(job.team, job.size) ? "" : "; the team is above its quota");
    } else if (job.recovered && !zone.recoveryFinished) {
        text += "; waits for the recovery of the zone to finish";
    } else if (job.liveCount + job.doneCount < job.slots.size()) {
        text += "; waits for a retry delay or for attempts to end";
    }
    return text;
}

std::vector<WorkerRestriction> Planner::restrictedWorkers() const
{
    const ZoneState &zone = impl_->zone;
    std::vector<WorkerRestriction> restricted;
    for (WorkerId id = 0; id < zone.workers.size(); ++id) {
        const Worker &worker = zone.workers[id];
        if (worker.health.state() == WorkerHealth::State::Probation) {
            restricted.push_back({id, true, worker.quarantineReason + "; one task at a time until some succeed"});
        } else if (worker.health.state() == WorkerHealth::State::Quarantined) {
            const auto left = std::chrono::ceil<std::chrono::seconds>(worker.health.quarantinedUntil() - zone.now);
            restricted.push_back(
                {id, false, fmt::format("{}; tried again in {} s", worker.quarantineReason, left.count())});
        }
    }
    return restricted;
}

} // namespace yuccawheel::placement
