// State updates from the leader to the daemons that watch it.

#include "store/store_core.h"

#include <algorithm>

namespace yuccawheel::store
{

namespace
{

constexpr std::size_t MaxSharesPerUpdate = 500; ///< A larger full state is sent in several parts.

} // namespace

void StoreCore::addFullConfiguration(protocol::StateUpdate &update) const
{
    update.configurationChanged = true;
    for (const auto &[name, quota] : state_.teams()) {
        update.teams.push_back(quota);
    }
    for (const auto &[name, job] : state_.services()) {
        update.services.push_back({name, job});
    }
}

// Sends changed teams and services only: at the target scale, all teams with every change would make up most of a
// daemon's traffic.
void StoreCore::addConfigurationChanges(const StateChange &change, protocol::StateUpdate &update) const
{
    update.configurationChanged = true;
    for (const std::string &name : change.teams) {
        const auto team = state_.teams().find(name);
        if (team == state_.teams().end()) {
            update.removedTeams.push_back(name);
        } else {
            update.teams.push_back(team->second);
        }
    }
    for (const std::string &name : change.services) {
        const auto service = state_.services().find(name);
        if (service == state_.services().end()) {
            update.removedServices.push_back(name);
        } else {
            update.services.push_back({name, service->second});
        }
    }
}

// Joins the zone's ranges into one. Indices between them are not the zone's own and are marked as finished, so that it
// does not run them.
void StoreCore::addAssignment(const JobRecord &record, const std::string &zone, protocol::StateUpdate &update)
{
    protocol::ShareAssignment assignment;
    assignment.spec = record.spec;
    for (const Share &share : record.shares) {
        if (share.zone == zone) {
            assignment.assignedAt = std::max(assignment.assignedAt, share.assignedAt);
        }
    }
    const protocol::IndexSet own = record.indicesAssignedTo(zone);
    assignment.firstIndex = own.ranges().front().first;
    assignment.count = own.ranges().back().end - assignment.firstIndex;
    assignment.finished.insert(protocol::IndexRange{assignment.firstIndex, own.ranges().back().end});
    assignment.finished.erase(own);
    assignment.finished.insert(record.finishedTasks());
    assignment.started = record.started;
    update.assigned.push_back(std::move(assignment));
}

protocol::StateUpdate StoreCore::updateFor(const std::string &zone, const StateChange &change) const
{
    protocol::StateUpdate update;
    update.index = state_.index();
    update.configurationVersion = state_.configurationVersion();
    if (change.configuration) {
        addConfigurationChanges(change, update);
    }
    for (const placement::JobId job : change.assigned) {
        const JobRecord *const record = state_.findJob(job);
        if (record != nullptr && record->hasShareIn(zone)) {
            addAssignment(*record, zone, update);
        } else {
            update.dropped.push_back(job);
        }
    }
    for (const placement::JobId job : change.cancelled) {
        const JobRecord *const record = state_.findJob(job);
        if (record != nullptr && record->hasShareIn(zone)) {
            update.cancelled.push_back(job);
        }
    }
    update.dropped.insert(update.dropped.end(), change.forgotten.begin(), change.forgotten.end());
    if (change.ownerChangedIn == zone) {
        update.owner = *state_.owner(zone);
    }
    if (change.workersChangedIn == zone) {
        update.workersChanged = true;
        update.workers.assign(state_.workers(zone).begin(), state_.workers(zone).end());
    }
    return update;
}

// Each daemon is sent only changes that concern its zone, which keeps control traffic low.
void StoreCore::notifyWatchers(const StateChange &change)
{
    std::map<std::string, protocol::StateUpdate> updates;
    for (const auto &[client, watcher] : watchers_) {
        auto found = updates.find(watcher.zone);
        if (found == updates.end()) {
            found = updates.emplace(watcher.zone, updateFor(watcher.zone, change)).first;
        }
        const protocol::StateUpdate &update = found->second;
        const bool isRelevant = update.configurationChanged || !update.assigned.empty() || !update.cancelled.empty()
            || !update.dropped.empty() || update.owner || update.workersChanged;
        if (isRelevant) {
            output_.frames.push_back(
                {client,
                 protocol::Frame{
                     protocol::StateUpdate::Type, protocol::FrameKind::Notice, 0, protocol::encode(update)}});
        }
    }
}

void StoreCore::sendFullState(ClientId client, const std::string &zone)
{
    protocol::StateUpdate update;
    const auto send = [&](bool last) {
        update.index = state_.index();
        update.full = true;
        update.last = last;
        update.configurationVersion = state_.configurationVersion();
        output_.frames.push_back(
            {client,
             protocol::Frame{protocol::StateUpdate::Type, protocol::FrameKind::Notice, 0, protocol::encode(update)}});
        update = {};
    };
    for (const auto &[id, record] : state_.jobs()) {
        if (record.isDone() || !record.hasShareIn(zone)) {
            continue;
        }
        addAssignment(record, zone, update);
        if (record.cancelled) {
            update.cancelled.push_back(id);
        }
        if (update.assigned.size() >= MaxSharesPerUpdate) {
            send(false);
        }
    }
    addFullConfiguration(update);
    if (const protocol::ZoneOwner *const owner = state_.owner(zone)) {
        update.owner = *owner;
    }
    update.workers.assign(state_.workers(zone).begin(), state_.workers(zone).end());
    send(true);
}

} // namespace yuccawheel::store
