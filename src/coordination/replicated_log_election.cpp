#include "base/invariant.h"
#include "coordination/replicated_log.h"

#include <algorithm>

namespace yuccawheel::coordination
{

// SplitMix64: a deterministic generator, so that a run can be repeated from its seed.
std::uint64_t ReplicatedLog::nextRandom()
{
    randomState_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t value = randomState_;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

void ReplicatedLog::resetElectionTimer(base::TimePoint now)
{
    const auto spread = std::max<std::int64_t>(1, settings_.electionJitter.count());
    const auto extra = std::chrono::milliseconds(static_cast<std::int64_t>(nextRandom() % spread));
    electionDeadline_ = now + settings_.electionTimeout + extra;
}

void ReplicatedLog::becomeFollower(Term term, ReplicaId leader, base::TimePoint now)
{
    YW_INVARIANT(term >= hardState_.term, "the term must not decrease");
    if (term > hardState_.term) {
        hardState_.term = term;
        hardState_.votedFor = ReplicaId{};
        hardStateDirty_ = true;
    }
    if (state_ == State::Leader) {
        refuseReads();
        progress_.clear();
        handoverDeadline_.reset();
        successorAsked_ = false;
        uncommittedBytes_ = 0;
    }
    state_ = State::Follower;
    leader_ = leader;
    votes_.clear();
    resetElectionTimer(now);
}

// Asks whether an election could be won before starting one, so that a replica that was partitioned does not raise the
// term when it reconnects.
void ReplicatedLog::startPreVote(base::TimePoint now)
{
    state_ = State::PreCandidate;
    leader_ = ReplicaId{};
    votes_ = {self()};
    resetElectionTimer(now);
    requestVotes(VoteRequest{true, buffer_.lastIndex(), buffer_.lastTerm(), false}, term() + 1);
    countVotes(now);
}

void ReplicatedLog::startElection(base::TimePoint now, bool handover)
{
    state_ = State::Candidate;
    leader_ = ReplicaId{};
    hardState_.term += 1;
    hardState_.votedFor = self();
    hardStateDirty_ = true;
    votes_ = {self()};
    resetElectionTimer(now);
    requestVotes(VoteRequest{false, buffer_.lastIndex(), buffer_.lastTerm(), handover}, term());
    countVotes(now);
}

void ReplicatedLog::requestVotes(const VoteRequest &request, Term term)
{
    for (const Member &member : replicaSet().members) {
        if (member.voter && member.id != self()) {
            send(member.id, term, request);
        }
    }
}

void ReplicatedLog::countVotes(base::TimePoint now)
{
    if (!hasMajority(replicaSet(), [this](ReplicaId id) { return votes_.contains(id); })) {
        return;
    }
    if (state_ == State::PreCandidate) {
        startElection(now, false);
    } else {
        becomeLeader(now);
    }
}

// Appends an empty entry, because entries of earlier terms are not committed by counting copies but only together with
// an entry of the current term.
void ReplicatedLog::becomeLeader(base::TimePoint now)
{
    YW_INVARIANT(state_ == State::Candidate, "only a candidate may become leader");
    state_ = State::Leader;
    leader_ = self();
    uncommittedBytes_ = 0;
    for (Index index = committed_ + 1; index <= buffer_.lastIndex(); ++index) {
        uncommittedBytes_ += sizeOf(buffer_.at(index));
    }
    round_ = 0;
    roundStarts_.clear();
    progress_.clear();
    appendAsLeader(EntryKind::TermStart, {});
    termStartIndex_ = buffer_.lastIndex();
    syncProgressWithSet(now);
    nextQuorumCheck_ = now + settings_.electionTimeout;
    broadcastHeartbeat(now);
}

// A replica in contact with a leader, or leading itself, ignores vote requests, so that a replica that was removed or
// is partitioned from the leader does not disrupt the others.
bool ReplicatedLog::isLeaderActive(base::TimePoint now) const
{
    // After a restart the last contact with a leader is unknown, so a lease may still be valid. In term 1 no leader has
    // been elected yet.
    if (settings_.leaderLease && now - startedAt_ < settings_.electionTimeout && term() > 1) {
        return true;
    }
    if (state_ == State::Leader) {
        return true;
    }
    return leader_ != ReplicaId{} && now - lastLeaderContact_ < settings_.electionTimeout;
}

void ReplicatedLog::onVoteRequest(const Message &message, const VoteRequest &request, base::TimePoint now)
{
    const bool upToDate = request.lastTerm > buffer_.lastTerm()
        || (request.lastTerm == buffer_.lastTerm() && request.lastIndex >= buffer_.lastIndex());
    const bool member = findMember(replicaSet(), self()) != nullptr;
    if (request.preVote) {
        const bool granted = member && upToDate && message.term > term() && !isLeaderActive(now);
        send(message.from, granted ? message.term : term(), VoteResponse{true, granted});
        return;
    }
    const bool free = hardState_.votedFor == ReplicaId{} || hardState_.votedFor == message.from;
    const bool granted = member && upToDate && free && leader_ == ReplicaId{};
    if (granted) {
        becomeFollower(term(), ReplicaId{}, now);
        hardState_.votedFor = message.from;
        hardStateDirty_ = true;
    }
    send(message.from, term(), VoteResponse{false, granted});
}

void ReplicatedLog::onVoteResponse(const Message &message, const VoteResponse &response, base::TimePoint now)
{
    const State wanted = response.preVote ? State::PreCandidate : State::Candidate;
    const Term wantedTerm = response.preVote ? term() + 1 : term();
    if (state_ != wanted || !response.granted || message.term != wantedTerm) {
        return;
    }
    votes_.insert(message.from);
    countVotes(now);
}

// A leader steps down if no majority has responded within an election timeout: it cannot commit entries, and its
// clients should look for another leader.
void ReplicatedLog::checkQuorum(base::TimePoint now)
{
    if (now < nextQuorumCheck_) {
        return;
    }
    nextQuorumCheck_ = now + settings_.heartbeatInterval;
    const base::TimePoint since = now - settings_.electionTimeout;
    if (!hasMajority(replicaSet(), [this, since](ReplicaId id) { return isActiveSince(id, since); })) {
        becomeFollower(term(), ReplicaId{}, now);
    }
}

} // namespace yuccawheel::coordination
