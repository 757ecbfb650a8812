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
    std::string entry; ///< The other side: borrower of a loan given, lender of a loan taken.
    std::uint32_t slots = 0;
    base::TimePoint until;
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
    void setBase(std::uint32_t slots, std::uint32_t connections);
    /// Withholds the share until `until` at the latest, because a former process of this entry may still hold it.
    /// A share is withheld from the start, and never again once it was usable.
    void withholdAtMost(base::TimePoint until);

    /// Takes one slot for an attempt that surely ends before `end`. Returns the loan used, or OwnShare.
    /// The caller must have seen `available(end, now)` above zero.
    LoanId acquire(base::TimePoint end, base::TimePoint now);
    void release(LoanId loan, base::TimePoint now);
    /// Slots that an attempt ending before `end` could take now.
    std::uint32_t available(base::TimePoint end, base::TimePoint now) const;

    std::uint32_t base() const;
    std::uint32_t inUse() const;
    std::uint32_t lent() const;
    std::uint32_t borrowed(base::TimePoint now) const;
    /// Slots that this entry may use in all now, those in use included.
    std::uint32_t usable(base::TimePoint now) const;
    /// Connections that this entry may hold open now, idle ones included.
    std::uint32_t connectionLimit(base::TimePoint now) const;
    bool withheld(base::TimePoint now) const;

    /// Lends at most `wanted` free slots, keeping `reserve` of them. Returns how many; zero means refused.
    std::uint32_t lend(LoanId id,
                       const std::string &borrower,
                       std::uint32_t wanted,
                       std::uint32_t reserve,
                       base::TimePoint until,
                       base::TimePoint now);
    /// Records a loan that a former process of this entry gave.
    void restoreLent(LoanId id, const std::string &borrower, std::uint32_t slots, base::TimePoint until);
    /// Takes back a loan given. Unknown loans are ignored.
    void takeBack(LoanId id, const std::string &borrower);
    /// Ends loans given to former processes of a borrower by `until` at the latest. Its present one numbers from
    /// `first`.
    void shortenGiven(const std::string &borrower, LoanId first, base::TimePoint until);
    void
    addBorrowed(LoanId id, const std::string &lender, std::uint32_t slots, base::TimePoint until, base::TimePoint now);
    /// Drops loans that have expired, and appends loans taken that have been idle since `idleSince` or can no longer
    /// serve an attempt ending at `end`.
    void expire(base::TimePoint idleSince, base::TimePoint end, base::TimePoint now, std::vector<Loan> &toReturn);
    /// Drops every unused loan taken and appends it.
    void returnUnused(std::vector<Loan> &toReturn);

    bool hasTaken(LoanId id) const;
    const std::vector<Loan> &loansTaken() const;

private:
    std::uint32_t ownFree(base::TimePoint now) const;
    void check() const;

    std::uint32_t base_ = 0;
    std::uint32_t connections_ = 0;
    std::uint32_t ownInUse_ = 0;
    std::uint32_t lent_ = 0;
    base::TimePoint withheldUntil_ = base::TimePoint::max();
    std::vector<Loan> given_;
    std::vector<Loan> taken_;
};

/// The part of `total` that falls to the entry at `rank` of `entries`; the parts add up to `total`.
std::uint32_t fixedShare(std::uint32_t total, std::size_t rank, std::size_t entries);

} // namespace yuccawheel::routing
