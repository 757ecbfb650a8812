// What the leader decides by itself: zones for jobs that wait for one, lost zones, and jobs to forget.

#include "base/log.h"
#include "store/store_core.h"

#include <algorithm>

namespace yuccawheel::store
{

namespace
{

constexpr std::chrono::milliseconds ReviewInterval{500};
constexpr std::size_t MaxForgottenAtOnce = 1'000;
constexpr std::size_t MaxMovesAtOnce = 500;
/// Allowed difference between the rates of two VMs' clocks, in parts of a thousand, and the time of a last step.
constexpr int ClockDriftPerMille = 10;
constexpr std::chrono::milliseconds MoveMargin{2'000};

// The owner stops a detached share's tasks after `detachedFor`; a worker it can't reach does so by itself, at most
// another `detachedFor` later.
std::chrono::milliseconds surelyStopped(std::chrono::milliseconds detachedFor)
{
    const std::chrono::milliseconds both = detachedFor * 2;
    return both + both * ClockDriftPerMille / 1000 + MoveMargin;
}

} // namespace

// A new leader has heard no zone yet: what it knows of them starts with their next renewal.
void StoreCore::becomeLeader(base::TimePoint now)
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
    forgetOldJobs(wall);
}

void StoreCore::assignWaitingJobs(WallTime wall)
{
    MoveEntry entry;
    entry.at = wall;
    for (const auto &[id, record] : state_.jobs()) {
        if (!record.shares.empty() || record.cancelled || record.done() || entry.moves.size() >= MaxMovesAtOnce) {
            continue;
        }
        Shares shares = assigner_.assign(record.spec);
        if (shares.empty()) {
            break;
        }
        entry.moves.push_back({id, {}, std::move(shares)});
    }
    if (!entry.moves.empty()) {
        proposeQuietly(entry);
    }
}

// Shares of a zone whose owner has been silent so long that none of their tasks can run any more go to other zones.
// Renewals are refused until the entry is applied, so that the owner can't come back in between.
void StoreCore::moveSharesOfLostZones(base::TimePoint now, WallTime wall)
{
    std::map<std::string, MoveEntry> entries;
    for (const auto &[id, record] : state_.jobs()) {
        if (record.done() || record.spec.kind == placement::JobKind::Service) {
            continue;
        }
        for (const Share &share : record.shares) {
            const auto status = zones_.find(share.zone);
            const base::TimePoint heard = status == zones_.end() ? leaderSince_ : status->second.lastRenewal;
            if (now - std::max(heard, leaderSince_) <= surelyStopped(record.spec.detachedFor)) {
                continue;
            }
            if (auto move = moveOf(record, share.zone)) {
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

// Gives all that may still be started of the zone's share to one other zone; nothing if no zone can take it now.
std::optional<MoveEntry::Move> StoreCore::moveOf(const JobRecord &record, const std::string &zone)
{
    protocol::IndexSet open = record.indicesOf(zone);
    open.erase(record.finished());
    if (!record.spec.repeatable) {
        open.erase(record.started);
    }
    MoveEntry::Move move{record.spec.id, zone, {}};
    if (open.empty()) {
        return move;
    }
    placement::JobSpec rest = record.spec;
    rest.tasks = open.size();
    const Shares target = assigner_.assign(rest);
    if (target.empty() || record.hasShareIn(target.front().zone)) {
        return std::nullopt;
    }
    for (const protocol::IndexRange &range : open.ranges()) {
        move.to.push_back({target.front().zone, range.first, range.end - range.first, 0});
    }
    return move;
}

void StoreCore::forgetOldJobs(WallTime wall)
{
    ForgetEntry entry;
    for (const auto &[id, record] : state_.jobs()) {
        if (record.done() && record.doneAt + options_.jobRetention < wall) {
            entry.jobs.push_back(id);
        }
        if (entry.jobs.size() >= MaxForgottenAtOnce) {
            break;
        }
    }
    if (!entry.jobs.empty()) {
        proposeQuietly(entry);
    }
}

} // namespace yuccawheel::store
