#include "coordination/zone_ownership.h"

#include "base/invariant.h"

#include <algorithm>
#include <utility>

namespace yuccawheel::coordination
{

bool majoritiesIntersect(const std::set<WorkerRunName> &before, const std::set<WorkerRunName> &after)
{
    std::size_t common = 0;
    for (const WorkerRunName &name : after) {
        common += before.contains(name) ? 1 : 0;
    }
    const std::size_t total = before.size() + after.size() - common;
    const std::size_t majorities = before.size() / 2 + 1 + after.size() / 2 + 1;
    return before.empty() || majorities > total;
}

bool isMajorityLost(const std::set<WorkerRunName> &witnesses, const std::set<WorkerRunName> &gone)
{
    std::size_t remaining = 0;
    for (const WorkerRunName &name : witnesses) {
        remaining += gone.contains(name) ? 0 : 1;
    }
    return remaining <= witnesses.size() / 2;
}

std::optional<GrantReply> handleGrantRequest(FencingGate &gate, const GrantRequest &request, base::TimePoint now)
{
    GrantReply reply{request.kind, request.worker, request.owner, request.epoch, request.sentAt, false, {}};
    switch (request.kind) {
    case GrantKind::Check:
        reply.granted = gate.check(request.owner, request.epoch, now).has_value();
        break;
    case GrantKind::Request:
        reply.granted = gate.request(request.owner, request.epoch, request.sentAt, now).has_value();
        break;
    case GrantKind::Release:
        gate.release(request.owner, request.epoch, request.sentAt);
        return std::nullopt;
    }
    reply.highestEpoch = gate.highestEpoch();
    return reply;
}

ZoneOwnership::ZoneOwnership(OwnershipSettings settings) : settings_(settings)
{
    YW_INVARIANT(settings_.self.node != 0, "an owner must have a node number");
}

void ZoneOwnership::updateAssignment(const ZoneAssignment &assignment, base::TimePoint now)
{
    if (assignment.logEpoch <= assignment_.logEpoch) {
        return;
    }
    assignment_ = assignment;
    superseded_ = state_ != State::Standby;
    needsNewAssignment_ = false;
    lastSeenFree_.clear();
    vacantSince_.reset();
    nextSend_ = std::min(nextSend_, now);
}

void ZoneOwnership::recordLogContact(base::TimePoint now)
{
    lastLogContact_ = now;
}

bool ZoneOwnership::isLogReachable(base::TimePoint now) const
{
    return lastLogContact_ && now - *lastLogContact_ < settings_.logTimeout;
}

void ZoneOwnership::setWorkers(std::set<WorkerRunName> workers)
{
    workers_ = std::move(workers);
}

std::optional<std::uint32_t> ZoneOwnership::position() const
{
    const auto &order = assignment_.succession;
    const auto found = std::find(order.begin(), order.end(), settings_.self.node);
    if (found == order.end()) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(found - order.begin());
}

// If a worker has granted a higher log epoch, this process lacks the newest assignment and cannot claim anything. An
// epoch with this process's own rank may be used again, because a worker has one owner at a time whatever the epoch.
std::optional<Epoch> ZoneOwnership::claimableEpoch() const
{
    const auto place = position();
    if (!place || highestSeen_.logEpoch > assignment_.logEpoch) {
        return std::nullopt;
    }
    const Epoch issuedEpoch{assignment_.logEpoch, 0};
    const Epoch highest = std::max(issuedEpoch, highestSeen_);
    const auto count = static_cast<std::uint32_t>(assignment_.succession.size());
    return highest.successionRank % count == *place ? highest : nextSuccessionEpoch(highest, *place, count);
}

bool ZoneOwnership::holdsMajority(base::TimePoint now) const
{
    const auto held =
        std::count_if(assignment_.witnesses.begin(), assignment_.witnesses.end(), [&](const WorkerRunName &name) {
            const auto grant = grants_.find(name);
            return grant != grants_.end() && grant->second.isValidAt(now);
        });
    return static_cast<std::size_t>(held) > assignment_.witnesses.size() / 2;
}

bool ZoneOwnership::owns(base::TimePoint now) const
{
    return state_ == State::Owner && !superseded_ && holdsMajority(now);
}

bool ZoneOwnership::mayCommand(const WorkerRunName &worker, base::TimePoint now) const
{
    const auto grant = grants_.find(worker);
    return owns(now) && grant != grants_.end() && grant->second.isValidAt(now);
}

// A grant counts only for the current claim: the grants of an earlier claim with the same epoch have been released.
void ZoneOwnership::receive(const GrantReply &reply, base::TimePoint now)
{
    highestSeen_ = std::max(highestSeen_, reply.highestEpoch);
    if (reply.owner != settings_.self || reply.epoch != epoch_) {
        return;
    }
    if (reply.kind == GrantKind::Check && state_ == State::Standby) {
        if (reply.granted) {
            lastSeenFree_.insert_or_assign(reply.worker, now);
        } else {
            lastSeenFree_.erase(reply.worker);
        }
    }
    if (reply.kind == GrantKind::Request && state_ != State::Standby && reply.granted && reply.sentAt >= claimedAt_) {
        grants_.try_emplace(reply.worker, HeldLease(settings_.lease)).first->second.renew(reply.sentAt);
        if (state_ == State::Claiming && holdsMajority(now)) {
            state_ = State::Owner;
            nextSend_ = now;
        }
    }
}

// An owner that a new assignment confirms claims the new epoch at once: its workers grant it without waiting for their
// leases to expire.
std::vector<GrantRequest> ZoneOwnership::tick(base::TimePoint now)
{
    std::vector<GrantRequest> requests;
    if (state_ == State::Standby) {
        tickStandby(now, requests);
        return requests;
    }
    const Epoch issuedEpoch{assignment_.logEpoch, 0};
    if (superseded_ && position() == 0U && !(issuedEpoch < highestSeen_)) {
        superseded_ = false;
        claim(issuedEpoch, now, requests);
        return requests;
    }
    const bool lost = state_ == State::Owner ? !holdsMajority(now) : now - claimedAt_ >= settings_.claimTimeout;
    if (superseded_ || lost || epoch_ < highestSeen_) {
        stepDown(now, requests);
    } else if (now >= nextSend_) {
        requestAll(now, requests);
    }
    return requests;
}

std::vector<GrantRequest> ZoneOwnership::resign(base::TimePoint now)
{
    std::vector<GrantRequest> requests;
    if (state_ != State::Standby) {
        stepDown(now, requests);
    }
    earliestClaim_ = base::TimePoint::max();
    return requests;
}

// Releases the grants, so that the next owner need not wait for them to expire. Releases are also sent to workers whose
// reply was not received, since they may have granted the request.
void ZoneOwnership::stepDown(base::TimePoint now, std::vector<GrantRequest> &requests)
{
    std::set<WorkerRunName> recipients = assignment_.witnesses;
    recipients.insert(workers_.begin(), workers_.end());
    for (const auto &[worker, grant] : grants_) {
        recipients.insert(worker);
    }
    for (const WorkerRunName &worker : recipients) {
        addRequest(requests, GrantKind::Release, worker, now);
    }
    state_ = State::Standby;
    superseded_ = false;
    grants_.clear();
    lastSeenFree_.clear();
    vacantSince_.reset();
    nextSend_ = now + settings_.renewInterval;
    earliestClaim_ = now + settings_.claimTimeout + settings_.stagger * position().value_or(0);
}

bool ZoneOwnership::isVacant(base::TimePoint now) const
{
    const base::TimePoint since = now - 2 * settings_.renewInterval;
    const auto freeWitnesses =
        std::count_if(assignment_.witnesses.begin(), assignment_.witnesses.end(), [&](const WorkerRunName &name) {
            const auto found = lastSeenFree_.find(name);
            return found != lastSeenFree_.end() && found->second > since;
        });
    return static_cast<std::size_t>(freeWitnesses) > assignment_.witnesses.size() / 2;
}

// The owner chosen by the log claims the zone as soon as a majority of witnesses is free. Other candidates ask the log
// for a new assignment or, if the log is unreachable, take over one after the other in the order of succession.
void ZoneOwnership::tickStandby(base::TimePoint now, std::vector<GrantRequest> &requests)
{
    const auto claimable = claimableEpoch();
    needsNewAssignment_ = false;
    if (!claimable) {
        return;
    }
    if (epoch_ != *claimable) {
        epoch_ = *claimable;
        lastSeenFree_.clear();
    }
    if (!isVacant(now)) {
        vacantSince_.reset();
    } else if (!vacantSince_) {
        vacantSince_ = now;
    }
    if (vacantSince_ && now >= earliestClaim_) {
        const bool chosen = *claimable == Epoch{assignment_.logEpoch, 0};
        const bool isTurn = now - *vacantSince_ >= settings_.stagger * position().value();
        needsNewAssignment_ = !chosen && isTurn && isLogReachable(now);
        if (isTurn && !needsNewAssignment_) {
            claim(*claimable, now, requests);
            return;
        }
    }
    if (now >= nextSend_) {
        nextSend_ = now + settings_.renewInterval;
        for (const WorkerRunName &witness : assignment_.witnesses) {
            addRequest(requests, GrantKind::Check, witness, now);
        }
    }
}

void ZoneOwnership::claim(const Epoch &epoch, base::TimePoint now, std::vector<GrantRequest> &requests)
{
    YW_INVARIANT(!(epoch < highestSeen_), "a claim must not use an epoch below the highest one granted");
    state_ = State::Claiming;
    epoch_ = epoch;
    claimedAt_ = now;
    grants_.clear();
    requestAll(now, requests);
}

void ZoneOwnership::requestAll(base::TimePoint now, std::vector<GrantRequest> &requests)
{
    nextSend_ = now + settings_.renewInterval;
    std::set<WorkerRunName> recipients = assignment_.witnesses;
    if (state_ == State::Owner) {
        recipients.insert(workers_.begin(), workers_.end());
    }
    for (const WorkerRunName &worker : recipients) {
        addRequest(requests, GrantKind::Request, worker, now);
    }
}

void ZoneOwnership::addRequest(std::vector<GrantRequest> &requests,
                               GrantKind kind,
                               const WorkerRunName &worker,
                               base::TimePoint now) const
{
    requests.push_back(GrantRequest{kind, worker, settings_.self, epoch_, now});
}

} // namespace yuccawheel::coordination
