#include "coordination/zone_ownership.h"

#include "base/invariant.h"

#include <algorithm>
#include <utility>

namespace yuccawheel::coordination
{

bool majoritiesMeet(const std::set<WitnessName> &before, const std::set<WitnessName> &after)
{
    std::size_t common = 0;
    for (const WitnessName &name : after) {
        common += before.contains(name) ? 1 : 0;
    }
    const std::size_t every = before.size() + after.size() - common;
    const std::size_t majorities = before.size() / 2 + 1 + after.size() / 2 + 1;
    return before.empty() || majorities > every;
}

bool majorityIsGone(const std::set<WitnessName> &witnesses, const std::set<WitnessName> &gone)
{
    std::size_t left = 0;
    for (const WitnessName &name : witnesses) {
        left += gone.contains(name) ? 0 : 1;
    }
    return left <= witnesses.size() / 2;
}

std::optional<GrantReply> answer(FencingGate &gate, const GrantRequest &request, base::TimePoint now)
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
    reply.highest = gate.highest();
    return reply;
}

ZoneOwnership::ZoneOwnership(OwnershipSettings settings) : settings_(settings)
{
    YW_INVARIANT(settings_.self.node != 0, "an owner needs an identity");
}

void ZoneOwnership::learn(const ZoneTerms &terms, base::TimePoint now)
{
    if (terms.logIssued <= terms_.logIssued) {
        return;
    }
    terms_ = terms;
    superseded_ = state_ != State::Standby;
    wantsTerms_ = false;
    freeSince_.clear();
    vacantSince_.reset();
    nextSend_ = std::min(nextSend_, now);
}

void ZoneOwnership::logAnswered(base::TimePoint now)
{
    logAnsweredAt_ = now;
}

bool ZoneOwnership::logInReach(base::TimePoint now) const
{
    return logAnsweredAt_ && now - *logAnsweredAt_ < settings_.logTimeout;
}

void ZoneOwnership::setWorkers(std::set<WitnessName> workers)
{
    workers_ = std::move(workers);
}

std::optional<std::uint32_t> ZoneOwnership::position() const
{
    const auto &order = terms_.succession;
    const auto found = std::find(order.begin(), order.end(), settings_.self.node);
    if (found == order.end()) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(found - order.begin());
}

// Terms newer than those known exist if a worker has granted a higher epoch of the log; then nothing can be claimed.
// An epoch of this process's own place may be used again: grants go to one process at a time whatever the epoch.
std::optional<Epoch> ZoneOwnership::claimableEpoch() const
{
    const auto place = position();
    if (!place || highestSeen_.logIssued > terms_.logIssued) {
        return std::nullopt;
    }
    const Epoch issued{terms_.logIssued, 0};
    const Epoch highest = std::max(issued, highestSeen_);
    const auto count = static_cast<std::uint32_t>(terms_.succession.size());
    return highest.successionRank % count == *place ? highest : nextSuccession(highest, *place, count);
}

bool ZoneOwnership::holdsMajority(base::TimePoint now) const
{
    const auto held = std::count_if(terms_.witnesses.begin(), terms_.witnesses.end(), [&](const WitnessName &name) {
        const auto grant = grants_.find(name);
        return grant != grants_.end() && grant->second.isValidAt(now);
    });
    return static_cast<std::size_t>(held) > terms_.witnesses.size() / 2;
}

bool ZoneOwnership::owns(base::TimePoint now) const
{
    return state_ == State::Owner && !superseded_ && holdsMajority(now);
}

bool ZoneOwnership::mayCommand(const WitnessName &worker, base::TimePoint now) const
{
    const auto grant = grants_.find(worker);
    return owns(now) && grant != grants_.end() && grant->second.isValidAt(now);
}

