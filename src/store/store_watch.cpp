// How the leader keeps the daemons that watch it up to date.

#include "store/store_core.h"

#include <algorithm>

namespace yuccawheel::store
{

namespace
{

/// Shares in one part of a full state.
constexpr std::size_t SharesPerUpdate = 500;

} // namespace

void StoreCore::describeConfiguration(protocol::StateUpdate &update) const
{
    update.configurationChanged = true;
    for (const auto &[name, quota] : state_.teams()) {
        update.teams.push_back(quota);
    }
    for (const auto &[name, job] : state_.services()) {
        update.services.push_back({name, job});
    }
}

// Only what changed: all teams with each change would be most of a daemon's messages at the size of the aim.
void StoreCore::describeChanges(const StateChange &change, protocol::StateUpdate &update) const
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

// The zone's ranges are joined into one; what lies between them counts as finished there.
void StoreCore::addAssignment(const JobRecord &record, const std::string &zone, protocol::StateUpdate &update)
{
    protocol::ShareAssignment assignment;
    assignment.spec = record.spec;
    for (const Share &share : record.shares) {
        if (share.zone == zone) {
            assignment.assignedAt = std::max(assignment.assignedAt, share.assignedAt);
        }
    }
    const protocol::IndexSet own = record.indicesOf(zone);
    assignment.firstIndex = own.ranges().front().first;
    assignment.count = own.ranges().back().end - assignment.firstIndex;
    assignment.finished.insert(protocol::IndexRange{assignment.firstIndex, own.ranges().back().end});
    assignment.finished.erase(own);
    assignment.finished.insert(record.finished());
    assignment.started = record.started;
    update.assigned.push_back(std::move(assignment));
}

protocol::StateUpdate StoreCore::updateFor(const std::string &zone, const StateChange &change) const
{
    protocol::StateUpdate update;
    update.index = state_.index();
    update.configurationVersion = state_.configurationVersion();
    if (change.configuration) {
        describeChanges(change, update);
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
    if (change.ownerOf == zone) {
        update.owner = *state_.owner(zone);
    }
    if (change.workersOf == zone) {
        update.workersChanged = true;
        update.workers.assign(state_.workers(zone).begin(), state_.workers(zone).end());
    }
    return update;
}

// Daemons of other zones hear only of what concerns them, so that their share of the messages stays small.
void StoreCore::notifyWatchers(const StateChange &change)
{
    std::map<std::string, protocol::StateUpdate> updates;
    for (const auto &[client, watcher] : watchers_) {
        auto found = updates.find(watcher.zone);
        if (found == updates.end()) {
            found = updates.emplace(watcher.zone, updateFor(watcher.zone, change)).first;
        }
        const protocol::StateUpdate &update = found->second;
        const bool concerns = update.configurationChanged || !update.assigned.empty() || !update.cancelled.empty()
            || !update.dropped.empty() || update.owner || update.workersChanged;
        if (concerns) {
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
        if (record.done() || !record.hasShareIn(zone)) {
            continue;
        }
        addAssignment(record, zone, update);
        if (record.cancelled) {
            update.cancelled.push_back(id);
        }
        if (update.assigned.size() >= SharesPerUpdate) {
            send(false);
        }
    }
    describeConfiguration(update);
    if (const protocol::ZoneOwner *const owner = state_.owner(zone)) {
        update.owner = *owner;
    }
    update.workers.assign(state_.workers(zone).begin(), state_.workers(zone).end());
    send(true);
}

} // namespace yuccawheel::store
