#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace yuccawheel::routing
{

/// Identifies a loan of slots. Unique per borrower and incarnation; zero denotes the entry's own share.
using LoanId = std::uint64_t;
constexpr LoanId OwnShare = 0;

/// Slots of one executor that one entry lends to another until the loan expires.
struct Loan {
    LoanId id = 0;
    std::string peer; ///< Borrower of a lent loan, lender of a borrowed loan.
    std::uint32_t slots = 0;
    base::TimePoint expiresAt;
    std::uint32_t inUse = 0; ///< Counted for borrowed loans only.
    base::TimePoint lastUsed;
};

/// The slots and connections of one executor that one entry may use. Each slot includes one connection.
///
/// The entries of the executor's zone divide its slots into fixed shares, so an entry uses a slot without exchanging
/// messages. An entry may lend free slots of its share; the sum over all entries never exceeds the executor's total.
class ExecutorShare
{
public:
    /// Sets the fixed share. A reduction takes effect as slots in use are released and loans end.
    void setFixedShare(std::uint32_t slots, std::uint32_t connections);
    /// Ends the withholding at `until` or earlier. A new share is withheld because requests of a previous process of
    /// this entry may still occupy its slots; once usable, a share is never withheld again.
    void limitWithholding(base::TimePoint until);

    /// Acquires one slot for an attempt that is guaranteed to end before `end`. Returns the loan used, or OwnShare.
    /// Requires `availableSlots(end, now) > 0`.
    LoanId acquire(base::TimePoint end, base::TimePoint now);
    void release(LoanId loan, base::TimePoint now);
    /// Free slots for an attempt that ends before `end`.
    std::uint32_t availableSlots(base::TimePoint end, base::TimePoint now) const;

    std::uint32_t fixedSlots() const;
    std::uint32_t slotsInUse() const;
    std::uint32_t lentSlots() const;
    std::uint32_t borrowedSlots(base::TimePoint now) const;
    /// All slots that this entry may use now, including those in use.
    std::uint32_t usableSlots(base::TimePoint now) const;
    /// Maximum number of connections that this entry may keep open now, including idle ones.
    std::uint32_t connectionLimit(base::TimePoint now) const;
    bool isWithheld(base::TimePoint now) const;

    /// Lends up to `wanted` free slots and keeps `reserve` slots free. Returns the number lent; zero is a refusal.
    /// A repeated request for the same loan returns the first result.
    std::uint32_t lend(LoanId id,
                       const std::string &borrower,
                       std::uint32_t wanted,
                       std::uint32_t reserve,
                       base::TimePoint until,
                       base::TimePoint now);
    /// Records a loan that a previous process of this entry granted.
    void restoreLentLoan(LoanId id, const std::string &borrower, std::uint32_t slots, base::TimePoint until);
    /// Ends a lent loan. Unknown loans are ignored.
    void reclaimLoan(LoanId id, const std::string &borrower);
    /// Limits the expiry of loans lent to previous processes of a borrower to `until`. `first` is the lowest loan id of
    /// its current process.
    void shortenLentLoans(const std::string &borrower, LoanId first, base::TimePoint until);
    void addBorrowedLoan(
        LoanId id, const std::string &lender, std::uint32_t slots, base::TimePoint until, base::TimePoint now);
    /// Removes expired lent loans. Removes unused borrowed loans that have been idle since `idleSince` or expire before
    /// `end`, and appends them to `toReturn`.
    void expireLoans(base::TimePoint idleSince, base::TimePoint end, base::TimePoint now, std::vector<Loan> &toReturn);
    /// Removes all unused borrowed loans and appends them to `toReturn`.
    void removeUnusedLoans(std::vector<Loan> &toReturn);

    bool hasBorrowed(LoanId id) const;
    const std::vector<Loan> &borrowedLoans() const;

private:
    std::uint32_t freeOwnSlots(base::TimePoint now) const;
    void checkInvariants() const;

    std::uint32_t fixedSlots_ = 0;
    std::uint32_t fixedConnections_ = 0;
    std::uint32_t ownSlotsInUse_ = 0;
    std::uint32_t lentSlots_ = 0;
    base::TimePoint withheldUntil_ = base::TimePoint::max();
    std::vector<Loan> lentLoans_;
    std::vector<Loan> borrowedLoans_;
};

/// Share of `total` for the entry with the given rank; the shares of all entries add up to `total`.
std::uint32_t fixedShare(std::uint32_t total, std::size_t rank, std::size_t entries);

} // namespace yuccawheel::routing