// An answer counts only for the claim under way: an earlier one with the same epoch was given back since.
void ZoneOwnership::receive(const GrantReply &reply, base::TimePoint now)
{
    highestSeen_ = std::max(highestSeen_, reply.highest);
    if (reply.owner != settings_.self || reply.epoch != epoch_) {
        return;
    }
    if (reply.kind == GrantKind::Check && state_ == State::Standby) {
        if (reply.granted) {
            freeSince_.insert_or_assign(reply.worker, now);
        } else {
            freeSince_.erase(reply.worker);
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

// An owner that the log confirms with new terms goes on with the new epoch: the workers that it holds grant it at once.
std::vector<GrantRequest> ZoneOwnership::tick(base::TimePoint now)
{
    std::vector<GrantRequest> requests;
    if (state_ == State::Standby) {
        tickStandby(now, requests);
        return requests;
    }
    const Epoch issued{terms_.logIssued, 0};
    if (superseded_ && position() == 0U && !(issued < highestSeen_)) {
        superseded_ = false;
        claim(issued, now, requests);
        return requests;
    }
    const bool lost = state_ == State::Owner ? !holdsMajority(now) : now - claimedAt_ >= settings_.claimTimeout;
    if (superseded_ || lost || epoch_ < highestSeen_) {
        standBy(now, requests);
    } else if (now >= nextSend_) {
        requestAll(now, requests);
    }
    return requests;
}

std::vector<GrantRequest> ZoneOwnership::resign(base::TimePoint now)
{
    std::vector<GrantRequest> requests;
    if (state_ != State::Standby) {
        standBy(now, requests);
    }
    earliestClaim_ = base::TimePoint::max();
    return requests;
}

// Grants go back at once, so that whoever comes next need not wait them out. Even workers whose answer never came may
// have granted.
void ZoneOwnership::standBy(base::TimePoint now, std::vector<GrantRequest> &requests)
{
    std::set<WitnessName> asked = terms_.witnesses;
    asked.insert(workers_.begin(), workers_.end());
    for (const auto &[worker, grant] : grants_) {
        asked.insert(worker);
    }
    for (const WitnessName &worker : asked) {
        add(requests, GrantKind::Release, worker, now);
    }
    state_ = State::Standby;
    superseded_ = false;
    grants_.clear();
    freeSince_.clear();
    vacantSince_.reset();
    nextSend_ = now + settings_.renewInterval;
    earliestClaim_ = now + settings_.claimTimeout + settings_.stagger * position().value_or(0);
}

bool ZoneOwnership::seesVacancy(base::TimePoint now) const
{
    const base::TimePoint since = now - 2 * settings_.renewInterval;
    const auto open = std::count_if(terms_.witnesses.begin(), terms_.witnesses.end(), [&](const WitnessName &name) {
        const auto found = freeSince_.find(name);
        return found != freeSince_.end() && found->second > since;
    });
    return static_cast<std::size_t>(open) > terms_.witnesses.size() / 2;
}

// The owner that the log chose claims as soon as a majority of witnesses is free. Others ask the log for new terms, or,
// with the log out of reach, take over one after the other in the order of succession.
void ZoneOwnership::tickStandby(base::TimePoint now, std::vector<GrantRequest> &requests)
{
    const auto claimable = claimableEpoch();
    wantsTerms_ = false;
    if (!claimable) {
        return;
    }
    if (epoch_ != *claimable) {
        epoch_ = *claimable;
        freeSince_.clear();
    }
    if (!seesVacancy(now)) {
        vacantSince_.reset();
    } else if (!vacantSince_) {
        vacantSince_ = now;
    }
    if (vacantSince_ && now >= earliestClaim_) {
        const bool chosen = *claimable == Epoch{terms_.logIssued, 0};
        const bool turn = now - *vacantSince_ >= settings_.stagger * position().value();
        wantsTerms_ = !chosen && turn && logInReach(now);
        if (turn && !wantsTerms_) {
            claim(*claimable, now, requests);
            return;
        }
    }
    if (now >= nextSend_) {
        nextSend_ = now + settings_.renewInterval;
        for (const WitnessName &witness : terms_.witnesses) {
            add(requests, GrantKind::Check, witness, now);
        }
    }
}

void ZoneOwnership::claim(const Epoch &epoch, base::TimePoint now, std::vector<GrantRequest> &requests)
{
    YW_INVARIANT(!(epoch < highestSeen_), "a claim must not use an epoch that was passed");
    state_ = State::Claiming;
    epoch_ = epoch;
    claimedAt_ = now;
    grants_.clear();
    requestAll(now, requests);
}

void ZoneOwnership::requestAll(base::TimePoint now, std::vector<GrantRequest> &requests)
{
    nextSend_ = now + settings_.renewInterval;
    std::set<WitnessName> asked = terms_.witnesses;
    if (state_ == State::Owner) {
        asked.insert(workers_.begin(), workers_.end());
    }
    for (const WitnessName &worker : asked) {
        add(requests, GrantKind::Request, worker, now);
    }
}

void ZoneOwnership::add(std::vector<GrantRequest> &requests,
                        GrantKind kind,
                        const WitnessName &worker,
                        base::TimePoint now) const
{
    requests.push_back(GrantRequest{kind, worker, settings_.self, epoch_, now});
}

} // namespace yuccawheel::coordination
