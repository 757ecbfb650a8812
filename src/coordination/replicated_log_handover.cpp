#include "coordination/replicated_log.h"

namespace yuccawheel::coordination
{

// Leadership transfer as in section 3.10 of Ongaro's thesis: the leader accepts no more proposals, brings the log of
// its successor up to date, and tells it to start an election at once. The vote requests carry the `handover` flag,
// because replicas in contact with a leader refuse others (section 4.2.3).
bool ReplicatedLog::handOverLeadership(base::TimePoint now)
{
    if (state_ != State::Leader || findSuccessor(now) == ReplicaId{}) {
        return false;
    }
    handoverDeadline_ = now + settings_.electionTimeout;
    handoverSent_ = false;
    return true;
}

// Returns the active voter with the longest log, or an identity with node 0.
ReplicaId ReplicatedLog::findSuccessor(base::TimePoint now) const
{
    const base::TimePoint since = now - settings_.electionTimeout;
    ReplicaId best;
    Index held = 0;
    for (const auto &[id, progress] : progress_) {
        if (isVoter(replicaSet(), id) && isActiveSince(id, since) && (best == ReplicaId{} || progress.matched > held)) {
            best = id;
            held = progress.matched;
        }
    }
    return best;
}

// Unlike in the thesis, the leader waits until its whole log is committed, so that every proposal is answered before it
// steps down.
void ReplicatedLog::continueHandover(base::TimePoint now)
{
    if (!handoverDeadline_ || handoverSent_ || committed_ < buffer_.lastIndex()) {
        return;
    }
    const ReplicaId next = findSuccessor(now);
    if (next != ReplicaId{} && progress_.at(next).matched == buffer_.lastIndex()) {
        handoverSent_ = true;
        successorAsked_ = true;
        send(next, term(), HandoverRequest{});
    }
}

// A request to take over has no expiry, and the vote requests that follow from it override what the voters have
// promised to this leader, so after one this leader can't rely on a lease in this term any more. In the next term it
// can: a late request asks for votes of that term only, which has at most one leader.
void ReplicatedLog::giveUpHandover(base::TimePoint now)
{
    handoverDeadline_.reset();
    if (!successorAsked_) {
        return;
    }
    becomeFollower(term(), ReplicaId{}, now);
    if (isVoter(replicaSet(), self())) {
        startElection(now, true);
    }
}

void ReplicatedLog::onHandoverRequest(const Message &message, base::TimePoint now)
{
    if (state_ == State::Follower && message.from == leader_ && isVoter(replicaSet(), self())) {
        startElection(now, true);
    }
}

} // namespace yuccawheel::coordination
