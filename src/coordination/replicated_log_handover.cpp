#include "coordination/replicated_log.h"

namespace yuccawheel::coordination
{

// The extension of section 3.10 of Ongaro's thesis: the leader takes no more proposals, brings the successor's log up
// to date, and tells it to stand for election at once. The request to vote says that the leader wishes it, since the
// other replicas would refuse it while they hear the leader (section 4.2.3).
bool ReplicatedLog::handOverLeadership(base::TimePoint now)
{
    if (state_ != State::Leader || successor(now) == ReplicaId{}) {
        return false;
    }
    handoverUntil_ = now + settings_.electionTimeout;
    handoverSent_ = false;
    return true;
}

// Returns the voter that was heard of late and holds the most of the log, or a replica with node 0.
ReplicaId ReplicatedLog::successor(base::TimePoint now) const
{
    const base::TimePoint since = now - settings_.electionTimeout;
    ReplicaId best;
    Index held = 0;
    for (const auto &[id, progress] : progress_) {
        if (isVoter(replicaSet(), id) && heardSince(id, since) && (best == ReplicaId{} || progress.matched > held)) {
            best = id;
            held = progress.matched;
        }
    }
    return best;
}

// Departs from the thesis in one point: the leader waits until all of its log is committed, so that each proposal has
// its answer before it leaves.
void ReplicatedLog::continueHandover(base::TimePoint now)
{
    if (!handoverUntil_ || handoverSent_ || committed_ < buffer_.lastIndex()) {
        return;
    }
    const ReplicaId next = successor(now);
    if (next != ReplicaId{} && progress_.at(next).matched == buffer_.lastIndex()) {
        handoverSent_ = true;
        send(next, term(), HandoverRequest{});
    }
}

void ReplicatedLog::onHandoverRequest(const Message &message, base::TimePoint now)
{
    if (state_ == State::Follower && message.from == leader_ && isVoter(replicaSet(), self())) {
        startElection(now, true);
    }
}

} // namespace yuccawheel::coordination
