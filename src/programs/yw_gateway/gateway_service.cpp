#include "gateway_service.h"

#include "base/log.h"

#include <algorithm>

namespace yuccawheel::gateway
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds AttemptTimeout{1'000}; ///< An accepted job is on disk within a tenth of that.
constexpr milliseconds LongestHold{1'500}; ///< An election takes less; beyond, the caller does better elsewhere.
constexpr int PatienceShare = 2; ///< A request is held for half of its caller's patience at most.
constexpr milliseconds AnswerReserve{250}; ///< For the way of the last answer to a caller.
constexpr milliseconds RetryInterval{50};
constexpr milliseconds RetryAfter{1'000};
constexpr milliseconds DrainPoll{20};

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
    callers_.emplace(context.io, daemon::toAsio(*context.settings.listen.caller), handler);
}

GatewayService::~GatewayService()
{
    *alive_ = nullptr;
}

std::optional<std::string> GatewayService::notReadyReason() const
{
    return managers_.connected() ? std::nullopt : std::optional<std::string>("no manager can be reached");
}

std::size_t GatewayService::inProgress() const
{
    return callers_->inProgress();
}

void GatewayService::reload(const settings::ProcessSettings &settings)
{
    managers_.setSeeds(settings.seeds);
}

// The balancer takes a while to notice, so requests are accepted for some time.
void GatewayService::drain(std::function<void()> done)
{
    acceptUntil_ = steady_clock::now() + context_.settings.drainDelay;
    awaitRequests(std::move(done));
}

void GatewayService::awaitRequests(std::function<void()> done)
{
    if (steady_clock::now() >= acceptUntil_ && callers_->inProgress() == 0) {
        done();
        return;
    }
    drainTimer_.expires_after(DrainPoll);
    drainTimer_.async_wait([this, done = std::move(done)](const boost::system::error_code &error) {
        if (!error) {
            awaitRequests(done);
        }
    });
}

void GatewayService::handle(workflow::QueueRequest request, milliseconds patience, Done done)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->request = std::move(request);
    attempt->deadline = steady_clock::now() + std::min(LongestHold, patience / PatienceShare);
    attempt->done = std::move(done);
    attempt->callerWaitsUntil = steady_clock::now() + patience - AnswerReserve;
    pass(attempt);
}

// The leader knows a job by its key, so a request without an answer can be passed on once more.
void GatewayService::pass(const std::shared_ptr<Attempt> &attempt)
{
    protocol::Peer *const leader = managers_.leader();
    const auto left = std::chrono::duration_cast<milliseconds>(attempt->deadline - steady_clock::now());
    if (left.count() <= 0) {
        base::logInfo("request_given_up")
            .with("path", attempt->request.path)
            .with("verb", static_cast<int>(attempt->request.verb))
            .with("leader", daemon::managerIp(managers_.leaderNumber()))
            .with("connected", leader != nullptr);
        attempt->done(tl::make_unexpected(workflow::Unanswered{attempt->mayTakeEffect, RetryAfter}));
        return;
    }
    if (leader == nullptr) {
        passLater(attempt);
        return;
    }
    leader->request(attempt->request,
                    std::min(left, AttemptTimeout),
                    [this, alive = alive_, attempt](tl::expected<workflow::QueueReply, protocol::RequestError> reply) {
                        if (*alive == nullptr) {
                            return;
                        }
                        if (reply) {
                            attempt->done(std::move(*reply));
                            return;
                        }
                        // What may have taken effect is worth finding out: the caller could only ask the same again.
                        if (reply.error().verdict != base::Verdict::NotRun) {
                            attempt->mayTakeEffect = true;
                            attempt->deadline = std::max(attempt->deadline, attempt->callerWaitsUntil);
                        }
                        passLater(attempt);
                    });
}

void GatewayService::passLater(const std::shared_ptr<Attempt> &attempt)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(context_.io, RetryInterval);
    timer->async_wait([this, alive = alive_, attempt, timer](const boost::system::error_code &error) {
        if (*alive != nullptr && !error) {
            pass(attempt);
        }
    });
}

void GatewayService::onNotice(std::uint32_t manager, const protocol::Frame &frame)
{
    if (frame.type != protocol::MessageType::AskEligibility) {
        return;
    }
    const auto question = protocol::decode<workflow::AskEligibility>(frame.payload);
    if (!question) {
        base::logWarning("eligibility_query_unreadable").with("reason", question.error().message);
        return;
    }
    const auto answer = [this, manager, number = question->query](workflow::EligibilityRows rows) {
        workflow::EligibilityAnswer message{number, rows.has_value(), {}};
        if (rows) {
            message.rows = std::move(*rows);
        }
        managers_.peer(manager).notify(message);
    };
    if (!eligibility_) {
        base::logWarning("no_eligibility_service").with("step", question->step);
        answer(std::nullopt);
        return;
    }
    eligibility_->query(question->step, question->workers, question->timeout, answer);
}

} // namespace yuccawheel::gateway
