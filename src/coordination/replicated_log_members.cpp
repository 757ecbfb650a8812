#include "base/invariant.h"
#include "coordination/replicated_log.h"

#include <algorithm>

namespace yuccawheel::coordination
{

// The set changes by one replica at a time, and only after the leader has committed an entry of its own term: otherwise
// majorities of two different sets might not overlap.
bool ReplicatedLog::isChangeInProgress() const
{
    return replicaSets_.rbegin()->first > committed_ || committed_ < termStartIndex_;
}

void ReplicatedLog::appendReplicaSet(const ReplicaSet &set, base::TimePoint now)
{
    YW_INVARIANT(!isChangeInProgress(), "only one change of the replica set may be in progress");
    appendAsLeader(EntryKind::ReplicaSet, encodeReplicaSet(set));
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

// Adds the sender as a learner and removes silent learners. An earlier generation of its node remains a voter until the
// new one has caught up.
void ReplicatedLog::onJoinRequest(const Message &message, base::TimePoint now)
{
    const bool isForwarded = message.to.generation != 0;
    if (state_ != State::Leader && leader_.node != 0 && leader_.node != message.from.node && !isForwarded) {
        // The sender knows only the nodes of its settings, and the leader may be another one.
        messages_.push_back(Message{message.cluster, message.from, leader_, message.term, JoinRequest{}});
    }
    const auto &nodes = settings_.nodes;
    const bool known =
        settings_.openMembership || std::find(nodes.begin(), nodes.end(), message.from.node) != nodes.end();
    if (state_ != State::Leader || !known || isChangeInProgress()
        || findMember(replicaSet(), message.from) != nullptr) {
        return;
    }
    ReplicaSet set = replicaSet();
    const base::TimePoint since = now - settings_.electionTimeout;
    std::size_t learners = 0;
    for (const Member &member : replicaSet().members) {
        if (member.voter) {
            continue;
        }
        if (member.id.node != message.from.node && isActiveSince(member.id, since)) {
            ++learners;
        } else {
            set = withoutMember(set, member.id);
        }
    }
    if (learners >= settings_.maxLearners) {
        return;
    }
    appendReplicaSet(withLearner(set, message.from), now);
}

// A learner has caught up once it holds all entries that were committed a heartbeat ago. If the set contains an earlier
// generation of its node, that is removed first and the learner is promoted by the next change, so that each change
// adds or removes one voter.
void ReplicatedLog::promoteLearner(base::TimePoint now)
{
    if (isChangeInProgress()) {
        return;
    }
    const base::TimePoint since = now - settings_.electionTimeout;
    for (const Member &member : replicaSet().members) {
        if (member.voter || !isActiveSince(member.id, since)) {
            continue;
        }
        const Progress &progress = progress_.at(member.id);
        if (progress.catchUpTarget == 0 || progress.matched < progress.catchUpTarget) {
            continue;
        }
        const Member *old = findOtherGeneration(replicaSet(), member.id);
        const std::size_t voters = voterCount(replicaSet());
        if (old == nullptr && voters >= settings_.maxVoters + (findLostVoter(now) ? 1 : 0)) {
            continue;
        }
        const ReplicaSet set =
            old != nullptr ? withoutMember(replicaSet(), old->id) : withVoter(replicaSet(), member.id);
        if (hasMajority(set, [this, since](ReplicaId id) { return isActiveSince(id, since); })) {
            appendReplicaSet(set, now);
        }
        return;
    }
}

// Returns a voter that is to be replaced: its node has returned with an empty disk, or it has been silent for
// `replaceSilentAfter`.
std::optional<ReplicaId> ReplicatedLog::findLostVoter(base::TimePoint now) const
{
    for (const Member &member : replicaSet().members) {
        const bool silent =
            settings_.replaceSilentAfter.count() > 0 && !isActiveSince(member.id, now - settings_.replaceSilentAfter);
        if (member.voter && (silent || findOtherGeneration(replicaSet(), member.id) != nullptr)) {
            return member.id;
        }
    }
    return std::nullopt;
}

// Removes a lost voter only while there are more than `maxVoters`, that is after its replacement has been promoted, so
// that the number of voters never drops below the target.
void ReplicatedLog::removeReplacedVoter(base::TimePoint now)
{
    const auto lost = findLostVoter(now);
    if (!lost || isChangeInProgress() || voterCount(replicaSet()) <= settings_.maxVoters) {
        return;
    }
    const ReplicaSet set = withoutMember(replicaSet(), *lost);
    const base::TimePoint since = now - settings_.electionTimeout;
    if (hasMajority(set, [this, since](ReplicaId id) { return isActiveSince(id, since); })) {
        appendReplicaSet(set, now);
    }
}

tl::expected<Position, ProposeError> ReplicatedLog::removeReplica(ReplicaId id, base::TimePoint now)
{
    if (state_ != State::Leader) {
        return tl::unexpected(ProposeError{ProposeFailure::NotLeader, leader_});
    }
    if (isChangeInProgress()) {
        return tl::unexpected(ProposeError{ProposeFailure::ChangeInProgress, self()});
    }
    const ReplicaSet set = withoutMember(replicaSet(), id);
    if (voterCount(set) == 0) {
        return tl::unexpected(ProposeError{ProposeFailure::LastVoter, self()});
    }
    appendReplicaSet(set, now);
    return Position{buffer_.lastIndex(), term()};
}

} // namespace yuccawheel::coordination
