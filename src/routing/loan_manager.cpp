#include "routing/loan_manager.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <utility>

namespace yuccawheel::routing
{

namespace
{

/// The clock rates of two VMs differ by at most 1/50; the lender extends the term by this fraction.
constexpr std::int64_t ClockDriftDivisor = 50;
/// Slots kept free for this entry's own callers when lending.
constexpr std::uint32_t SameZoneReserve = 1;
constexpr std::uint32_t OtherZoneReserve = 2;
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
            unansweredEntries_.insert(entry.entry);
        }
    }
    graceful_ = !unansweredEntries_.empty();
}

// If an upstream reports no request in progress, no request of a previous process of this entry is left there.
void LoanManager::assignShare(UpstreamIndex index, bool heardDirectly)
{
    Upstream &upstream = table_.at(index);
    const auto owners = rankEntries(upstream.zone, upstream.info.executor);
    const auto rank =
        static_cast<std::size_t>(std::find(owners.begin(), owners.end(), options_.entry) - owners.begin());
    const std::uint32_t slots = std::min(upstream.info.slots, upstream.info.connections);
    upstream.share.setFixedShare(fixedShare(slots, rank, owners.size()),
                                 fixedShare(upstream.info.connections, rank, owners.size()));
    if (heardDirectly && upstream.info.running == std::uint32_t{0}) {
        idleSinceStart_.insert(index);
    }
    updateWithholding(index);
}

void LoanManager::handle(const ShareMessage &message, bool neededLocally, base::TimePoint now)
{
    switch (message.kind) {
    case ShareMessageKind::LoanRequest:
        handleRequest(message, neededLocally, now);
        break;
    case ShareMessageKind::LoanGrant:
        handleGrant(message, now);
        break;
    case ShareMessageKind::LoanReturn:
        if (Upstream *upstream = table_.find(message.executor)) {
            upstream->share.reclaimLoan(message.id, message.from);
        }
        break;
    case ShareMessageKind::HeldLoansQuery:
        handleQuery(message, now);
        break;
    case ShareMessageKind::HeldLoan:
        handleHeld(message, now);
        break;
    case ShareMessageKind::HeldLoansEnd:
        handleHeldEnd(message);
        break;
    case ShareMessageKind::ShutdownNotice:
        previousProcesses_[message.from] = PreviousProcess{message.incarnation, 0};
        break;
    }
}

// Reserves one slot for this entry's own callers, and two if the borrower is in another zone: entries of the own zone
// have precedence.
void LoanManager::handleRequest(const ShareMessage &message, bool neededLocally, base::TimePoint now)
{
    std::uint32_t granted = 0;
    Upstream *upstream = table_.find(message.executor);
    if (upstream != nullptr && !neededLocally && table_.isServing(*upstream, now)) {
        const auto borrower = std::find_if(options_.entries.begin(),
                                           options_.entries.end(),
                                           [&](const EntryInfo &entry) { return entry.entry == message.from; });
        const bool sameZone = borrower != options_.entries.end() && borrower->zone == options_.zone;
        const std::uint32_t share = upstream->share.fixedSlots();
        const std::uint32_t reserve =
            std::min(share > 0 ? share - 1 : 0, sameZone ? SameZoneReserve : OtherZoneReserve);
        const base::TimePoint until = now + termAtLender(options_.term);
        granted = upstream->share.lend(message.id, message.from, message.slots, reserve, until, now);
    }
    ShareMessage &answer = send(ShareMessageKind::LoanGrant, message.from, message.executor, message.id);
    answer.slots = granted;
    answer.term = options_.term;
}

// The borrower counts the term from when it sent the request, so its loan ends before the lender's.
// A late grant is returned. A duplicate of a borrowed loan, or a loan that a previous process may have used, is not:
// attempts may use its slots, so the lender waits until it expires.
void LoanManager::handleGrant(const ShareMessage &message, base::TimePoint now)
{
    const Upstream *known = table_.find(message.executor);
    const auto request = std::find_if(requests_.begin(), requests_.end(), [&](const PendingRequest &candidate) {
        return candidate.id == message.id && message.id != 0;
    });
    if (known == nullptr || request == requests_.end() || request->lender != message.from) {
        const bool requestedByThisProcess = message.id >> IncarnationShift == (options_.incarnation & UINT32_MAX);
        const bool alreadyBorrowed = known != nullptr && known->share.hasBorrowed(message.id);
        if (message.slots > 0 && requestedByThisProcess && !alreadyBorrowed) {
            send(ShareMessageKind::LoanReturn, message.from, message.executor, message.id);
        }
        return;
    }
    request->id = 0;
    request->notBefore = now + (message.slots == 0 ? options_.requestBackoff : base::Duration{0});
    if (message.slots > 0) {
        Upstream &upstream = *table_.find(message.executor);
        upstream.share.addBorrowedLoan(message.id, message.from, message.slots, request->sentAt + message.term, now);
    }
}

// The previous process of the querying entry no longer uses its loans, but its requests may run for the grace time.
// Grants from that process that arrive after this answer must not be used, so pending loan requests to it are
// cancelled.
void LoanManager::handleQuery(const ShareMessage &message, base::TimePoint now)
{
    for (PendingRequest &request : requests_) {
        if (request.lender == message.from) {
            request.id = 0;
        }
    }
    std::uint32_t count = 0;
    for (UpstreamIndex index = 0; index < table_.size(); ++index) {
        Upstream &upstream = table_.at(index);
        upstream.share.shortenLentLoans(
            message.from, message.incarnation << IncarnationShift, now + options_.abandonGrace);
        for (const Loan &loan : upstream.share.borrowedLoans()) {
            if (loan.peer == message.from) {
                ShareMessage &held = send(ShareMessageKind::HeldLoan, message.from, upstream.info.executor, loan.id);
                held.slots = loan.slots;
                held.term = std::max(loan.expiresAt - now, base::Duration{0});
                held.incarnation = message.incarnation;
                held.query = message.query;
                ++count;
            }
        }
    }
    PreviousProcess &previous = previousProcesses_[message.from];
    if (previous.successor == 0) {
        previous.successor = message.incarnation;
    }
    ShareMessage &end = send(ShareMessageKind::HeldLoansEnd, message.from, "", 0);
    end.slots = count;
    end.incarnation = message.incarnation;
    end.query = message.query;
    end.graceful = previous.shutdownIncarnation != 0 && previous.successor == message.incarnation;
}

