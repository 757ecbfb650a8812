#include "base/invariant.h"
#include "coordination/replicated_log.h"

#include <algorithm>

namespace yuccawheel::coordination
{

// SplitMix64: replicas with different seeds choose different timeouts, and a run can be repeated.
std::uint64_t ReplicatedLog::nextRandom()
{
    random_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t value = random_;
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
    YW_INVARIANT(term >= hardState_.term, "the term must not fall");
    if (term > hardState_.term) {
        hardState_.term = term;
        hardState_.votedFor = ReplicaId{};
        hardStateDirty_ = true;
    }
    if (state_ == State::Leader) {
        refuseReads();
        progress_.clear();
        handoverUntil_.reset();
        uncommittedBytes_ = 0;
    }
    state_ = State::Follower;
    leader_ = leader;
    votes_.clear();
    resetElectionTimer(now);
}

// Asks first whether an election could be won, so that a replica that was cut off does not raise the term on its
// return.
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
    if (!majorityOf(replicaSet(), [this](ReplicaId id) { return votes_.contains(id); })) {
        return;
    }
    if (state_ == State::PreCandidate) {
        startElection(now, false);
    } else {
        becomeLeader(now);
    }
}

// The empty entry commits what earlier terms left behind: entries of earlier terms never commit by counting copies.
void ReplicatedLog::becomeLeader(base::TimePoint now)
{
    YW_INVARIANT(state_ == State::Candidate, "only a candidate with a majority of votes becomes leader");
    state_ = State::Leader;
    leader_ = self();
    uncommittedBytes_ = 0;
    for (Index index = committed_ + 1; index <= buffer_.lastIndex(); ++index) {
        uncommittedBytes_ += sizeOf(buffer_.at(index));
    }
    round_ = 0;
    roundStarts_.clear();
    progress_.clear();
    appendOwn(EntryKind::TermStart, {});
    termStart_ = buffer_.lastIndex();
    syncProgressWithSet(now);
    nextQuorumCheck_ = now + settings_.electionTimeout;
    heartbeat(now);
}

// A replica that hears a leader, or is one, takes no part in elections: a replica that was removed or cannot hear the
// leader must not disturb the others.
bool ReplicatedLog::hearsLeader(base::TimePoint now) const
{
    // A restarted replica has forgotten whom it heard. On a new cluster there is nobody to have heard.
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
        const bool granted = member && upToDate && message.term > term() && !hearsLeader(now);
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

// A leader that no majority has answered for an election timeout steps down: it can commit nothing, and its clients
// should look for another one.
void ReplicatedLog::checkQuorum(base::TimePoint now)
{
    if (now < nextQuorumCheck_) {
        return;
    }
    nextQuorumCheck_ = now + settings_.heartbeatInterval;
    const base::TimePoint since = now - settings_.electionTimeout;
    if (!majorityOf(replicaSet(), [this, since](ReplicaId id) { return heardSince(id, since); })) {
        becomeFollower(term(), ReplicaId{}, now);
    }
}

} // namespace yuccawheel::coordination
