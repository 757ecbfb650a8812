#include "gateway_service.h"

#include "base/log.h"
#include "daemon/health_server.h"

#include <algorithm>
#include <vector>

namespace yuccawheel::gateway
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds AttemptTimeout{1'000}; ///< More than ten times as long as writing an accepted job to disk.
constexpr milliseconds MaxHoldTime{1'500}; ///< Longer than an election; after that the caller should try elsewhere.
constexpr int HoldTimeDivisor = 2; ///< A request is held for at most half of its caller's timeout.
constexpr milliseconds ReplyMargin{250}; ///< Time for the reply to reach the caller.
// A caller's read often comes when its tasks have ended and the end isn't in the log yet, which takes up to 150 ms.
constexpr milliseconds MaxReadWait{250};
constexpr int ReadWaitDivisor = 8; ///< A read waits for at most an eighth of its caller's timeout.
constexpr milliseconds RetryInterval{50};
constexpr milliseconds RetryAfter{1'000};

} // namespace

GatewayService::GatewayService(daemon::Context &context)
    : context_(context)
    , alive_(std::make_shared<GatewayService *>(this))
    , managers_(context, 0, [this](std::uint32_t manager, const protocol::Frame &frame) { onNotice(manager, frame); })
    , drainTimer_(context.io)
{
    if (context.settings.eligibilityService) {
        eligibility_.emplace(context.io, *context.settings.eligibilityService);
    }
    workflow::CallerHandler &handler = *this;
    const std::size_t connections = context.descriptors.forServers();
    callers_.emplace(context.io,
                     daemon::toAsio(*context.settings.listen.caller),
                     handler,
                     connections - std::min(connections / 2, daemon::HealthServer::MaxConnections));
}

GatewayService::~GatewayService()
{
    *alive_ = nullptr;
}

std::optional<std::string> GatewayService::notReadyReason() const
{
    return managers_.isConnected() ? std::nullopt : std::optional<std::string>("no manager can be reached");
}

std::size_t GatewayService::inProgress() const
{
    return pending_.size();
}

void GatewayService::reload(const settings::ProcessSettings &settings)
{
    managers_.setSeeds(settings.seeds);
}

// Load balancers take a while to notice that the gateway is not ready, so it accepts requests during the drain delay.
void GatewayService::drain(std::function<void()> done)
{
    drainTimer_.expires_after(context_.settings.drainDelay);
    drainTimer_.async_wait([done = std::move(done)](const boost::system::error_code &error) {
        if (!error) {
            done();
        }
    });
}

void GatewayService::answerPendingRequests()
{
    const std::vector<PendingRequestPtr> requests(pending_.begin(), pending_.end());
    for (const PendingRequestPtr &pending : requests) {
        giveUp(pending);
    }
}

void GatewayService::handle(workflow::QueueRequest request, milliseconds timeout, ReplyCallback done)
{
    auto pending = std::make_shared<PendingRequest>();
    pending->request = std::move(request);
    pending->request.wait = std::min(MaxReadWait, timeout / ReadWaitDivisor);
    pending->deadline = steady_clock::now() + std::min(MaxHoldTime, timeout / HoldTimeDivisor);
    pending->done = std::move(done);
    pending->callerDeadline = steady_clock::now() + timeout - ReplyMargin;
    pending_.insert(pending);
    forward(pending);
}

void GatewayService::answer(const PendingRequestPtr &pending,
                            tl::expected<workflow::QueueReply, workflow::Unanswered> reply)
{
    if (pending_.erase(pending) > 0) {
        pending->done(std::move(reply));
    }
}

void GatewayService::giveUp(const PendingRequestPtr &pending)
{
    base::logInfo("request_given_up")
        .with("path", pending->request.path)
        .with("verb", static_cast<int>(pending->request.verb))
        .with("leader", daemon::managerIp(managers_.leaderNumber()))
        .with("connected", managers_.leader() != nullptr);
    answer(pending, tl::make_unexpected(workflow::Unanswered{pending->mayTakeEffect || pending->isSent, RetryAfter}));
}

// Requests are idempotent, because the leader identifies a job by its key. So an unanswered request can be sent again.
void GatewayService::forward(const PendingRequestPtr &pending)
{
    protocol::Peer *const leader = managers_.leader();
    const auto remaining = std::chrono::duration_cast<milliseconds>(pending->deadline - steady_clock::now());
    if (remaining.count() <= 0) {
        giveUp(pending);
        return;
    }
    if (leader == nullptr) {
        retryLater(pending);
        return;
    }
    pending->isSent = true;
    leader->request(pending->request,
                    std::min(remaining, AttemptTimeout),
                    [this, alive = alive_, pending](tl::expected<workflow::QueueReply, protocol::RequestError> reply) {
                        if (*alive == nullptr) {
                            return;
                        }
                        pending->isSent = false;
                        if (reply) {
                            answer(pending, std::move(*reply));
                            return;
                        }
                        if (reply.error().code == protocol::ErrorCode::Overloaded && !pending->mayTakeEffect) {
                            answer(pending, tl::make_unexpected(workflow::Unanswered{false, RetryAfter}));
                            return;
                        }
                        // A request that may have taken effect is retried until the caller's deadline: giving up
                        // earlier would only leave the retries to the caller.
                        if (reply.error().verdict != base::Verdict::NotRun) {
                            pending->mayTakeEffect = true;
                            pending->deadline = std::max(pending->deadline, pending->callerDeadline);
                        }
                        retryLater(pending);
                    });
}

void GatewayService::retryLater(const PendingRequestPtr &pending)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(context_.io, RetryInterval);
    timer->async_wait([this, alive = alive_, pending, timer](const boost::system::error_code &error) {
        if (*alive != nullptr && !error && pending_.contains(pending)) {
            forward(pending);
        }
    });
}

void GatewayService::onNotice(std::uint32_t manager, const protocol::Frame &frame)
{
    if (frame.type != protocol::MessageType::AskEligibility) {
        return;
    }
    const auto query = protocol::decode<workflow::AskEligibility>(frame.payload);
    if (!query) {
        base::logWarning("eligibility_query_unreadable").with("reason", query.error().message);
        return;
    }
    const auto answer = [this, manager, id = query->query](workflow::EligibilityRows rows) {
        workflow::EligibilityAnswer message{id, rows.has_value(), {}};
        if (rows) {
            message.rows = std::move(*rows);
        }
        managers_.peer(manager).notify(message);
    };
    if (!eligibility_) {
        base::logWarning("no_eligibility_service").with("step", query->step);
        answer(std::nullopt);
        return;
    }
    eligibility_->query(query->step, query->workers, query->timeout, answer);
}

} // namespace yuccawheel::gateway
