// What the scheduler takes from the agreed log: shares, quotas, workers, and who owns the zone.

#include "base/log.h"
#include "scheduler_service.h"

#include <unordered_set>
#include <vector>

namespace yuccawheel::scheduler
{

namespace
{

/// Attempt numbers of one owner; each owner of a zone has a block of its own.
constexpr std::uint32_t AttemptsPerOwner = 1U << 16U;

} // namespace

void SchedulerService::onUpdate(const protocol::StateUpdate &update)
{
    configuration_.onStoreUpdate(update);
    if (update.full || update.workersChanged) {
        roster_ = update.workers;
    }
    if (update.full) {
        dropUnnamed(update);
    }
    for (const protocol::ShareAssignment &assignment : update.assigned) {
        assign(assignment);
    }
    for (const placement::JobId job : update.cancelled) {
        cancel(job);
    }
    for (const placement::JobId job : update.dropped) {
        drop(job);
    }
    if (update.owner && update.owner->zone == context_.self.zone) {
        onOwner(*update.owner);
    }
}

void SchedulerService::applyConfiguration(const protocol::Configuration &configuration)
{
    quotas_ = configuration.teams;
    pushToPlanner(quotas());
    store_.acknowledgeConfiguration(configuration.version);
}

placement::QuotasChanged SchedulerService::quotas() const
{
    placement::QuotasChanged changed;
    changed.quotas.reserve(quotas_.size());
    for (const auto &[team, quota] : quotas_) {
        changed.quotas.push_back(quota);
    }
    return changed;
}

void SchedulerService::onOwner(const protocol::ZoneOwner &owner)
{
    knownOwner_ = owner;
    if (hub_.owning() && owner.epoch > self_.epoch) {
        stepDown("a later owner has the zone");
    } else if (!hub_.owning() && owner.node != self_.node) {
        hub_.setRedirect(owner.workerAddress);
    }
}

// A full state names all that there is: shares that it leaves out have ended or moved while the watch was broken.
void SchedulerService::dropUnnamed(const protocol::StateUpdate &update)
{
    std::unordered_set<placement::JobId> named;
    for (const protocol::ShareAssignment &assignment : update.assigned) {
        named.insert(assignment.spec.id);
    }
    std::vector<placement::JobId> gone;
    for (const auto &[job, share] : shares_) {
        if (!named.contains(job)) {
            gone.push_back(job);
        }
    }
    for (const placement::JobId job : gone) {
        drop(job);
    }
}

// The same share comes again with each full state; only what is new goes to the planner.
void SchedulerService::assign(const protocol::ShareAssignment &assignment)
{
    const auto found = shares_.find(assignment.spec.id);
    if (found != shares_.end() && found->second.assignment.assignedAt == assignment.assignedAt) {
        found->second.assignment = assignment;
        return;
    }
    Share share;
    share.assignment = assignment;
    const placement::JobSpec &spec = assignment.spec;
    share.info = {spec.kind, spec.name, spec.payload, spec.detachedFor, spec.repeatable};
    const Share &held = shares_[spec.id] = std::move(share);
    if (hub_.owning()) {
        assignToPlanner(held);
        updateDetachDeadline();
    }
}

std::uint32_t SchedulerService::firstAttempt() const
{
    return self_.takeovers * AttemptsPerOwner;
}

// Only shares that an earlier owner held may have tasks that this owner doesn't know of.
void SchedulerService::assignToPlanner(const Share &share)
{
    placement::JobAssigned assigned;
    assigned.spec = share.assignment.spec;
    assigned.firstIndex = share.assignment.firstIndex;
    assigned.count = share.assignment.count;
    assigned.finished = share.assignment.finished.indices();
    assigned.recovered = share.assignment.assignedAt < self_.epoch;
    assigned.startsRecorded = true;
    assigned.maybeStarted = share.assignment.started.indices();
    assigned.firstAttempt = firstAttempt();
    pushToPlanner(std::move(assigned));
    if (share.cancelled) {
        pushToPlanner(placement::JobCancelled{share.assignment.spec.id});
    }
}

void SchedulerService::cancel(placement::JobId job)
{
    const auto found = shares_.find(job);
    if (found != shares_.end() && !found->second.cancelled) {
        found->second.cancelled = true;
        pushToPlanner(placement::JobCancelled{job});
    }
}

// The share is another zone's now, or all of it has ended: what still runs here is stopped.
void SchedulerService::drop(placement::JobId job)
{
    const auto found = shares_.find(job);
    if (found == shares_.end()) {
        return;
    }
    if (!found->second.cancelled) {
        pushToPlanner(placement::JobCancelled{job});
    }
    shares_.erase(found);
}

} // namespace yuccawheel::scheduler
