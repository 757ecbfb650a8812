#pragma once

#include "routing/upstream_table.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace yuccawheel::routing
{

enum class ShareMessageKind : std::uint8_t {
    LoanRequest, ///< Borrower to lender: `id`, `slots` wanted.
    LoanGrant, ///< Lender to borrower: `id`, `slots` (zero: refused), `term` counted from the sending of the request.
    LoanReturn, ///< Borrower to lender: `id`; no attempt uses it any more.
    HeldLoansQuery, ///< Restarted entry to all: which of its slots do you hold? `incarnation` is the asker's.
    HeldLoan, ///< Answer, one for each loan: `id`, `slots`, `term` left; `incarnation` and `query` as asked.
    HeldLoansEnd, ///< End of the answer: `slots` counts the HeldLoan messages; `incarnation` and `query` as asked.
    ShutdownNotice, ///< To all: no attempt of `from` is in progress and none will start under this incarnation.
};

/// A message between two entries about the slots of one executor.
struct ShareMessage {
    ShareMessageKind kind = ShareMessageKind::LoanRequest;
    std::string to;
    std::string from;
    std::string executor; ///< Empty where the kind concerns all executors.
    LoanId id = 0;
    std::uint32_t slots = 0;
    base::Duration term{0};
    std::uint64_t incarnation = 0;
    std::uint32_t query = 0; ///< Numbers the queries of one incarnation.
    bool graceful = false; ///< HeldLoansEnd: the asker's former process said shutdownIncarnation.
};

struct LoanOptions {
    std::string entry; ///< Name of this entry.
    std::string zone; ///< Its availability zone.
    std::uint64_t incarnation = 1; ///< Grows each time the entry starts.
    std::vector<EntryInfo> entries; ///< All entries of the cell, this one included.
    base::Duration term = std::chrono::seconds(20); ///< Longest time a loan lasts.
    base::Duration idleTimeout = std::chrono::milliseconds(500); ///< A loan unused for so long goes back.
    base::Duration requestTimeout = std::chrono::milliseconds(300); ///< A request unanswered for so long is given up.
    base::Duration requestBackoff = std::chrono::milliseconds(20); ///< Between a refusal and the next request.
    base::Duration queryInterval = std::chrono::milliseconds(300); ///< Between queries after a restart.
    base::Duration abandonGrace =
        std::chrono::seconds(3); ///< An upstream ends a request so soon after its connection closes.
};

/// Divides each executor's slots among entries: fixed shares within its zone, loans between entries, and the recovery
/// of an entry that restarts without memory. Messages may be lost, late or doubled.
class LoanManager
{
public:
    LoanManager(LoanOptions options, UpstreamTable &table, base::TimePoint now);

    /// Sets the fixed share of an upstream after it announced itself. `heardDirectly` says that this entry heard it
    /// now.
    void assignShare(UpstreamIndex index, bool heardDirectly);
    /// Takes a message. `neededLocally` says that this entry has requests waiting for the executor itself.
    void handle(const ShareMessage &message, bool neededLocally, base::TimePoint now);
    /// Asks another entry for slots of an executor, unless a request is under way. Returns the slots asked for.
    std::uint32_t requestSlots(UpstreamIndex index, std::uint32_t slots, base::TimePoint now);
    /// Returns idle and ending loans, gives up late requests, goes on with the recovery.
    void tick(base::TimePoint now);
    /// Returns every loan and tells the other entries that nothing is in progress here.
    void announceShutdown(base::TimePoint now);

    /// Whether the restart is over: every share of this entry is usable.
    bool isRecovered(base::TimePoint now) const;
    /// Messages to send; empties the list.
    std::vector<ShareMessage> takeMessages();

private:
    struct PendingRequest {
        LoanId id = 0; ///< Zero if none is under way.
        std::string lender;
        base::TimePoint sentAt;
        base::TimePoint notBefore;
        std::size_t nextLender = 0;
    };
    struct HeldLoansReply {
        std::uint32_t query = 0;
        std::set<LoanId> loans;
    };
    struct PreviousProcess {
        std::uint64_t shutdownIncarnation = 0; ///< Incarnation that said shutdownIncarnation.
        std::uint64_t successor = 0; ///< Incarnation that first asked after it.
    };

    void handleRequest(const ShareMessage &message, bool neededLocally, base::TimePoint now);
    void handleGrant(const ShareMessage &message, base::TimePoint now);
    void handleQuery(const ShareMessage &message, base::TimePoint now);
    void handleHeld(const ShareMessage &message, base::TimePoint now);
    void handleHeldEnd(const ShareMessage &message);
    void sendQueries(base::TimePoint now);
    void updateWithholding(UpstreamIndex index);
    base::TimePoint withheldUntil() const;
    base::Duration termAtLender(base::Duration term) const;
    ShareMessage &send(ShareMessageKind kind, const std::string &to, std::string_view executor, LoanId id);
    std::vector<std::string> rankEntries(std::string_view zone, std::string_view executor) const;

    const LoanOptions options_;
    UpstreamTable &table_;
    const base::TimePoint startedAt_;
    std::uint32_t nextLoan_ = 1;
    std::vector<PendingRequest> requests_;
    std::set<std::string> unansweredEntries_;
    bool graceful_ = false;
    std::set<UpstreamIndex> idleSinceStart_; ///< Upstreams that reported no request since this entry started.
    base::TimePoint lastQuery_;
    std::uint32_t queryNumber_ = 0;
    TextMap<HeldLoansReply> heldReplies_;
    TextMap<PreviousProcess> previousProcesses_;
    std::vector<ShareMessage> messages_;
};

} // namespace yuccawheel::routing
