#include "placement/planner.h"

#include "base/invariant.h"
#include "placement/attempt_endings.h"
#include "placement/consolidator.h"
#include "placement/growth_watch.h"
#include "placement/placer.h"
#include "placement/room_maker.h"
#include "placement/zone_events.h"
#include "placement/zone_state.h"

#include <fmt/core.h>

#include <algorithm>
#include <iterator>

namespace yuccawheel::placement
{

namespace
{

constexpr std::chrono::seconds WakeInterval{1};

} // namespace

class Planner::Impl
{
public:
    explicit Impl(PlannerOptions options) : zone(options)
    {
    }

    void runTimers();
    void wakeWaiting();
    void placeAll();
    void placeOnHeld(WorkerId worker);
    void whenBlocked(JobHandle handle);
    void makeRoomForUrgent();
    bool placeNext(JobHandle handle);

    ZoneState zone;
    base::TimePoint nextWake; ///< When all waiting jobs are looked at again.
    AttemptEndings endings{zone};
    RoomMaker rooms{zone};
    ReservationKeeper reservations{zone};
    GrowthWatch growth{zone, rooms};
    Consolidator consolidator{zone};
    WorkerEvents workerEvents{zone, endings, growth};
    JobEvents jobEvents{zone, endings};
    TaskPlacer tasks{zone};
    GangPlacer gangs{zone};
};

void Planner::Impl::runTimers()
{
    endings.releaseRetries();
    std::erase_if(zone.quarantined, [this](WorkerId worker) {
        if (!zone.workers[worker].health.expire(zone.now)) {
            return zone.workers[worker].health.state() != WorkerHealth::State::Quarantined;
        }
        zone.refresh(worker);
        zone.markDirty(worker);
        return true;
    });
    std::erase_if(zone.checkpoints, [this](const TaskId &task) {
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
    workerEvents.moveDrained();
    rooms.expireHolds();
    reservations.review();
    consolidator.run();
    // Some claims grow with the time that a job has waited.
    if (zone.now >= nextWake) {
        nextWake = zone.now + WakeInterval;
        zone.queue.wakeAll();
    }
}

// Starting a job on cleared workers lets others go, which are looked at in turn.
void Planner::Impl::wakeWaiting()
{
    while (!zone.dirty.empty()) {
        const WorkerId worker = zone.dirty.back();
        zone.dirty.pop_back();
        zone.workers[worker].dirty = false;
        growth.roomCameFree(worker);
        placeOnHeld(worker);
        if (zone.acceptsTasks(worker)) {
            zone.queue.wake(zone.ledger.free(worker));
        }
    }
}

void Planner::Impl::placeAll()
{
    while (const auto handle = zone.queue.front()) {
        Job &job = zone.jobs[*handle];
        if (job.startable() == 0 || job.rollingBack) {
            zone.queue.erase(*handle);
        } else if (job.estimateVersion != zone.estimator.version(job.history) && zone.updateSize(*handle)) {
            zone.queue.erase(*handle);
            zone.enqueue(*handle);
        } else if (!placeNext(*handle)) {
            whenBlocked(*handle);
        }
    }
}

// Room on a worker that was cleared for a job goes to that job, whatever stands before it in the queue.
void Planner::Impl::placeOnHeld(WorkerId worker)
{
    const JobHandle holder = zone.workers[worker].holder;
    if (holder == NoHandle || holder == zone.reservation.job) {
        return;
    }
    while (zone.queue.contains(holder) && zone.jobs[holder].startable() > 0
           && zone.jobs[holder].size.fitsIn(zone.ledger.free(worker)) && placeNext(holder)) {
    }
    const std::vector<LiveHandle> &held = zone.workers[worker].tasks;
    const bool moreComes =
        std::any_of(held.begin(), held.end(), [this](LiveHandle live) { return zone.jobs.live(live).stopping; });
    const bool isGang = zone.jobs[holder].spec.kind == JobKind::Gang;
    if (zone.workers[worker].holder == holder && !isGang && !moreComes) {
        zone.releaseHeldWorker(worker);
    }
}

void Planner::Impl::whenBlocked(JobHandle handle)
{
    if (zone.checkNeverFits(handle)) {
        zone.queue.erase(handle);
        zone.releaseHold(handle);
        return;
    }
    zone.queue.block(handle);
    if (zone.jobs[handle].spec.urgent) {
        return;
    }
    if (rooms.mayPreempt(handle)) {
        rooms.makeRoom(handle);
    }
    reservations.consider(handle);
}

// Urgent jobs of one size share a shape, of which only the first comes to the front.
void Planner::Impl::makeRoomForUrgent()
{
    std::erase_if(zone.urgentJobs, [this](JobId id) {
        const auto handle = zone.jobs.find(id);
        if (!handle || !zone.queue.contains(*handle)) {
            return true;
        }
        rooms.makeRoom(*handle);
        return false;
    });
}

bool Planner::Impl::placeNext(JobHandle handle)
{
    const bool placed = zone.jobs[handle].spec.kind == JobKind::Gang ? gangs.place(handle) : tasks.place(handle);
    if (placed && zone.jobs[handle].startable() == 0) {
        zone.queue.erase(handle);
        zone.releaseHold(handle);
    }
    return placed;
}

Planner::Planner(PlannerOptions options) : impl_(std::make_unique<Impl>(options))
{
}

Planner::~Planner() = default;

void Planner::handle(const Event &event, base::TimePoint now)
{
    YW_INVARIANT(now >= impl_->zone.now, "time does not go backwards");
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
    YW_INVARIANT(now >= impl_->zone.now, "time does not go backwards");
    impl_->zone.now = now;
    impl_->runTimers();
    impl_->wakeWaiting();
    impl_->placeAll();
    impl_->wakeWaiting();
    impl_->placeAll();
    impl_->makeRoomForUrgent();
    std::move(impl_->zone.outbox.begin(), impl_->zone.outbox.end(), std::back_inserter(commands));
    impl_->zone.outbox.clear();
}

std::string Planner::explain(JobId id) const
{
    const ZoneState &zone = impl_->zone;
    const auto handle = zone.jobs.find(id);
    if (!handle) {
        return zone.endedJobs.count(id) != 0 ? "done: each task has its final word" : "not known in this zone";
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
