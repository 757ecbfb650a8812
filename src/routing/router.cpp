#include "routing/router.h"

#include "base/invariant.h"

#include <algorithm>
#include <utility>

namespace yuccawheel::routing
{

namespace
{

constexpr std::uint32_t IndexBits = 24;
constexpr std::uint64_t IndexMask = (1U << IndexBits) - 1;
constexpr base::Duration RemovalInterval = std::chrono::seconds(1);
/// Weight of a new sample in the EWMA is 1/8.
constexpr int EwmaDivisor = 8;
/// Minimum latency recorded for a failed attempt, so that an upstream that fails fast does not attract requests.
constexpr base::Duration FailureLatency = std::chrono::seconds(1);

UpstreamTableOptions tableOptions(const RouterOptions &options)
{
    UpstreamTableOptions table = options.table;
    table.zone = options.zone;
    table.entry = options.entry;
    for (const EntryInfo &info : options.entries) {
        if (info.zone == options.zone) {
            table.zoneEntries.push_back(info.entry);
        }
    }
    return table;
}

LoanOptions loanOptions(const RouterOptions &options)
{
    LoanOptions loans = options.loans;
    loans.entry = options.entry;
    loans.zone = options.zone;
    loans.incarnation = options.incarnation;
    loans.entries = options.entries;
    return loans;
}

void updateEwma(base::Duration &value, base::Duration sample)
{
    value = value.count() == 0 ? sample : value + (sample - value) / EwmaDivisor;
}

bool isFailure(AttemptOutcome outcome)
{
    return outcome != AttemptOutcome::Answered && outcome != AttemptOutcome::Refused
        && outcome != AttemptOutcome::Withdrawn && outcome != AttemptOutcome::CallerGone;
}

base::Verdict verdictOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
    case AttemptOutcome::ServerError:
        return base::Verdict::Ran;
    case AttemptOutcome::Refused:
    case AttemptOutcome::NotSent:
    case AttemptOutcome::Withdrawn:
        return base::Verdict::NotRun;
    case AttemptOutcome::Cut:
    case AttemptOutcome::TimedOut:
    case AttemptOutcome::CallerGone:
        break;
    }
    return base::Verdict::MayHaveRun;
}

} // namespace

Router::Router(RouterOptions options, base::TimePoint now)
    : options_(std::move(options))
    , table_(tableOptions(options_))
    , loans_(loanOptions(options_), table_, now)
    , choice_(makeUpstreamChoice(options_.choice, options_.seed))
    , retryBudget_(options_.retryRatio)
    , lastRemoval_(now)
    , startedAt_(now)
{
}

Decision Router::route(const RequestInfo &info, base::TimePoint now)
{
    const auto service = table_.findService(info.service);
    if (!service) {
        return reject(Rejection::UnknownService, nullptr, nullptr);
    }
    retryBudget_.recordRequest();
    Service &state = serviceAt(*service);
    const Capacity capacity = collectCandidates(nullptr, *service, info.deadline + options_.loans.abandonGrace, now);
    if (const auto rejection = checkAdmission(info, *service, capacity, now)) {
        return reject(*rejection, nullptr, &state);
    }
    Request &request = newRequest(info, *service, now);
    if (state.queue.empty() && capacity.free > 0 && (info.urgency != Urgency::Bulk || isBulkAllowed(capacity))) {
        return dispatch(request, now);
    }
    const RequestId id = request.id;
    enqueue(request, false, now);
    dispatchWaiting(*service, now);
    for (auto decision = decisions_.begin(); decision != decisions_.end(); ++decision) {
        if (decision->request == id) {
            const Decision own = *decision;
            decisions_.erase(decision);
            return own;
        }
    }
    ++counters_.queued;
    requestSlots(*service, now);
    Decision queued;
    queued.kind = DecisionKind::Queued;
    queued.request = id;
    return queued;
}

// A loan in use outlasts the deadline plus the grace time, so an attempt started before the deadline stays within it.
bool Router::canStart(AttemptId id, base::TimePoint now) const
{
    const Attempt *attempt = findAttempt(id);
    YW_INVARIANT(attempt != nullptr && !attempt->abandoned, "an attempt that has ended is not started");
    return now < attempt->deadline && table_.isServing(table_.at(attempt->upstream), now);
}

