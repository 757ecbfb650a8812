#include "routing/loan_manager.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <utility>

namespace yuccawheel::routing
{

namespace
{

/// Clocks of two VMs may differ in rate by this fraction; the lender waits longer by it.
constexpr std::int64_t DriftDivisor = 50;
constexpr std::uint32_t ReserveForLocal = 1;
constexpr std::uint32_t ReserveForRemote = 2;
constexpr unsigned IncarnationShift = 32;

} // namespace

LoanManager::LoanManager(LoanOptions options, UpstreamTable &table, base::TimePoint now)
    : options_(std::move(options))
    , table_(table)
    , startedAt_(now)
    , lastQuery_(now - options_.queryInterval)
{
    for (const EntryInfo &entry : options_.entries) {
        if (entry.entry != options_.entry) {
            unanswered_.insert(entry.entry);
        }
    }
    graceful_ = !unanswered_.empty();
}

// An upstream that reports no request in progress proves that none of a former process of this entry is left.
void LoanManager::assignShare(UpstreamIndex index, bool heardDirectly)
{
    Upstream &upstream = table_.at(index);
    const auto owners = entriesOf(upstream.zone, upstream.info.executor);
    const auto rank =
        static_cast<std::size_t>(std::find(owners.begin(), owners.end(), options_.entry) - owners.begin());
    const std::uint32_t slots = std::min(upstream.info.slots, upstream.info.connections);
    upstream.share.setBase(fixedShare(slots, rank, owners.size()),
                           fixedShare(upstream.info.connections, rank, owners.size()));
    if (heardDirectly && upstream.info.running == std::uint32_t{0}) {
        idleSinceStart_.insert(index);
    }
    liftWithholding(index);
}

void LoanManager::handle(const ShareMessage &message, bool needed, base::TimePoint now)
{
    switch (message.kind) {
    case ShareMessageKind::LoanRequest:
        handleRequest(message, needed, now);
        break;
    case ShareMessageKind::LoanGrant:
        handleGrant(message, now);
        break;
    case ShareMessageKind::LoanReturn:
        if (Upstream *upstream = table_.find(message.executor)) {
            upstream->share.takeBack(message.id, message.from);
        }
        break;
    case ShareMessageKind::LoansQuery:
        handleQuery(message, now);
        break;
    case ShareMessageKind::LoanHeld:
        handleHeld(message, now);
        break;
    case ShareMessageKind::LoansHeldEnd:
        handleHeldEnd(message);
        break;
    case ShareMessageKind::ShutdownNotice:
        formerSelves_[message.from] = FormerSelf{message.incarnation, 0};
        break;
    }
}

// Keeps a slot back for this entry's own callers, two from entries of other zones: the zone's own come first.
void LoanManager::handleRequest(const ShareMessage &message, bool needed, base::TimePoint now)
{
    std::uint32_t granted = 0;
    Upstream *upstream = table_.find(message.executor);
    if (upstream != nullptr && !needed && table_.serving(*upstream, now)) {
        const auto borrower = std::find_if(options_.entries.begin(),
                                           options_.entries.end(),
                                           [&](const EntryInfo &entry) { return entry.entry == message.from; });
        const bool sameZone = borrower != options_.entries.end() && borrower->zone == options_.zone;
        const std::uint32_t share = upstream->share.base();
        const std::uint32_t reserve =
            std::min(share > 0 ? share - 1 : 0, sameZone ? ReserveForLocal : ReserveForRemote);
        const base::TimePoint until = now + lenderTerm(options_.term);
        granted = upstream->share.lend(message.id, message.from, message.slots, reserve, until, now);
    }
    ShareMessage &answer = send(ShareMessageKind::LoanGrant, message.from, message.executor, message.id);
    answer.slots = granted;
    answer.term = options_.term;
}

// The term counts from the sending of the request, which is before the lender's count began.
// A grant that comes too late is given back, but never a second copy of one in use, nor one that a former process of
// this entry may have used: the lender waits for those to expire.
void LoanManager::handleGrant(const ShareMessage &message, base::TimePoint now)
{
    const Upstream *known = table_.find(message.executor);
    const auto ask = std::find_if(asks_.begin(), asks_.end(), [&](const Ask &candidate) {
        return candidate.id == message.id && message.id != 0;
    });
    if (known == nullptr || ask == asks_.end() || ask->lender != message.from) {
        const bool ours = message.id >> IncarnationShift == (options_.incarnation & UINT32_MAX);
        const bool taken = known != nullptr && known->share.hasTaken(message.id);
        if (message.slots > 0 && ours && !taken) {
            send(ShareMessageKind::LoanReturn, message.from, message.executor, message.id);
        }
        return;
    }
    ask->id = 0;
    ask->notBefore = now + (message.slots == 0 ? options_.askPause : base::Duration{0});
    if (message.slots > 0) {
        Upstream &upstream = *table_.find(message.executor);
        upstream.share.addBorrowed(message.id, message.from, message.slots, ask->sentAt + message.term, now);
    }
}

// The asker's former process can't use its loans any more, but requests that it sent may still run for the grace time.
// Grants that the former process sent and that are still on their way must not be used after this answer.
void LoanManager::handleQuery(const ShareMessage &message, base::TimePoint now)
{
    for (Ask &ask : asks_) {
        if (ask.lender == message.from) {
            ask.id = 0;
        }
    }
    std::uint32_t count = 0;
    for (UpstreamIndex index = 0; index < table_.size(); ++index) {
        Upstream &upstream = table_.at(index);
        upstream.share.shortenGiven(message.from, message.incarnation << IncarnationShift, now + options_.abandonGrace);
        for (const Loan &loan : upstream.share.loansTaken()) {
            if (loan.entry == message.from) {
                ShareMessage &held = send(ShareMessageKind::LoanHeld, message.from, upstream.info.executor, loan.id);
                held.slots = loan.slots;
                held.term = std::max(loan.until - now, base::Duration{0});
                held.incarnation = message.incarnation;
                held.query = message.query;
                ++count;
            }
        }
    }
    FormerSelf &former = formerSelves_[message.from];
    if (former.successor == 0) {
        former.successor = message.incarnation;
    }
    ShareMessage &end = send(ShareMessageKind::LoansHeldEnd, message.from, "", 0);
    end.slots = count;
    end.incarnation = message.incarnation;
    end.query = message.query;
    end.graceful = former.farewell != 0 && former.successor == message.incarnation;
}

void LoanManager::handleHeld(const ShareMessage &message, base::TimePoint now)
{
    const bool expected = message.incarnation == options_.incarnation && unanswered_.contains(message.from);
    const auto index = table_.findOrReserve(message.executor);
    if (!expected || !index) {
        return;
    }
    HeldAnswer &answer = held_[message.from];
    if (answer.query != message.query) {
        answer = HeldAnswer{message.query, {}};
    }
    answer.loans.insert(message.id);
    table_.at(*index).share.restoreLent(message.id, message.from, message.slots, now + lenderTerm(message.term));
}

// An answer of which a part was lost doesn't count; the next query asks again.
void LoanManager::handleHeldEnd(const ShareMessage &message)
{
    const HeldAnswer &answer = held_[message.from];
    const std::size_t arrived = answer.query == message.query ? answer.loans.size() : 0;
    const bool expected = message.incarnation == options_.incarnation && unanswered_.contains(message.from);
    if (!expected || arrived < message.slots) {
        return;
    }
    graceful_ = graceful_ && message.graceful;
    unanswered_.erase(message.from);
    held_.erase(message.from);
    for (UpstreamIndex index = 0; index < table_.size(); ++index) {
        liftWithholding(index);
    }
}

std::uint32_t LoanManager::ask(UpstreamIndex index, std::uint32_t slots, base::TimePoint now)
{
    if (asks_.size() <= index) {
        asks_.resize(index + 1);
    }
    Ask &ask = asks_[index];
    if (ask.id != 0 || now < ask.notBefore) {
        return 0;
    }
    const Upstream &upstream = table_.at(index);
    auto lenders = entriesOf(upstream.zone, upstream.info.executor);
    std::erase(lenders, options_.entry);
    if (lenders.empty()) {
        return 0;
    }
    ask.lender = lenders[ask.nextLender++ % lenders.size()];
    ask.id = (options_.incarnation << IncarnationShift) | nextLoan_++;
    ask.sentAt = now;
    ShareMessage &message = send(ShareMessageKind::LoanRequest, ask.lender, upstream.info.executor, ask.id);
    message.slots = slots;
    message.term = options_.term;
    return slots;
}

void LoanManager::tick(base::TimePoint now)
{
    if (!unanswered_.empty() && now - lastQuery_ >= options_.queryInterval) {
        sendQueries(now);
    }
    std::vector<Loan> toReturn;
    for (UpstreamIndex index = 0; index < table_.size(); ++index) {
        Upstream &upstream = table_.at(index);
        toReturn.clear();
        upstream.share.expire(now - options_.idleReturn, now + options_.abandonGrace, now, toReturn);
        for (const Loan &loan : toReturn) {
            send(ShareMessageKind::LoanReturn, loan.entry, upstream.info.executor, loan.id);
        }
    }
    for (UpstreamIndex index = 0; index < asks_.size(); ++index) {
        Ask &ask = asks_[index];
        if (ask.id != 0 && now - ask.sentAt >= options_.askTimeout) {
            send(ShareMessageKind::LoanReturn, ask.lender, table_.at(index).info.executor, ask.id);
            ask.id = 0;
            ask.notBefore = now + options_.askPause;
        }
    }
}

// Before the recovery has ended, requests of an earlier process may still run, so no farewell is true yet.
void LoanManager::sayFarewell(base::TimePoint now)
{
    std::vector<Loan> toReturn;
    for (UpstreamIndex index = 0; index < table_.size(); ++index) {
        Upstream &upstream = table_.at(index);
        toReturn.clear();
        upstream.share.returnUnused(toReturn);
        for (const Loan &loan : toReturn) {
            send(ShareMessageKind::LoanReturn, loan.entry, upstream.info.executor, loan.id);
        }
    }
    for (const EntryInfo &entry : options_.entries) {
        if (entry.entry != options_.entry && isRecovered(now)) {
            send(ShareMessageKind::ShutdownNotice, entry.entry, "", 0).incarnation = options_.incarnation;
        }
    }
}

bool LoanManager::isRecovered(base::TimePoint now) const
{
    return now >= withheldUntil();
}

std::vector<ShareMessage> LoanManager::takeMessages()
{
    return std::exchange(messages_, {});
}

void LoanManager::sendQueries(base::TimePoint now)
{
    lastQuery_ = now;
    ++query_;
    for (const std::string &entry : unanswered_) {
        ShareMessage &message = send(ShareMessageKind::LoansQuery, entry, "", 0);
        message.incarnation = options_.incarnation;
        message.query = query_;
    }
}

void LoanManager::liftWithholding(UpstreamIndex index)
{
    const bool idle = unanswered_.empty() && idleSinceStart_.contains(index);
    table_.at(index).share.withholdAtMost(idle ? startedAt_ : withheldUntil());
}

// While an entry may still hold a loan of the former process, all shares wait for the longest term;
// once all have answered, only for requests that the former process left running.
base::TimePoint LoanManager::withheldUntil() const
{
    if (!unanswered_.empty()) {
        return startedAt_ + lenderTerm(options_.term);
    }
    return graceful_ ? startedAt_ : startedAt_ + options_.abandonGrace;
}

base::Duration LoanManager::lenderTerm(base::Duration term) const
{
    return term + term / DriftDivisor;
}

ShareMessage &LoanManager::send(ShareMessageKind kind, const std::string &to, std::string_view executor, LoanId id)
{
    ShareMessage &message = messages_.emplace_back();
    message.kind = kind;
    message.to = to;
    message.from = options_.entry;
    message.executor = executor;
    message.id = id;
    return message;
}

std::vector<std::string> LoanManager::entriesOf(std::string_view zone, std::string_view executor) const
{
    std::vector<std::string> names;
    for (const EntryInfo &entry : options_.entries) {
        if (entry.zone == zone) {
            names.push_back(entry.entry);
        }
    }
    return rendezvousOrder(executor, std::move(names));
}

} // namespace yuccawheel::routing
