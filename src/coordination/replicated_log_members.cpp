#include "base/invariant.h"
#include "coordination/replicated_log.h"

#include <algorithm>

namespace yuccawheel::coordination
{

// Changes go one server at a time, and not before the leader has committed an entry of its own term: otherwise two
// majorities of different sets might not overlap.
bool ReplicatedLog::changeUnderWay() const
{
    return sets_.rbegin()->first > committed_ || committed_ < termStart_;
}

void ReplicatedLog::appendReplicaSet(const ReplicaSet &set, base::TimePoint now)
{
    YW_INVARIANT(!changeUnderWay(), "only one change of replicas is under way at a time");
    appendOwn(EntryKind::ReplicaSet, encodeReplicaSet(set));
    syncProgressWithSet(now);
}

void ReplicatedLog::syncProgressWithSet(base::TimePoint now)
{
    std::erase_if(progress_, [this](const auto &item) { return findMember(replicaSet(), item.first) == nullptr; });
    for (const Member &member : replicaSet().members) {
        if (member.id == self()) {
            continue;
        }
        const auto [place, added] = progress_.try_emplace(member.id);
        if (added) {
            place->second.next = buffer_.lastIndex() + 1;
            place->second.lastHeard = now;
        }
    }
}

// Adds one learner with each change. An earlier generation of the same node stays a voter until its successor has
// caught up; a learner that has fallen silent gives way.
void ReplicatedLog::onJoinRequest(const Message &message, base::TimePoint now)
{
    const auto &nodes = settings_.nodes;
    const bool known =
        settings_.openMembership || std::find(nodes.begin(), nodes.end(), message.from.node) != nodes.end();
    if (state_ != State::Leader || !known || changeUnderWay() || findMember(replicaSet(), message.from) != nullptr) {
        return;
    }
    ReplicaSet set = replicaSet();
    const base::TimePoint since = now - settings_.electionTimeout;
    std::size_t learners = 0;
    for (const Member &member : replicaSet().members) {
        if (member.voter) {
            continue;
        }
        if (member.id.node != message.from.node && heardSince(member.id, since)) {
            ++learners;
        } else {
            set = without(set, member.id);
        }
    }
    if (learners >= settings_.maxLearners) {
        return;
    }
    appendReplicaSet(withLearner(set, message.from), now);
}

// A learner that holds all that was committed a heartbeat ago has caught up. First the old generation of its node
// leaves the set, then the learner becomes a voter; each step changes the voters by one.
void ReplicatedLog::promoteLearner(base::TimePoint now)
{
    if (changeUnderWay()) {
        return;
    }
    const base::TimePoint since = now - settings_.electionTimeout;
    for (const Member &member : replicaSet().members) {
        if (member.voter || !heardSince(member.id, since)) {
            continue;
        }
        const Progress &progress = progress_.at(member.id);
        if (progress.catchUpTarget == 0 || progress.matched < progress.catchUpTarget) {
            continue;
        }
        const Member *old = findOtherGeneration(replicaSet(), member.id);
        const std::size_t voters = voterCount(replicaSet());
        if (old == nullptr && voters >= settings_.maxVoters + (lostVoter(now) ? 1 : 0)) {
            continue;
        }
        const ReplicaSet set = old != nullptr ? without(replicaSet(), old->id) : withVoter(replicaSet(), member.id);
        if (majorityOf(set, [this, since](ReplicaId id) { return heardSince(id, since); })) {
            appendReplicaSet(set, now);
        }
        return;
    }
}

// A voter whose node has come back with an empty disk is gone for good; one that is silent may be.
std::optional<ReplicaId> ReplicatedLog::lostVoter(base::TimePoint now) const
{
    for (const Member &member : replicaSet().members) {
        const bool silent =
            settings_.replaceSilentAfter.count() > 0 && !heardSince(member.id, now - settings_.replaceSilentAfter);
        if (member.voter && (silent || findOtherGeneration(replicaSet(), member.id) != nullptr)) {
            return member.id;
        }
    }
    return std::nullopt;
}

// Its successor is a voter already, so that no step leaves fewer voters than are wanted.
void ReplicatedLog::removeReplacedVoter(base::TimePoint now)
{
    const auto lost = lostVoter(now);
    if (!lost || changeUnderWay() || voterCount(replicaSet()) <= settings_.maxVoters) {
        return;
    }
    const ReplicaSet set = without(replicaSet(), *lost);
    const base::TimePoint since = now - settings_.electionTimeout;
    if (majorityOf(set, [this, since](ReplicaId id) { return heardSince(id, since); })) {
        appendReplicaSet(set, now);
    }
}

tl::expected<Position, ProposeError> ReplicatedLog::removeReplica(ReplicaId id, base::TimePoint now)
{
    if (state_ != State::Leader) {
        return tl::unexpected(ProposeError{ProposeFailure::NotLeader, leader_});
    }
    if (changeUnderWay()) {
        return tl::unexpected(ProposeError{ProposeFailure::ChangeUnderWay, self()});
    }
    const ReplicaSet set = without(replicaSet(), id);
    if (voterCount(set) == 0) {
        return tl::unexpected(ProposeError{ProposeFailure::LastVoter, self()});
    }
    appendReplicaSet(set, now);
    return Position{buffer_.lastIndex(), term()};
}

} // namespace yuccawheel::coordination
