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
    std::string zone; ///< Its availability zone.
    std::uint64_t incarnation = 1; ///< Grows each time the entry starts.
    std::vector<EntryInfo> entries; ///< All entries of the cell, this one included.
    std::uint64_t seed = 1;
    ChoiceKind choice = ChoiceKind::TwoChoices;
    HealthOptions health;
    UpstreamTableOptions table; ///< Its zone is set from `zone`.
    LoanOptions loans; ///< Its entry, zone, incarnation and entries are set from the above.
    std::size_t maxWaiting = 512; ///< Waiting requests of one service.
    std::size_t maxWaitingPerCaller = 64; ///< Waiting requests of one caller at one service.
    std::uint32_t maxAttempts = 3;
    double retryRatio = 0.1;
    std::uint32_t maxEjectedPercent = 30; ///< Of the upstreams of a service.
    base::Duration remoteBorrowDelay =
        std::chrono::milliseconds(5); ///< Wait after which slots of other zones are borrowed.
};

/// What the router must know of a request.
struct RequestInfo {
    std::string_view service;
    std::string_view caller; ///< Whom the request counts against.
    Urgency urgency = Urgency::Normal;
    base::TimePoint deadline;
    bool repeatable = false; ///< It may run more than once.
    bool replayable = false; ///< Its whole body is kept, so that it can be sent again.
};

enum class Rejection : std::uint8_t {
    UnknownService, ///< No upstream has ever offered it.
    NoUpstream, ///< Upstreams that offered it are gone.
    Overloaded,
    CallerLimitExceeded,
    DeadlinePassed,
};

enum class DecisionKind : std::uint8_t { Dispatch, Queued, Reject };

/// What to do with a request.
struct Decision {
    DecisionKind kind = DecisionKind::Reject;
    RequestId request = 0;
    AttemptId attempt = 0; ///< Dispatch only.
    UpstreamIndex upstream = 0; ///< Dispatch only.
    Rejection rejection = Rejection::Overloaded; ///< Reject only.
    base::Duration retryAfter{0}; ///< Reject only.
    base::Verdict verdict = base::Verdict::NotRun; ///< Reject only: earlier attempts included.
};

/// How an attempt at an upstream ended.
enum class AttemptOutcome : std::uint8_t {
    Answered, ///< A whole answer without a server error.
    ServerError, ///< A whole answer with status 5xx.
    Refused, ///< A whole answer that says that the request was not run.
    NotSent, ///< No byte of the request was written.
    Withdrawn, ///< No byte of the request was written, since it might not start any more.
    Cut, ///< Bytes were written, and the connection ended before a whole answer.
    TimedOut, ///< Bytes were written, and the deadline passed.
    CallerGone, ///< Bytes were written, and the caller went away.
};

struct AttemptResult {
    AttemptOutcome outcome = AttemptOutcome::Answered;
    base::Duration latency{0}; ///< From dispatch to the head of the answer.
    bool answerStarted = false; ///< Part of the answer has gone to the caller.
};

struct FinishResult {
    bool retrying = false; ///< The router goes on with the request; a further decision follows.
    base::Verdict verdict = base::Verdict::NotRun; ///< Of all attempts so far.
};

struct RouterCounters {
    std::uint64_t dispatched = 0;
    std::uint64_t queued = 0;
    std::uint64_t rejected = 0;
    std::uint64_t retried = 0;
    std::uint64_t ejections = 0;
    std::uint64_t slotsBorrowed = 0;
};

/// Decides which upstream handles each request of one entry, and when. Pure: events and the time come in, decisions
/// go out. Not thread-safe; times must not go backwards.
class Router
{
public:
    Router(RouterOptions options, base::TimePoint now);

    /// Decides on a new request. Dispatch and Queued carry its number.
    Decision route(const RequestInfo &info, base::TimePoint now);
    /// Whether the first byte of an attempt may be written now: its deadline is ahead and its upstream still serves.
    /// To be asked immediately before, since the process may have been paused, or connecting may have taken long.
    bool canStart(AttemptId attempt, base::TimePoint now) const;
    /// Takes the end of an attempt. Unless it ended with a whole answer or a closed upstream, its slot stays taken
    /// until `settled` or the grace time.
    FinishResult finishAttempt(AttemptId attempt, const AttemptResult &result, base::TimePoint now);
    /// Takes the news that the upstream has ended an abandoned attempt. Late news is ignored.
    void releaseAbandonedAttempt(AttemptId attempt, base::TimePoint now);
    /// Drops a waiting request whose caller went away. Returns the verdict of its earlier attempts.
    base::Verdict cancelWaiting(RequestId request);

    /// Takes a heartbeat heard by this entry itself.
    tl::expected<void, UpstreamTableError> applyHeartbeat(const UpstreamAnnouncement &announcement,
                                                          base::TimePoint now);
    /// Takes an update from another entry.
    void receive(const UpstreamUpdate &update, base::TimePoint now);
    /// Takes a message about slots from another entry.
    void receive(const ShareMessage &message, base::TimePoint now);
    /// Does what time makes due. To be called every few milliseconds.
    void tick(base::TimePoint now);
    /// Returns loans and says farewell. To be called when no request is left and none will come.
    void announceShutdown(base::TimePoint now);

    /// Decisions on requests that were queued or retried; appends them and empties the list.
    void takeDecisions(std::vector<Decision> &decisions);
    std::vector<UpstreamUpdate> takeUpdates();
    std::vector<ShareMessage> takeShareMessages();

    const Upstream &upstream(UpstreamIndex index) const;
    const UpstreamTable &table() const;
    /// Whether the entry may use all of its shares after a restart.
    bool isRecovered(base::TimePoint now) const;
    /// Whether callers should be sent here: most slots of the entry's shares are usable.
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
        std::array<UpstreamIndex, MaxExcluded> excluded{}; ///< Where earlier attempts failed.
        std::uint32_t excludedCount = 0;
    };
    struct Attempt {
        AttemptId id = 0;
        bool active = false; ///< Its slot is taken.
        bool abandoned = false;
        RequestId request = 0;
        UpstreamIndex upstream = 0;
        LoanId loan = OwnShare;
        base::TimePoint deadline;
        base::TimePoint releaseAt;
    };
    struct Service {
        WaitQueue queue;
        base::Duration latency{0}; ///< Smoothed over its upstreams.
        base::TimePoint lastLoanRequest;
    };
    struct Capacity {
        std::uint32_t free = 0;
        std::uint32_t usable = 0;
        std::uint32_t serving = 0; ///< Upstreams that could take requests, now or later.
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
