#pragma once

#include "routing/upstream_table.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace yuccawheel::routing
{

enum class ShareMessageKind : std::uint8_t {
    LoanRequest, ///< Borrower to lender: `id`, requested `slots`.
    LoanGrant, ///< Lender to borrower: `id`, `slots` (zero: refused), `term` counted from when the request was sent.
    LoanReturn, ///< Borrower to lender: `id`; no attempt uses the loan any more.
    HeldLoansQuery, ///< Restarted entry to all: asks for the loans borrowed from it. `incarnation` of the sender.
    HeldLoan, ///< Answer, one per loan: `id`, `slots`, remaining `term`; `incarnation` and `query` of the query.
    HeldLoansEnd, ///< End of the answer: `slots` is the number of HeldLoan messages; `incarnation` and `query` of the
                  ///< query.
    ShutdownNotice, ///< To all: no attempt of `from` is in progress, and none will start in this incarnation.
};

/// A message between two entries about the slots of one executor.
struct ShareMessage {
    ShareMessageKind kind = ShareMessageKind::LoanRequest;
    std::string to;
    std::string from;
    std::string executor; ///< Empty if the message concerns all executors.
    LoanId id = 0;
    std::uint32_t slots = 0;
    base::Duration term{0};
    std::uint64_t incarnation = 0;
    std::uint32_t query = 0; ///< Number of the query within the incarnation.
    bool graceful = false; ///< HeldLoansEnd: the previous process of the querying entry sent a ShutdownNotice.
};

struct LoanOptions {
    std::string entry; ///< Name of this entry.
    std::string zone; ///< Its availability zone.
    std::uint64_t incarnation = 1; ///< Increases with each start of the entry.
    std::vector<EntryInfo> entries; ///< All entries of the cell, this one included.
    base::Duration term = std::chrono::seconds(20); ///< Duration of a loan.
    base::Duration idleTimeout = std::chrono::milliseconds(500); ///< A borrowed loan unused for this long is returned.
    base::Duration requestTimeout = std::chrono::milliseconds(300); ///< For the lender's answer to a loan request.
    base::Duration requestBackoff = std::chrono::milliseconds(20); ///< After a refusal or a timeout.
    base::Duration queryInterval = std::chrono::milliseconds(300); ///< Between queries after a restart.
    /// Within this time after its connection closes, an upstream ends a request.
    base::Duration abandonGrace = std::chrono::seconds(3);
};

/// Divides each executor's slots among entries: assigns fixed shares within the executor's zone, manages loans between
/// entries, and recovers lent loans from the borrowers after a restart, since an entry keeps no state on disk.
/// Tolerates lost, late and duplicate messages.
class LoanManager
{
public:
    LoanManager(LoanOptions options, UpstreamTable &table, base::TimePoint now);

    /// Sets this entry's fixed share of an upstream after an announcement. `heardDirectly`: the announcement is a
    /// heartbeat received by this entry, not a relayed update.
    void assignShare(UpstreamIndex index, bool heardDirectly);
    /// Handles a message. `neededLocally`: this entry has requests waiting for the executor, so it lends no slots.
    void handle(const ShareMessage &message, bool neededLocally, base::TimePoint now);
    /// Sends a loan request for slots of an upstream, unless one is pending or the backoff has not passed. Returns the
    /// number of slots requested.
    std::uint32_t requestSlots(UpstreamIndex index, std::uint32_t slots, base::TimePoint now);
    /// Returns idle and expiring loans, times out loan requests and repeats recovery queries.
    void tick(base::TimePoint now);
    /// Returns all unused loans and, once recovered, sends a ShutdownNotice to the other entries.
    void announceShutdown(base::TimePoint now);

    /// Whether the recovery after the start is complete, so that all shares of this entry are usable.
    bool isRecovered(base::TimePoint now) const;
    /// Returns the messages to send and clears the list.
    std::vector<ShareMessage> takeMessages();

private:
    struct PendingRequest {
        LoanId id = 0; ///< Zero if no request is pending.
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
        std::uint64_t shutdownIncarnation = 0; ///< Incarnation that sent a ShutdownNotice.
        std::uint64_t successor = 0; ///< First incarnation that queried its loans after that.
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
    bool graceful_ = false; ///< All answers so far say that the previous process shut down gracefully.
    /// Upstreams that reported no request in progress since this entry started.
    std::set<UpstreamIndex> idleSinceStart_;
    base::TimePoint lastQuery_;
    std::uint32_t queryNumber_ = 0;
    TextMap<HeldLoansReply> heldReplies_;
    TextMap<PreviousProcess> previousProcesses_;
    std::vector<ShareMessage> messages_;
};

} // namespace yuccawheel::routing
