#include "base/invariant.h"
#include "routing/router.h"

#include <algorithm>

namespace yuccawheel::routing
{

namespace
{

/// Bulk requests leave 1/8 of a service's slots free for other classes.
constexpr std::uint32_t BulkReserveDivisor = 8;
/// With fewer slots, none is reserved.
constexpr std::uint32_t BulkReserveMinimum = 4;
constexpr std::uint32_t SlotsPerLoan = 2;
constexpr base::Duration LoanRequestInterval = std::chrono::milliseconds(1);
constexpr base::Duration MinRetryAfter = std::chrono::seconds(1);
constexpr base::Duration MaxRetryAfter = std::chrono::seconds(30);
/// Half-life of a measured latency, so that a slow upstream is tried again.
constexpr base::Duration LatencyHalfLife = std::chrono::seconds(5);
constexpr int MaxLatencyHalvings = 6;

base::Duration agedLatency(const Upstream &upstream, base::TimePoint now)
{
    const auto halvings = std::min<std::int64_t>((now - upstream.lastAnswer) / LatencyHalfLife, MaxLatencyHalvings);
    return upstream.latency / (std::int64_t{1} << std::max<std::int64_t>(halvings, 0));
}

} // namespace

Router::Service &Router::serviceAt(ServiceIndex index)
{
    if (services_.size() <= index) {
        services_.resize(table_.serviceCount());
    }
    return services_[index];
}

bool Router::isEligible(const Upstream &upstream, base::TimePoint now) const
{
    if (!table_.isServing(upstream, now)) {
        return false;
    }
    const HealthState health = upstream.health.state(now);
    return health == HealthState::Healthy || (health == HealthState::Probation && upstream.share.slotsInUse() == 0);
}

// Collects the upstreams with a free slot for an attempt that ends before `end`. Leaves out upstreams at which the
// request has already failed.
Router::Capacity
Router::collectCandidates(const Request *request, ServiceIndex service, base::TimePoint end, base::TimePoint now)
{
    localCandidates_.clear();
    remoteCandidates_.clear();
    Capacity capacity;
    const std::size_t excludedCount =
        request == nullptr ? 0 : std::min<std::size_t>(request->excludedCount, MaxExcluded);
    for (const UpstreamIndex index : table_.upstreamsOf(service)) {
        const Upstream &upstream = table_.at(index);
        if (!table_.isServing(upstream, now)) {
            continue;
        }
        ++capacity.serving;
        const std::uint32_t usable = upstream.share.usableSlots(now);
        if (!isEligible(upstream, now)) {
            continue;
        }
        capacity.usable += usable;
        const std::uint32_t free = upstream.share.availableSlots(end, now);
        const bool excluded = excludedCount > 0
            && std::find(request->excluded.begin(), request->excluded.begin() + excludedCount, index)
                != request->excluded.begin() + excludedCount;
        if (free > 0 && !excluded) {
            capacity.free += free;
            auto &list = upstream.local ? localCandidates_ : remoteCandidates_;
            list.push_back(Candidate{index, upstream.share.slotsInUse(), usable, agedLatency(upstream, now)});
        }
    }
    return capacity;
}

// Rejects early a request that would wait in vain, so that the caller can use another entry or retry later.
std::optional<Rejection>
Router::checkAdmission(const RequestInfo &info, ServiceIndex service, const Capacity &capacity, base::TimePoint now)
{
    Service &state = serviceAt(service);
    if (capacity.serving == 0) {
        return Rejection::NoUpstream;
    }
    if (now >= info.deadline) {
        return Rejection::DeadlinePassed;
    }
    if (state.queue.empty()) {
        return std::nullopt;
    }
    const std::string caller(info.caller);
    if (state.queue.sizeOfCaller(caller) >= options_.maxWaitingPerCaller) {
        return Rejection::CallerLimitExceeded;
    }
    const auto ahead = static_cast<std::int64_t>(state.queue.sizeAtOrAbove(info.urgency));
    const base::Duration wait = state.latency * ahead / std::max<std::int64_t>(capacity.usable, 1);
    if (now + wait > info.deadline) {
        return Rejection::Overloaded;
    }
    if (state.queue.size() >= options_.maxWaiting) {
        const auto victim = state.queue.findEvictionCandidate(info.urgency);
        if (!victim) {
            return Rejection::Overloaded;
        }
        evict(*victim);
    }
    return std::nullopt;
}

void Router::evict(RequestId id)
{
    Request *victim = findRequest(id);
    YW_INVARIANT(victim != nullptr && victim->state == RequestState::Waiting, "only waiting requests are evicted");
    Service &state = serviceAt(victim->service);
    state.queue.remove(id, victim->urgency, victim->caller);
    --waiting_;
    decisions_.push_back(reject(Rejection::Overloaded, victim, &state));
}

// Suggests a retry after the expected time to serve the current queue.
Decision Router::reject(Rejection rejection, Request *request, const Service *service)
{
    Decision decision;
    decision.kind = DecisionKind::Reject;
    decision.rejection = rejection;
    decision.retryAfter = MinRetryAfter;
    if (service != nullptr) {
        const auto backlog = service->latency * static_cast<std::int64_t>(service->queue.size());
        decision.retryAfter = std::clamp(backlog, MinRetryAfter, MaxRetryAfter);
    }
    if (request != nullptr) {
        decision.request = request->id;
        decision.verdict = request->verdict;
        freeRequest(*request);
    }
    ++counters_.rejected;
    return decision;
}

bool Router::isBulkAllowed(const Capacity &capacity) const
{
    const std::uint32_t reserve = (capacity.usable + BulkReserveDivisor - 1) / BulkReserveDivisor;
    return capacity.usable < BulkReserveMinimum || capacity.free > reserve;
}

// Requires a preceding `collectCandidates`. Prefers the entry's own zone; slots in other zones are always borrowed.
Decision Router::dispatch(Request &request, base::TimePoint now)
{
    const auto &candidates = localCandidates_.empty() ? remoteCandidates_ : localCandidates_;
    const UpstreamIndex index = candidates[choice_->choose(candidates)].upstream;
    Upstream &upstream = table_.at(index);
    YW_INVARIANT(table_.isServing(upstream, now), "a leaving or silent upstream receives no request");
    const LoanId loan = upstream.share.acquire(request.deadline + options_.loans.abandonGrace, now);
    YW_INVARIANT(upstream.share.slotsInUse() <= upstream.share.usableSlots(now),
                 "slots in use stay within the entry's share");
    YW_INVARIANT(upstream.share.slotsInUse() <= upstream.share.connectionLimit(now),
                 "slots in use stay within the connection limit");
    request.attempt = newAttempt(request, index, loan);
    request.state = RequestState::Running;
    ++request.attempts;
    ++counters_.dispatched;
    Decision decision;
    decision.kind = DecisionKind::Dispatch;
    decision.request = request.id;
    decision.attempt = request.attempt;
    decision.upstream = index;
    return decision;
}

void Router::enqueue(Request &request, bool front, base::TimePoint now)
{
    WaitQueue &queue = serviceAt(request.service).queue;
    request.state = RequestState::Waiting;
    request.queuedAt = now;
    if (front) {
        queue.pushFront(request.id, request.urgency, request.caller);
    } else {
        queue.push(request.id, request.urgency, request.caller);
    }
    ++waiting_;
}

void Router::dispatchWaiting(ServiceIndex service, base::TimePoint now)
{
    while (dispatchNext(service, now)) {
    }
}

// If the next request is a bulk request that may not use the reserved slots, tries the next one of the other classes.
bool Router::dispatchNext(ServiceIndex service, base::TimePoint now)
{
    WaitQueue &queue = serviceAt(service).queue;
    for (const bool allowBulk : {true, false}) {
        const auto id = queue.front(allowBulk);
        if (!id) {
            return false;
        }
        Request *request = findRequest(*id);
        YW_INVARIANT(request != nullptr && request->state == RequestState::Waiting, "only waiting requests are queued");
        if (request->deadline <= now) {
            queue.popFront(allowBulk);
            --waiting_;
            decisions_.push_back(reject(Rejection::DeadlinePassed, request, &serviceAt(service)));
            return true;
        }
        const base::TimePoint end = request->deadline + options_.loans.abandonGrace;
        Capacity capacity = collectCandidates(request, service, end, now);
        if (capacity.free == 0 && request->excludedCount > 0) {
            request->excludedCount = 0;
            capacity = collectCandidates(request, service, end, now);
        }
        if (capacity.free == 0) {
            return false;
        }
        if (request->urgency != Urgency::Bulk || isBulkAllowed(capacity)) {
            queue.popFront(allowBulk);
            --waiting_;
            decisions_.push_back(dispatch(*request, now));
            return true;
        }
    }
    return false;
}

void Router::dispatchAllWaiting(base::TimePoint now)
{
    if (waiting_ == 0) {
        return;
    }
    for (ServiceIndex service = 0; service < services_.size(); ++service) {
        if (!services_[service].queue.empty()) {
            dispatchWaiting(service, now);
            requestSlots(service, now);
        }
    }
}

void Router::dispatchWaitingAt(UpstreamIndex upstream, base::TimePoint now)
{
    if (waiting_ == 0) {
        return;
    }
    for (const ServiceIndex service : table_.at(upstream).services) {
        dispatchWaiting(service, now);
    }
}

// Requests slots of upstreams in the own zone first. Upstreams of other zones have a higher latency, so their slots are
// requested only once a request has waited for `remoteBorrowDelay`.
void Router::requestSlots(ServiceIndex service, base::TimePoint now)
{
    Service &state = serviceAt(service);
    const auto front = state.queue.front(true);
    if (!front || now - state.lastLoanRequest < LoanRequestInterval) {
        return;
    }
    state.lastLoanRequest = now;
    const bool includeRemote = now - findRequest(*front)->queuedAt >= options_.remoteBorrowDelay;
    auto wanted = static_cast<std::uint32_t>(state.queue.size());
    const auto &offering = table_.upstreamsOf(service);
    const std::size_t start = offering.empty() ? 0 : nextGeneration_ % offering.size();
    for (const bool local : {true, false}) {
        for (std::size_t i = 0; i < offering.size() && wanted > 0 && (local || includeRemote); ++i) {
            const UpstreamIndex index = offering[(start + i) % offering.size()];
            const Upstream &upstream = table_.at(index);
            if (upstream.local == local && isEligible(upstream, now)) {
                wanted -= std::min(wanted, loans_.requestSlots(index, std::min(wanted, SlotsPerLoan), now));
            }
        }
    }
}

bool Router::hasWaitingRequests(const Upstream &upstream) const
{
    return std::any_of(upstream.services.begin(), upstream.services.end(), [this](ServiceIndex service) {
        return service < services_.size() && !services_[service].queue.empty();
    });
}

void Router::expireWaiting(base::TimePoint now)
{
    if (waiting_ == 0) {
        return;
    }
    std::vector<RequestId> waiting;
    for (Service &service : services_) {
        service.queue.appendAll(waiting);
    }
    for (const RequestId id : waiting) {
        Request *request = findRequest(id);
        YW_INVARIANT(request != nullptr, "a queued request exists");
        if (request->deadline <= now) {
            Service &service = serviceAt(request->service);
            service.queue.remove(id, request->urgency, request->caller);
            --waiting_;
            decisions_.push_back(reject(Rejection::DeadlinePassed, request, &service));
        }
    }
}

} // namespace yuccawheel::routing