FinishResult Router::finishAttempt(AttemptId id, const AttemptResult &result, base::TimePoint now)
{
    Attempt *attempt = findAttempt(id);
    YW_INVARIANT(attempt != nullptr && !attempt->abandoned, "an attempt ends once");
    Request *request = findRequest(attempt->request);
    YW_INVARIANT(request != nullptr && request->attempt == id, "an answer belongs to the request that waits for it");
    recordOutcome(*attempt, result, request->service, now);
    const UpstreamIndex upstream = attempt->upstream;
    if (result.outcome == AttemptOutcome::TimedOut || result.outcome == AttemptOutcome::CallerGone) {
        attempt->abandoned = true;
        attempt->releaseAt = now + options_.loans.abandonGrace;
        abandoned_.push_back(id);
    } else {
        releaseAttempt(*attempt, now);
    }
    request->verdict = base::combine(request->verdict, verdictOf(result.outcome));
    FinishResult finish{false, request->verdict};
    if (tryConsumeRetry(*request, result, now)) {
        finish.retrying = true;
        ++counters_.retried;
        request->excluded[request->excludedCount++ % MaxExcluded] = upstream;
        enqueue(*request, true, now);
        dispatchWaiting(request->service, now);
    } else {
        freeRequest(*request);
    }
    dispatchWaitingAt(upstream, now);
    return finish;
}

void Router::releaseAbandonedAttempt(AttemptId id, base::TimePoint now)
{
    Attempt *attempt = findAttempt(id);
    if (attempt == nullptr || !attempt->abandoned) {
        return;
    }
    const UpstreamIndex upstream = attempt->upstream;
    std::erase(abandoned_, id);
    releaseAttempt(*attempt, now);
    dispatchWaitingAt(upstream, now);
}

base::Verdict Router::cancelWaiting(RequestId id)
{
    Request *request = findRequest(id);
    if (request == nullptr || request->state != RequestState::Waiting) {
        return base::Verdict::NotRun;
    }
    serviceAt(request->service).queue.remove(id, request->urgency, request->caller);
    --waiting_;
    const base::Verdict verdict = request->verdict;
    freeRequest(*request);
    return verdict;
}

tl::expected<void, UpstreamTableError> Router::applyHeartbeat(const UpstreamAnnouncement &announcement,
                                                              base::TimePoint now)
{
    const auto index = table_.applyHeartbeat(announcement, now);
    if (!index) {
        return tl::unexpected(index.error());
    }
    loans_.assignShare(*index, true);
    dispatchWaitingAt(*index, now);
    return {};
}

void Router::receive(const UpstreamUpdate &update, base::TimePoint now)
{
    if (const auto index = table_.applyUpdate(update, now)) {
        loans_.assignShare(*index, false);
        dispatchWaitingAt(*index, now);
    }
}

void Router::receive(const ShareMessage &message, base::TimePoint now)
{
    const Upstream *upstream = table_.find(message.executor);
    loans_.handle(message, upstream != nullptr && hasWaitingRequests(*upstream), now);
    if (message.kind == ShareMessageKind::LoanGrant) {
        counters_.slotsBorrowed += message.slots;
    }
    dispatchAllWaiting(now);
}

void Router::tick(base::TimePoint now)
{
    expireWaiting(now);
    while (!abandoned_.empty()) {
        Attempt *oldest = findAttempt(abandoned_.front());
        if (oldest != nullptr && oldest->releaseAt > now) {
            break;
        }
        if (oldest != nullptr) {
            releaseAttempt(*oldest, now);
        }
        abandoned_.erase(abandoned_.begin());
    }
    loans_.tick(now);
    if (now - lastRemoval_ >= RemovalInterval) {
        lastRemoval_ = now;
        table_.removeExpired(now);
    }
    dispatchAllWaiting(now);
}

void Router::announceShutdown(base::TimePoint now)
{
    YW_INVARIANT(freeRequests_.size() == requests_.size(), "no request is left at shutdown");
    loans_.announceShutdown(now);
}

void Router::takeDecisions(std::vector<Decision> &decisions)
{
    decisions.insert(decisions.end(), decisions_.begin(), decisions_.end());
    decisions_.clear();
}

std::vector<UpstreamUpdate> Router::takeUpdates()
{
    return table_.takeUpdates();
}

std::vector<ShareMessage> Router::takeShareMessages()
{
    return loans_.takeMessages();
}

const Upstream &Router::upstream(UpstreamIndex index) const
{
    return table_.at(index);
}

const UpstreamTable &Router::table() const
{
    return table_;
}

bool Router::isRecovered(base::TimePoint now) const
{
    return loans_.isRecovered(now);
}

// Without any serving upstream, the entry becomes ready after the grace time, to answer callers with rejections.
bool Router::isReady(base::TimePoint now) const
{
    std::uint64_t usable = 0;
    std::uint64_t total = 0;
    for (UpstreamIndex index = 0; index < table_.size(); ++index) {
        const Upstream &upstream = table_.at(index);
        if (table_.isServing(upstream, now)) {
            usable += upstream.share.usableSlots(now);
            total += upstream.share.fixedSlots();
        }
    }
    if (total == 0) {
        return isRecovered(now) && now >= startedAt_ + options_.loans.abandonGrace;
    }
    return usable * 2 >= total;
}

std::size_t Router::waitingCount() const
{
    return waiting_;
}

const RouterCounters &Router::counters() const
{
    return counters_;
}

