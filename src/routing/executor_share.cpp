#include "routing/executor_share.h"

#include "base/invariant.h"

#include <algorithm>
#include <cstdint>

namespace yuccawheel::routing
{

void ExecutorShare::setFixedShare(std::uint32_t slots, std::uint32_t connections)
{
    fixedSlots_ = std::min(slots, connections);
    fixedConnections_ = connections;
}

void ExecutorShare::limitWithholding(base::TimePoint until)
{
    withheldUntil_ = std::min(withheldUntil_, until);
}

// Prefers own slots, so that borrowed ones become idle and are returned sooner.
LoanId ExecutorShare::acquire(base::TimePoint end, base::TimePoint now)
{
    if (freeOwnSlots(now) > 0) {
        ++ownSlotsInUse_;
        checkInvariants();
        return OwnShare;
    }
    for (Loan &loan : borrowedLoans_) {
        if (loan.inUse < loan.slots && loan.expiresAt >= end) {
            ++loan.inUse;
            loan.lastUsed = now;
            return loan.id;
        }
    }
    YW_INVARIANT(false, "a slot is acquired only while one is available");
    return OwnShare;
}

void ExecutorShare::release(LoanId loan, base::TimePoint now)
{
    if (loan == OwnShare) {
        YW_INVARIANT(ownSlotsInUse_ > 0, "a slot is released once");
        --ownSlotsInUse_;
        return;
    }
    for (Loan &candidate : borrowedLoans_) {
        if (candidate.id == loan) {
            YW_INVARIANT(candidate.inUse > 0, "a borrowed slot is released once");
            --candidate.inUse;
            candidate.lastUsed = now;
            return;
        }
    }
    YW_INVARIANT(false, "a loan in use is never removed");
}

std::uint32_t ExecutorShare::availableSlots(base::TimePoint end, base::TimePoint now) const
{
    std::uint32_t slots = freeOwnSlots(now);
    for (const Loan &loan : borrowedLoans_) {
        if (loan.expiresAt >= end) {
            slots += loan.slots - loan.inUse;
        }
    }
    return slots;
}

std::uint32_t ExecutorShare::fixedSlots() const
{
    return fixedSlots_;
}

std::uint32_t ExecutorShare::slotsInUse() const
{
    std::uint32_t slots = ownSlotsInUse_;
    for (const Loan &loan : borrowedLoans_) {
        slots += loan.inUse;
    }
    return slots;
}

std::uint32_t ExecutorShare::lentSlots() const
{
    return lentSlots_;
}

// After a pause of the process, a loan may have expired with slots in use; these still count.
std::uint32_t ExecutorShare::borrowedSlots(base::TimePoint now) const
{
    std::uint32_t slots = 0;
    for (const Loan &loan : borrowedLoans_) {
        slots += loan.expiresAt > now ? loan.slots : loan.inUse;
    }
    return slots;
}

std::uint32_t ExecutorShare::usableSlots(base::TimePoint now) const
{
    return freeOwnSlots(now) + ownSlotsInUse_ + borrowedSlots(now);
}

std::uint32_t ExecutorShare::connectionLimit(base::TimePoint now) const
{
    const std::uint32_t own = isWithheld(now) || fixedConnections_ < lentSlots_ ? 0 : fixedConnections_ - lentSlots_;
    return std::max(own, ownSlotsInUse_) + borrowedSlots(now);
}

bool ExecutorShare::isWithheld(base::TimePoint now) const
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
    for (const Loan &loan : lentLoans_) {
        if (loan.id == id && loan.peer == borrower) {
            return loan.slots;
        }
    }
    const std::uint32_t free = freeOwnSlots(now);
    const std::uint32_t slots = free > reserve ? std::min(wanted, free - reserve) : 0;
    if (slots > 0) {
        restoreLentLoan(id, borrower, slots, until);
        checkInvariants();
    }
    return slots;
}

void ExecutorShare::restoreLentLoan(LoanId id, const std::string &borrower, std::uint32_t slots, base::TimePoint until)
{
    const bool known = std::any_of(
        lentLoans_.begin(), lentLoans_.end(), [&](const Loan &loan) { return loan.id == id && loan.peer == borrower; });
    if (!known) {
        lentLoans_.push_back(Loan{id, borrower, slots, until, 0, {}});
        lentSlots_ += slots;
    }
}

void ExecutorShare::reclaimLoan(LoanId id, const std::string &borrower)
{
    std::erase_if(lentLoans_, [&](const Loan &loan) {
        const bool matches = loan.id == id && loan.peer == borrower;
        lentSlots_ -= matches ? loan.slots : 0;
        return matches;
    });
}

void ExecutorShare::shortenLentLoans(const std::string &borrower, LoanId first, base::TimePoint until)
{
    for (Loan &loan : lentLoans_) {
        const bool fromCurrentProcess = loan.id > first && loan.id - first <= UINT32_MAX;
        if (loan.peer == borrower && !fromCurrentProcess) {
            loan.expiresAt = std::min(loan.expiresAt, until);
        }
    }
}

void ExecutorShare::addBorrowedLoan(
    LoanId id, const std::string &lender, std::uint32_t slots, base::TimePoint until, base::TimePoint now)
{
    borrowedLoans_.push_back(Loan{id, lender, slots, until, 0, now});
}

// A loan in use is kept past its expiry. The executor is not overcommitted: an attempt only uses a loan that outlasts
// it.
void ExecutorShare::expireLoans(base::TimePoint idleSince,
                                base::TimePoint end,
                                base::TimePoint now,
                                std::vector<Loan> &toReturn)
{
    std::erase_if(lentLoans_, [&](const Loan &loan) {
        const bool expired = loan.expiresAt <= now;
        lentSlots_ -= expired ? loan.slots : 0;
        return expired;
    });
    std::erase_if(borrowedLoans_, [&](const Loan &loan) {
        const bool done = loan.inUse == 0 && (loan.lastUsed <= idleSince || loan.expiresAt < end);
        if (done) {
            toReturn.push_back(loan);
        }
        return done;
    });
}

void ExecutorShare::removeUnusedLoans(std::vector<Loan> &toReturn)
{
    std::erase_if(borrowedLoans_, [&](const Loan &loan) {
        if (loan.inUse == 0) {
            toReturn.push_back(loan);
        }
        return loan.inUse == 0;
    });
}

bool ExecutorShare::hasBorrowed(LoanId id) const
{
    return std::any_of(borrowedLoans_.begin(), borrowedLoans_.end(), [id](const Loan &loan) { return loan.id == id; });
}

const std::vector<Loan> &ExecutorShare::borrowedLoans() const
{
    return borrowedLoans_;
}

std::uint32_t ExecutorShare::freeOwnSlots(base::TimePoint now) const
{
    const std::uint32_t taken = ownSlotsInUse_ + lentSlots_;
    return isWithheld(now) || taken >= fixedSlots_ ? 0 : fixedSlots_ - taken;
}

void ExecutorShare::checkInvariants() const
{
    YW_INVARIANT(ownSlotsInUse_ + lentSlots_ <= fixedSlots_, "slots in use and lent stay within the entry's share");
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
