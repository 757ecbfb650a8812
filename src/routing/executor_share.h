#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace yuccawheel::routing
{

/// Numbers a loan of slots. Unique per borrower and incarnation; zero stands for the entry's own share.
using LoanId = std::uint64_t;
constexpr LoanId OwnShare = 0;

/// Slots of one executor that one entry lets another use until a set time.
struct Loan {
    LoanId id = 0;
    std::string peer; ///< The other side: borrower of a loan given, lender of a loan taken.
    std::uint32_t slots = 0;
    base::TimePoint expiresAt;
    std::uint32_t inUse = 0; ///< Only counted for loans taken.
    base::TimePoint lastUsed;
};

/// One entry's part of the slots and connections of one executor. Each slot brings one connection with it.
///
/// The entries of the executor's zone split its slots into fixed shares, so that no message is needed to use one.
/// An entry may lend free slots of its share; the sum over all entries never exceeds the executor's total.
class ExecutorShare
{
public:
    /// Sets the fixed share. A smaller share takes effect as slots in use and loans end.
    void setFixedShare(std::uint32_t slots, std::uint32_t connections);
    /// Withholds the share until `until` at the latest, because a former process of this entry may still hold it.
    /// A share is withheld from the start, and never again once it was usable.
    void limitWithholding(base::TimePoint until);

    /// Takes one slot for an attempt that surely ends before `end`. Returns the loan used, or OwnShare.
    /// The caller must have seen `availableSlots(end, now)` above zero.
    LoanId acquire(base::TimePoint end, base::TimePoint now);
    void release(LoanId loan, base::TimePoint now);
    /// Slots that an attempt ending before `end` could take now.
    std::uint32_t availableSlots(base::TimePoint end, base::TimePoint now) const;

    std::uint32_t fixedSlots() const;
    std::uint32_t slotsInUse() const;
    std::uint32_t lentSlots() const;
    std::uint32_t borrowedSlots(base::TimePoint now) const;
    /// Slots that this entry may use in all now, those in use included.
    std::uint32_t usableSlots(base::TimePoint now) const;
    /// Connections that this entry may hold open now, idle ones included.
    std::uint32_t connectionLimit(base::TimePoint now) const;
    bool isWithheld(base::TimePoint now) const;

    /// Lends at most `wanted` free slots, keeping `reserve` of them. Returns how many; zero means refused.
    std::uint32_t lend(LoanId id,
                       const std::string &borrower,
                       std::uint32_t wanted,
                       std::uint32_t reserve,
                       base::TimePoint until,
                       base::TimePoint now);
    /// Records a loan that a former process of this entry gave.
    void restoreLentLoan(LoanId id, const std::string &borrower, std::uint32_t slots, base::TimePoint until);
    /// Takes back a loan given. Unknown loans are ignored.
    void reclaimLoan(LoanId id, const std::string &borrower);
    /// Ends loans given to former processes of a borrower by `until` at the latest. Its present one numbers from
    /// `first`.
    void shortenLentLoans(const std::string &borrower, LoanId first, base::TimePoint until);
    void addBorrowedLoan(
        LoanId id, const std::string &lender, std::uint32_t slots, base::TimePoint until, base::TimePoint now);
    /// Drops loans that have expired, and appends loans taken that have been idle since `idleSince` or can no longer
    /// serve an attempt ending at `end`.
    void expireLoans(base::TimePoint idleSince, base::TimePoint end, base::TimePoint now, std::vector<Loan> &toReturn);
    /// Drops every unused loan taken and appends it.
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

/// The part of `total` that falls to the entry at `rank` of `entries`; the parts add up to `total`.
std::uint32_t fixedShare(std::uint32_t total, std::size_t rank, std::size_t entries);

} // namespace yuccawheel::routing