void LoanManager::handleHeld(const ShareMessage &message, base::TimePoint now)
{
    const bool expected = message.incarnation == options_.incarnation && unansweredEntries_.contains(message.from);
    const auto index = table_.findOrReserve(message.executor);
    if (!expected || !index) {
        return;
    }
    HeldLoansReply &answer = heldReplies_[message.from];
    if (answer.query != message.query) {
        answer = HeldLoansReply{message.query, {}};
    }
    answer.loans.insert(message.id);
    table_.at(*index).share.restoreLentLoan(message.id, message.from, message.slots, now + termAtLender(message.term));
}

// An incomplete answer is ignored; the query is repeated.
void LoanManager::handleHeldEnd(const ShareMessage &message)
{
    const HeldLoansReply &answer = heldReplies_[message.from];
    const std::size_t arrived = answer.query == message.query ? answer.loans.size() : 0;
    const bool expected = message.incarnation == options_.incarnation && unansweredEntries_.contains(message.from);
    if (!expected || arrived < message.slots) {
        return;
    }
    graceful_ = graceful_ && message.graceful;
    unansweredEntries_.erase(message.from);
    heldReplies_.erase(message.from);
    for (UpstreamIndex index = 0; index < table_.size(); ++index) {
        updateWithholding(index);
    }
}

std::uint32_t LoanManager::requestSlots(UpstreamIndex index, std::uint32_t slots, base::TimePoint now)
{
    if (requests_.size() <= index) {
        requests_.resize(index + 1);
    }
    PendingRequest &request = requests_[index];
    if (request.id != 0 || now < request.notBefore) {
        return 0;
    }
    const Upstream &upstream = table_.at(index);
    auto lenders = rankEntries(upstream.zone, upstream.info.executor);
    std::erase(lenders, options_.entry);
    if (lenders.empty()) {
        return 0;
    }
    request.lender = lenders[request.nextLender++ % lenders.size()];
    request.id = (options_.incarnation << IncarnationShift) | nextLoan_++;
    request.sentAt = now;
    ShareMessage &message = send(ShareMessageKind::LoanRequest, request.lender, upstream.info.executor, request.id);
    message.slots = slots;
    message.term = options_.term;
    return slots;
}

void LoanManager::tick(base::TimePoint now)
{
    if (!unansweredEntries_.empty() && now - lastQuery_ >= options_.queryInterval) {
        sendQueries(now);
    }
    std::vector<Loan> toReturn;
    for (UpstreamIndex index = 0; index < table_.size(); ++index) {
        Upstream &upstream = table_.at(index);
        toReturn.clear();
        upstream.share.expireLoans(now - options_.idleTimeout, now + options_.abandonGrace, now, toReturn);
        for (const Loan &loan : toReturn) {
            send(ShareMessageKind::LoanReturn, loan.peer, upstream.info.executor, loan.id);
        }
    }
    for (UpstreamIndex index = 0; index < requests_.size(); ++index) {
        PendingRequest &request = requests_[index];
        if (request.id != 0 && now - request.sentAt >= options_.requestTimeout) {
            send(ShareMessageKind::LoanReturn, request.lender, table_.at(index).info.executor, request.id);
            request.id = 0;
            request.notBefore = now + options_.requestBackoff;
        }
    }
}

// Until the recovery is complete, requests of a previous process may still run, so no ShutdownNotice is sent.
void LoanManager::announceShutdown(base::TimePoint now)
{
    std::vector<Loan> toReturn;
    for (UpstreamIndex index = 0; index < table_.size(); ++index) {
        Upstream &upstream = table_.at(index);
        toReturn.clear();
        upstream.share.removeUnusedLoans(toReturn);
        for (const Loan &loan : toReturn) {
            send(ShareMessageKind::LoanReturn, loan.peer, upstream.info.executor, loan.id);
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
    ++queryNumber_;
    for (const std::string &entry : unansweredEntries_) {
        ShareMessage &message = send(ShareMessageKind::HeldLoansQuery, entry, "", 0);
        message.incarnation = options_.incarnation;
        message.query = queryNumber_;
    }
}

void LoanManager::updateWithholding(UpstreamIndex index)
{
    const bool idle = unansweredEntries_.empty() && idleSinceStart_.contains(index);
    table_.at(index).share.limitWithholding(idle ? startedAt_ : withheldUntil());
}

// Until all entries have answered, one may hold a loan from the previous process, so all shares are withheld for the
// full term. Afterwards they are withheld for requests that the previous process left running, unless it shut down
// gracefully.
base::TimePoint LoanManager::withheldUntil() const
{
    if (!unansweredEntries_.empty()) {
        return startedAt_ + termAtLender(options_.term);
    }
    return graceful_ ? startedAt_ : startedAt_ + options_.abandonGrace;
}

base::Duration LoanManager::termAtLender(base::Duration term) const
{
    return term + term / ClockDriftDivisor;
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

std::vector<std::string> LoanManager::rankEntries(std::string_view zone, std::string_view executor) const
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
