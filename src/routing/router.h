#pragma once

#include "base/verdict.h"
#include "routing/loan_manager.h"
#include "routing/retry_budget.h"
#include "routing/types.h"
#include "routing/upstream_choice.h"
#include "routing/upstream_table.h"
#include "routing/wait_queue.h"

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace yuccawheel::routing
{

struct RouterOptions {
    std::string entry; ///< Name of this entry.
    std::string zone; ///< Availability zone of this entry.
    std::uint64_t incarnation = 1; ///< Increases with each start of the entry.
    std::vector<EntryInfo> entries; ///< All entries of the cell, this one included.
    std::uint64_t seed = 1;
    ChoiceKind choice = ChoiceKind::TwoChoices;
    HealthOptions health;
    UpstreamTableOptions table; ///< Zone and entry names are set from this struct.
    LoanOptions loans; ///< Entry, zone, incarnation and entries are set from this struct.
    std::size_t maxWaiting = 512; ///< Maximum waiting requests per service.
    std::size_t maxWaitingPerCaller = 64; ///< Maximum waiting requests per caller and service.
    std::uint32_t maxAttempts = 3;
    double retryRatio = 0.1; ///< Retries per request.
    std::uint32_t maxEjectedPercent = 30; ///< Maximum percentage of a service's upstreams ejected at once.
    /// Waiting time after which slots of other zones are requested.
    base::Duration remoteBorrowDelay = std::chrono::milliseconds(5);
};

/// Properties of a request that routing depends on.
struct RequestInfo {
    std::string_view service;
    std::string_view caller; ///< Client for per-caller limits and fairness.
    Urgency urgency = Urgency::Normal;
    base::TimePoint deadline;
    bool repeatable = false; ///< The request may run more than once.
    bool replayable = false; ///< The whole body is buffered, so that the request can be sent again.
};

enum class Rejection : std::uint8_t {
    UnknownService, ///< No upstream has offered the service.
    NoUpstream, ///< No upstream that offers the service is serving.
    Overloaded, ///< The queue is full, or the expected wait exceeds the deadline.
    CallerLimitExceeded, ///< The caller has too many waiting requests.
    DeadlinePassed,
};

enum class DecisionKind : std::uint8_t { Dispatch, Queued, Reject };

/// Decision on a request: dispatch it, keep it queued or reject it.
struct Decision {
    DecisionKind kind = DecisionKind::Reject;
    RequestId request = 0;
    AttemptId attempt = 0; ///< Dispatch only.
    UpstreamIndex upstream = 0; ///< Dispatch only.
    Rejection rejection = Rejection::Overloaded; ///< Reject only.
    base::Duration retryAfter{0}; ///< Reject only.
    base::Verdict verdict = base::Verdict::NotRun; ///< Reject only: combined verdict of earlier attempts.
};

/// Outcome of an attempt at an upstream.
enum class AttemptOutcome : std::uint8_t {
    Answered, ///< Complete answer without a server error.
    ServerError, ///< Complete answer with status 5xx.
    Refused, ///< Complete answer that states that the request was not run.
    NotSent, ///< No byte of the request was written.
    Withdrawn, ///< No byte of the request was written, because `canStart` returned false.
    Cut, ///< Bytes were written; the connection was lost before a complete answer.
    TimedOut, ///< Bytes were written; the deadline passed.
    CallerGone, ///< Bytes were written; the caller disconnected.
};

struct AttemptResult {
    AttemptOutcome outcome = AttemptOutcome::Answered;
    base::Duration latency{0}; ///< Time from dispatch to the answer's header.
    bool answerStarted = false; ///< Part of the answer has been sent to the caller.
};

struct FinishResult {
    bool retrying = false; ///< The request is retried; `takeDecisions` returns a further decision.
    base::Verdict verdict = base::Verdict::NotRun; ///< Combined verdict of all attempts so far.
};

struct RouterCounters {
    std::uint64_t dispatched = 0;
    std::uint64_t queued = 0;
    std::uint64_t rejected = 0;
    std::uint64_t retried = 0;
    std::uint64_t ejections = 0;
    std::uint64_t slotsBorrowed = 0;
};

/// Decides which upstream handles each request of one entry, and when. Does no I/O and reads no clock: callers pass
/// events and the current time and fetch the decisions. Not thread-safe; the time must not go backwards.
class Router
{
public:
    Router(RouterOptions options, base::TimePoint now);

    /// Decides on a new request. A Dispatch or Queued decision contains the request's id.
    Decision route(const RequestInfo &info, base::TimePoint now);
    /// Whether the first byte of an attempt may be written now: the deadline has not passed and the upstream is
    /// serving. Must be called directly before writing, since the process may have been paused or connecting may have
    /// been slow.
    bool canStart(AttemptId attempt, base::TimePoint now) const;
    /// Records the end of an attempt and retries the request if possible. After TimedOut or CallerGone the upstream may
    /// still be working, so the slot stays in use until `releaseAbandonedAttempt` or the end of the grace time.
    FinishResult finishAttempt(AttemptId attempt, const AttemptResult &result, base::TimePoint now);
    /// Releases the slot of an abandoned attempt that the upstream has ended. Ignored if already released.
    void releaseAbandonedAttempt(AttemptId attempt, base::TimePoint now);
    /// Removes a waiting request whose caller disconnected. Returns the combined verdict of its earlier attempts.
    base::Verdict cancelWaiting(RequestId request);

    /// Applies a heartbeat received by this entry.
    tl::expected<void, UpstreamTableError> applyHeartbeat(const UpstreamAnnouncement &announcement,
                                                          base::TimePoint now);
    /// Applies an update from another entry.
    void receive(const UpstreamUpdate &update, base::TimePoint now);
    /// Handles a message about slots from another entry.
    void receive(const ShareMessage &message, base::TimePoint now);
    /// Processes timeouts. Must be called every few milliseconds.
    void tick(base::TimePoint now);
    /// Returns all loans and sends a ShutdownNotice. Must be called when no request is left and none will follow.
    void announceShutdown(base::TimePoint now);

    /// Appends the decisions on queued and retried requests and clears the list.
    void takeDecisions(std::vector<Decision> &decisions);
    std::vector<UpstreamUpdate> takeUpdates();
    std::vector<ShareMessage> takeShareMessages();

    const Upstream &upstream(UpstreamIndex index) const;
    const UpstreamTable &table() const;
    /// Whether the recovery after the start is complete, so that all shares of the entry are usable.
    bool isRecovered(base::TimePoint now) const;
    /// Whether the entry should receive traffic: at least half of the slots of its shares are usable.
    bool isReady(base::TimePoint now) const;
    std::size_t waitingCount() const;
    const RouterCounters &counters() const;

private:
    enum class RequestState : std::uint8_t { Free, Waiting, Running };
    static constexpr std::size_t MaxExcluded = 3;

    struct Request {
        RequestId id = 0;
        RequestState state = RequestState::Free;
        ServiceIndex service = 0;
        std::string caller;
        Urgency urgency = Urgency::Normal;
        base::TimePoint deadline;
        base::TimePoint queuedAt;
        bool repeatable = false;
        bool replayable = false;
        std::uint32_t attempts = 0;
        base::Verdict verdict = base::Verdict::NotRun;
        AttemptId attempt = 0;
        std::array<UpstreamIndex, MaxExcluded> excluded{}; ///< Upstreams at which earlier attempts failed.
        std::uint32_t excludedCount = 0;
    };
    struct Attempt {
        AttemptId id = 0;
        bool active = false; ///< The attempt holds a slot.
        bool abandoned = false; ///< Ended here; the upstream may still be working on it.
        RequestId request = 0;
        UpstreamIndex upstream = 0;
        LoanId loan = OwnShare;
        base::TimePoint deadline;
        base::TimePoint releaseAt;
    };
    struct Service {
        WaitQueue queue;
        base::Duration latency{0}; ///< EWMA of the answer time over all upstreams.
        base::TimePoint lastLoanRequest;
    };
    struct Capacity {
        std::uint32_t free = 0;
        std::uint32_t usable = 0;
        std::uint32_t serving = 0; ///< Serving upstreams, with or without free slots.
    };

    Request &newRequest(const RequestInfo &info, ServiceIndex service, base::TimePoint now);
    Request *findRequest(RequestId id);
    void freeRequest(Request &request);
    Attempt *findAttempt(AttemptId id);
    const Attempt *findAttempt(AttemptId id) const;
    AttemptId newAttempt(const Request &request, UpstreamIndex upstream, LoanId loan);

    std::optional<Rejection>
    checkAdmission(const RequestInfo &info, ServiceIndex service, const Capacity &capacity, base::TimePoint now);
    Capacity collectCandidates(const Request *request, ServiceIndex service, base::TimePoint end, base::TimePoint now);
    bool isEligible(const Upstream &upstream, base::TimePoint now) const;
    bool isBulkAllowed(const Capacity &capacity) const;
    Decision dispatch(Request &request, base::TimePoint now);
    Decision reject(Rejection rejection, Request *request, const Service *service);
    void evict(RequestId id);
    void enqueue(Request &request, bool front, base::TimePoint now);
    void dispatchWaiting(ServiceIndex service, base::TimePoint now);
    bool dispatchNext(ServiceIndex service, base::TimePoint now);
    void dispatchAllWaiting(base::TimePoint now);
    void dispatchWaitingAt(UpstreamIndex upstream, base::TimePoint now);
    void requestSlots(ServiceIndex service, base::TimePoint now);
    bool hasWaitingRequests(const Upstream &upstream) const;
    void expireWaiting(base::TimePoint now);
    void releaseAttempt(Attempt &attempt, base::TimePoint now);
    void recordOutcome(const Attempt &attempt, const AttemptResult &result, ServiceIndex service, base::TimePoint now);
    void ejectIfAllowed(UpstreamIndex index, base::TimePoint now);
    bool tryConsumeRetry(const Request &request, const AttemptResult &result, base::TimePoint now);
    Service &serviceAt(ServiceIndex index);

    const RouterOptions options_;
    UpstreamTable table_;
    LoanManager loans_;
    std::unique_ptr<UpstreamChoice> choice_;
    RetryBudget retryBudget_;
    std::vector<Service> services_;
    std::vector<Request> requests_;
    std::vector<std::uint32_t> freeRequests_;
    std::vector<Attempt> attempts_;
    std::vector<std::uint32_t> freeAttempts_;
    std::vector<AttemptId> abandoned_;
    std::size_t waiting_ = 0;
    base::TimePoint lastRemoval_;
    std::uint64_t nextGeneration_ = 1;
    std::vector<Candidate> localCandidates_;
    std::vector<Candidate> remoteCandidates_;
    std::vector<Decision> decisions_;
    RouterCounters counters_;
    const base::TimePoint startedAt_;
};

} // namespace yuccawheel::routing
