// Applies updates from the replicated log: shares, quotas, registered workers and the zone's owner.

#include "base/log.h"
#include "scheduler_service.h"

#include <unordered_set>
#include <vector>

namespace yuccawheel::scheduler
{

namespace
{

/// Each owner of a zone uses its own block of this many attempt numbers, so that attempts are unique across owners.
constexpr std::uint32_t AttemptsPerOwner = 1U << 16U;

} // namespace

void SchedulerService::onUpdate(const protocol::StateUpdate &update)
{
    configuration_.onStoreUpdate(update);
    if (update.full || update.workersChanged) {
        registeredWorkers_ = update.workers;
    }
    if (update.full) {
        dropMissingShares(update);
    }
    for (const protocol::ShareAssignment &assignment : update.assigned) {
        assignShare(assignment);
    }
    for (const placement::JobId job : update.cancelled) {
        cancelJob(job);
    }
    for (const placement::JobId job : update.dropped) {
        dropShare(job);
    }
    if (update.owner && update.owner->zone == context_.self.zone) {
        onOwnerChanged(*update.owner);
    }
}

void SchedulerService::applyConfiguration(const protocol::Configuration &configuration)
{
    quotas_ = configuration.teams;
    pushToPlanner(makeQuotasEvent());
    store_.acknowledgeConfiguration(configuration.version);
}

placement::QuotasChanged SchedulerService::makeQuotasEvent() const
{
    placement::QuotasChanged changed;
    changed.quotas.reserve(quotas_.size());
    for (const auto &[team, quota] : quotas_) {
        changed.quotas.push_back(quota);
    }
    return changed;
}

void SchedulerService::onOwnerChanged(const protocol::ZoneOwner &owner)
{
    knownOwner_ = owner;
    if (hub_.isOwner() && owner.epoch > self_.epoch) {
        stepDown("the zone has a newer owner");
    } else if (!hub_.isOwner() && owner.node != self_.node) {
        hub_.setRedirect(owner.workerAddress);
    }
}

// A full state lists all shares of the zone: shares that it omits have ended or moved while the watch was interrupted.
void SchedulerService::dropMissingShares(const protocol::StateUpdate &update)
{
    std::unordered_set<placement::JobId> listed;
    for (const protocol::ShareAssignment &assignment : update.assigned) {
        listed.insert(assignment.spec.id);
    }
    std::vector<placement::JobId> missing;
    for (const auto &[job, share] : shares_) {
        if (!listed.contains(job)) {
            missing.push_back(job);
        }
    }
    for (const placement::JobId job : missing) {
        dropShare(job);
    }
}

// Each full state repeats known shares; only new assignments are passed to the planner.
void SchedulerService::assignShare(const protocol::ShareAssignment &assignment)
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
    const Share &stored = shares_[spec.id] = std::move(share);
    if (hub_.isOwner()) {
        assignToPlanner(stored);
        updateDetachDeadline();
    }
}

std::uint32_t SchedulerService::firstAttempt() const
{
    return self_.takeovers * AttemptsPerOwner;
}

// Only shares that were assigned before this ownership began may have tasks that this owner does not know of.
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

void SchedulerService::cancelJob(placement::JobId job)
{
    const auto found = shares_.find(job);
    if (found != shares_.end() && !found->second.cancelled) {
        found->second.cancelled = true;
        pushToPlanner(placement::JobCancelled{job});
    }
}

// The share has moved to another zone or has ended completely; tasks that still run here are stopped.
void SchedulerService::dropShare(placement::JobId job)
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
