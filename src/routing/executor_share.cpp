#include "routing/executor_share.h"

#include "base/invariant.h"

#include <algorithm>
#include <cstdint>

namespace yuccawheel::routing
{

void ExecutorShare::setBase(std::uint32_t slots, std::uint32_t connections)
{
    base_ = std::min(slots, connections);
    connections_ = connections;
}

void ExecutorShare::withholdAtMost(base::TimePoint until)
{
    withheldUntil_ = std::min(withheldUntil_, until);
}

// Own slots first: a borrowed slot goes back sooner if it stays unused.
LoanId ExecutorShare::acquire(base::TimePoint end, base::TimePoint now)
{
    if (ownFree(now) > 0) {
        ++ownInUse_;
        check();
        return OwnShare;
    }
    for (Loan &loan : taken_) {
        if (loan.inUse < loan.slots && loan.until >= end) {
            ++loan.inUse;
            loan.lastUsed = now;
            return loan.id;
        }
    }
    YW_INVARIANT(false, "a slot is taken only while one is available");
    return OwnShare;
}

void ExecutorShare::release(LoanId loan, base::TimePoint now)
{
    if (loan == OwnShare) {
        YW_INVARIANT(ownInUse_ > 0, "a slot is released once");
        --ownInUse_;
        return;
    }
    for (Loan &candidate : taken_) {
        if (candidate.id == loan) {
            YW_INVARIANT(candidate.inUse > 0, "a borrowed slot is released once");
            --candidate.inUse;
            candidate.lastUsed = now;
            return;
        }
    }
    YW_INVARIANT(false, "a loan in use is never dropped");
}

std::uint32_t ExecutorShare::available(base::TimePoint end, base::TimePoint now) const
{
    std::uint32_t slots = ownFree(now);
    for (const Loan &loan : taken_) {
        if (loan.until >= end) {
            slots += loan.slots - loan.inUse;
        }
    }
    return slots;
}

std::uint32_t ExecutorShare::base() const
{
    return base_;
}

std::uint32_t ExecutorShare::inUse() const
{
    std::uint32_t slots = ownInUse_;
    for (const Loan &loan : taken_) {
        slots += loan.inUse;
    }
    return slots;
}

std::uint32_t ExecutorShare::lent() const
{
    return lent_;
}

std::uint32_t ExecutorShare::borrowed(base::TimePoint now) const
{
    std::uint32_t slots = 0;
    for (const Loan &loan : taken_) {
        slots += loan.until > now ? loan.slots : 0;
    }
    return slots;
}

std::uint32_t ExecutorShare::usable(base::TimePoint now) const
{
    return ownFree(now) + ownInUse_ + borrowed(now);
}

std::uint32_t ExecutorShare::connectionLimit(base::TimePoint now) const
{
    const std::uint32_t own = withheld(now) || connections_ < lent_ ? 0 : connections_ - lent_;
    return own + borrowed(now);
}

bool ExecutorShare::withheld(base::TimePoint now) const
{
    return now < withheldUntil_;
}

std::uint32_t ExecutorShare::lend(LoanId id,
                                  const std::string &borrower,
                                  std::uint32_t wanted,
                                  std::uint32_t reserve,
                                  base::TimePoint until,
                                  base::TimePoint now)
{
    for (const Loan &loan : given_) {
        if (loan.id == id && loan.entry == borrower) {
            return loan.slots;
        }
    }
    const std::uint32_t free = ownFree(now);
    const std::uint32_t slots = free > reserve ? std::min(wanted, free - reserve) : 0;
    if (slots > 0) {
        restoreLent(id, borrower, slots, until);
        check();
    }
    return slots;
}

void ExecutorShare::restoreLent(LoanId id, const std::string &borrower, std::uint32_t slots, base::TimePoint until)
{
    const bool known = std::any_of(
        given_.begin(), given_.end(), [&](const Loan &loan) { return loan.id == id && loan.entry == borrower; });
    if (!known) {
        given_.push_back(Loan{id, borrower, slots, until, 0, {}});
        lent_ += slots;
    }
}

void ExecutorShare::takeBack(LoanId id, const std::string &borrower)
{
    std::erase_if(given_, [&](const Loan &loan) {
        const bool matches = loan.id == id && loan.entry == borrower;
        lent_ -= matches ? loan.slots : 0;
        return matches;
    });
}

void ExecutorShare::shortenGiven(const std::string &borrower, LoanId first, base::TimePoint until)
{
    for (Loan &loan : given_) {
        const bool present = loan.id > first && loan.id - first <= UINT32_MAX;
        if (loan.entry == borrower && !present) {
            loan.until = std::min(loan.until, until);
        }
    }
}

void ExecutorShare::addBorrowed(
    LoanId id, const std::string &lender, std::uint32_t slots, base::TimePoint until, base::TimePoint now)
{
    taken_.push_back(Loan{id, lender, slots, until, 0, now});
}

// A loan in use is kept even past its end: attempts on it were only started if they end before it does.
void ExecutorShare::expire(base::TimePoint idleSince,
                           base::TimePoint end,
                           base::TimePoint now,
                           std::vector<Loan> &toReturn)
{
    std::erase_if(given_, [&](const Loan &loan) {
        const bool expired = loan.until <= now;
        lent_ -= expired ? loan.slots : 0;
        return expired;
    });
    std::erase_if(taken_, [&](const Loan &loan) {
        const bool done = loan.inUse == 0 && (loan.lastUsed <= idleSince || loan.until < end);
        if (done) {
            toReturn.push_back(loan);
        }
        return done;
    });
}

void ExecutorShare::returnUnused(std::vector<Loan> &toReturn)
{
    std::erase_if(taken_, [&](const Loan &loan) {
        if (loan.inUse == 0) {
            toReturn.push_back(loan);
        }
        return loan.inUse == 0;
    });
}

bool ExecutorShare::hasTaken(LoanId id) const
{
    return std::any_of(taken_.begin(), taken_.end(), [id](const Loan &loan) { return loan.id == id; });
}

const std::vector<Loan> &ExecutorShare::loansTaken() const
{
    return taken_;
}

std::uint32_t ExecutorShare::ownFree(base::TimePoint now) const
{
    const std::uint32_t taken = ownInUse_ + lent_;
    return withheld(now) || taken >= base_ ? 0 : base_ - taken;
}

void ExecutorShare::check() const
{
    YW_INVARIANT(ownInUse_ + lent_ <= base_, "slots in use and lent stay within the entry's share");
}

std::uint32_t fixedShare(std::uint32_t total, std::size_t rank, std::size_t entries)
{
    if (rank >= entries) {
        return 0;
    }
    const auto count = static_cast<std::uint32_t>(entries);
    return total / count + (rank < total % count ? 1 : 0);
}

} // namespace yuccawheel::routing
