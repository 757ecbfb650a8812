// Periodic work of the leader: assigns waiting jobs, moves the shares of lost zones, removes old finished jobs.

#include "base/log.h"
#include "store/store_core.h"

#include <algorithm>

namespace yuccawheel::store
{

namespace
{

constexpr std::chrono::milliseconds ReviewInterval{500};
constexpr std::size_t MaxForgottenPerEntry = 1'000;
constexpr std::size_t MaxMovesPerEntry = 500;
/// Tolerated difference between the clock rates of two VMs.
constexpr int ClockDriftPerMille = 10;
constexpr std::chrono::milliseconds MoveMargin{2'000}; ///< Allows for the last step of stopping a task.

// Upper bound on the time from an owner's last renewal until no task of its share can run any more. An owner cut off
// from the store stops the tasks after `detachedFor`; a worker that the owner can't reach stops them by itself, at most
// another `detachedFor` later.
std::chrono::milliseconds maxTimeUntilStopped(std::chrono::milliseconds detachedFor)
{
    const std::chrono::milliseconds total = detachedFor * 2;
    return total + total * ClockDriftPerMille / 1000 + MoveMargin;
}

} // namespace

// A new leader has received no renewals yet: zones become known again with their next renewal.
void StoreCore::onLeadershipGained(base::TimePoint now)
{
    leaderSince_ = now;
    zones_.clear();
    assigner_ = {};
    base::logInfo("store_leads").with("term", replica_.log().term()).with("index", state_.index());
}

void StoreCore::tick(base::TimePoint now, WallTime wall)
{
    replica_.tick(now);
    if (!isLeader() || now < nextReview_) {
        return;
    }
    nextReview_ = now + ReviewInterval;
    for (auto &[zone, status] : zones_) {
        if (now - std::max(status.lastRenewal, leaderSince_) > options_.zoneLease) {
            assigner_.update(zone, {status.summary, false});
        }
    }
    assignWaitingJobs(wall);
    moveSharesOfLostZones(now, wall);
    forgetExpiredJobs(wall);
}

void StoreCore::assignWaitingJobs(WallTime wall)
{
    MoveEntry entry;
    entry.at = wall;
    for (const auto &[id, record] : state_.jobs()) {
        if (!record.shares.empty() || record.cancelled || record.isDone() || entry.moves.size() >= MaxMovesPerEntry) {
            continue;
        }
        Shares shares = assigner_.assign(record.spec);
        if (shares.empty()) {
            break;
        }
        entry.moves.push_back({id, {}, std::move(shares)});
    }
    if (!entry.moves.empty()) {
        proposeWithoutReply(entry);
    }
}

// Reassigns shares whose zone owner has been silent for so long that none of their tasks can still run. Renewals are
// refused until the entry is applied, so that the owner can't come back in between.
void StoreCore::moveSharesOfLostZones(base::TimePoint now, WallTime wall)
{
    std::map<std::string, MoveEntry> entries;
    for (const auto &[id, record] : state_.jobs()) {
        if (record.isDone() || record.spec.kind == placement::JobKind::Service) {
            continue;
        }
        for (const Share &share : record.shares) {
            const auto status = zones_.find(share.zone);
            const base::TimePoint heard = status == zones_.end() ? leaderSince_ : status->second.lastRenewal;
            if (now - std::max(heard, leaderSince_) <= maxTimeUntilStopped(record.spec.detachedFor)) {
                continue;
            }
            if (auto move = planMove(record, share.zone)) {
                entries[share.zone].moves.push_back(std::move(*move));
            }
            break;
        }
    }
    for (auto &[zone, entry] : entries) {
        const protocol::ZoneOwner *const owner = state_.owner(zone);
        entry.lostZone = zone;
        entry.lostEpoch = owner == nullptr ? 0 : owner->epoch;
        entry.at = wall;
        zones_[zone].moving = true;
        base::logWarning("shares_moved").with("zone", zone).with("jobs", entry.moves.size());
        const auto position = replica_.propose(encodeEntry(entry));
        if (position) {
            pending_[position->index] = {0, 0, position->term, [this, zone = zone](const ApplyReply &) {
                                             zones_[zone].moving = false;
                                         }};
        } else {
            zones_[zone].moving = false;
        }
    }
}

// Moves all tasks of the zone's share that may still be started to one other zone. Returns nothing if no zone can take
// them now.
std::optional<MoveEntry::Move> StoreCore::planMove(const JobRecord &record, const std::string &zone)
{
    protocol::IndexSet startable = record.indicesAssignedTo(zone);
    startable.erase(record.finishedTasks());
    if (!record.spec.repeatable) {
        startable.erase(record.started);
    }
    MoveEntry::Move move{record.spec.id, zone, {}};
    if (startable.empty()) {
        return move;
    }
    placement::JobSpec remaining = record.spec;
    remaining.tasks = startable.size();
    const Shares target = assigner_.assign(remaining);
    if (target.empty() || record.hasShareIn(target.front().zone)) {
        return std::nullopt;
    }
    for (const protocol::IndexRange &range : startable.ranges()) {
        move.to.push_back({target.front().zone, range.first, range.end - range.first, 0});
    }
    return move;
}

void StoreCore::forgetExpiredJobs(WallTime wall)
{
    ForgetEntry entry;
    for (const auto &[id, record] : state_.jobs()) {
        if (record.isDone() && record.doneAt + options_.jobRetention < wall) {
            entry.jobs.push_back(id);
        }
        if (entry.jobs.size() >= MaxForgottenPerEntry) {
            break;
        }
    }
    if (!entry.jobs.empty()) {
        proposeWithoutReply(entry);
    }
}

} // namespace yuccawheel::store