// An id holds the slot index in its low bits and a generation above, so that a late event for a reused slot finds
// nothing.
Router::Request &Router::newRequest(const RequestInfo &info, ServiceIndex service, base::TimePoint now)
{
    if (freeRequests_.empty()) {
        freeRequests_.push_back(static_cast<std::uint32_t>(requests_.size()));
        requests_.emplace_back();
    }
    const std::uint32_t index = freeRequests_.back();
    freeRequests_.pop_back();
    Request &request = requests_[index];
    request.id = (nextGeneration_++ << IndexBits) | index;
    request.state = RequestState::Running;
    request.service = service;
    request.caller.assign(info.caller);
    request.urgency = info.urgency;
    request.deadline = info.deadline;
    request.queuedAt = now;
    request.repeatable = info.repeatable;
    request.replayable = info.replayable;
    request.attempts = 0;
    request.verdict = base::Verdict::NotRun;
    request.attempt = 0;
    request.excludedCount = 0;
    return request;
}

Router::Request *Router::findRequest(RequestId id)
{
    const std::uint64_t index = id & IndexMask;
    const bool found =
        index < requests_.size() && requests_[index].id == id && requests_[index].state != RequestState::Free;
    return found ? &requests_[index] : nullptr;
}

void Router::freeRequest(Request &request)
{
    request.state = RequestState::Free;
    freeRequests_.push_back(static_cast<std::uint32_t>(request.id & IndexMask));
}

const Router::Attempt *Router::findAttempt(AttemptId id) const
{
    const std::uint64_t index = id & IndexMask;
    const bool found = index < attempts_.size() && attempts_[index].id == id && attempts_[index].active;
    return found ? &attempts_[index] : nullptr;
}

Router::Attempt *Router::findAttempt(AttemptId id)
{
    return const_cast<Attempt *>(std::as_const(*this).findAttempt(id));
}

AttemptId Router::newAttempt(const Request &request, UpstreamIndex upstream, LoanId loan)
{
    if (freeAttempts_.empty()) {
        freeAttempts_.push_back(static_cast<std::uint32_t>(attempts_.size()));
        attempts_.emplace_back();
    }
    const std::uint32_t index = freeAttempts_.back();
    freeAttempts_.pop_back();
    const AttemptId id = (nextGeneration_++ << IndexBits) | index;
    attempts_[index] = Attempt{id, true, false, request.id, upstream, loan, request.deadline, {}};
    return id;
}

void Router::releaseAttempt(Attempt &attempt, base::TimePoint now)
{
    table_.at(attempt.upstream).share.release(attempt.loan, now);
    attempt.active = false;
    freeAttempts_.push_back(static_cast<std::uint32_t>(attempt.id & IndexMask));
}

// Refused, Withdrawn and CallerGone say nothing about the upstream's health.
void Router::recordOutcome(const Attempt &attempt,
                           const AttemptResult &result,
                           ServiceIndex service,
                           base::TimePoint now)
{
    Upstream &upstream = table_.at(attempt.upstream);
    if (isFailure(result.outcome)) {
        updateEwma(upstream.latency, std::max(result.latency, FailureLatency));
        upstream.lastAnswer = now;
        if (upstream.health.recordFailure(options_.health)) {
            ejectIfAllowed(attempt.upstream, now);
        }
    } else if (result.outcome == AttemptOutcome::Answered) {
        updateEwma(upstream.latency, result.latency);
        updateEwma(serviceAt(service).latency, result.latency);
        upstream.lastAnswer = now;
        upstream.health.recordSuccess(options_.health);
    }
}

// Limits the percentage of a service's upstreams ejected at once: many simultaneous failures indicate a common cause.
void Router::ejectIfAllowed(UpstreamIndex index, base::TimePoint now)
{
    constexpr std::size_t Percent = 100;
    Upstream &upstream = table_.at(index);
    if (upstream.health.state(now) == HealthState::Ejected) {
        return;
    }
    for (const ServiceIndex service : upstream.services) {
        const auto &offering = table_.upstreamsOf(service);
        const auto ejected = std::count_if(offering.begin(), offering.end(), [&](UpstreamIndex other) {
            return other != index && table_.at(other).health.state(now) == HealthState::Ejected;
        });
        if ((static_cast<std::size_t>(ejected) + 1) * Percent > offering.size() * options_.maxEjectedPercent) {
            return;
        }
    }
    upstream.health.eject(options_.health, now);
    ++counters_.ejections;
}

bool Router::tryConsumeRetry(const Request &request, const AttemptResult &result, base::TimePoint now)
{
    const bool notRun = verdictOf(result.outcome) == base::Verdict::NotRun;
    const bool failedWhileRepeatable = request.repeatable && result.outcome == AttemptOutcome::Cut;
    const bool possible = request.replayable && !result.answerStarted && request.attempts < options_.maxAttempts
        && now < request.deadline;
    return possible && (notRun || failedWhileRepeatable) && retryBudget_.tryConsume();
}

} // namespace yuccawheel::routing
