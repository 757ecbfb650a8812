#include "placement/planner.h"

#include "base/invariant.h"
#include "placement/attempt_endings.h"
#include "placement/placer.h"
#include "placement/zone_events.h"
#include "placement/zone_state.h"

#include <fmt/core.h>

#include <algorithm>
#include <iterator>

namespace yuccawheel::placement
{

class Planner::Impl
{
public:
    explicit Impl(PlannerOptions options) : zone(options)
    {
    }

    void runTimers();
    void wakeWaiting();
    void placeAll();
    bool placeNext(JobHandle handle);

    ZoneState zone;
    AttemptEndings endings{zone};
    WorkerEvents workerEvents{zone, endings};
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
}

void Planner::Impl::wakeWaiting()
{
    for (const WorkerId worker : zone.dirty) {
        zone.workers[worker].dirty = false;
        if (zone.acceptsTasks(worker)) {
            zone.queue.wake(zone.ledger.free(worker));
        }
    }
    zone.dirty.clear();
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
            if (zone.checkNeverFits(*handle)) {
                zone.queue.erase(*handle);
            } else {
                zone.queue.block(*handle);
            }
        }
    }
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

} // namespace yuccawheel::placement
