#pragma once

#include "daemon/daemon.h"
#include "daemon/manager_connections.h"
#include "platform/caller_api.h"
#include "platform/eligibility_client.h"
#include "workflow/platform_interface.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

namespace yuccawheel::gateway
{

/// Forwards callers' requests to the leading manager and queries the eligibility service on its behalf.
class GatewayService
    : public daemon::Service
    , private workflow::CallerHandler
{
public:
    explicit GatewayService(daemon::Context &context);
    ~GatewayService() override;

    std::optional<std::string> notReadyReason() const override;
    void drain(std::function<void()> done) override;
    void answerPendingRequests() override;
    std::size_t inProgress() const override;
    void reload(const settings::ProcessSettings &settings) override;

private:
    using ReplyCallback = std::function<void(tl::expected<workflow::QueueReply, workflow::Unanswered>)>;
    /// A caller's request without an answer yet.
    struct PendingRequest {
        workflow::QueueRequest request;
        std::chrono::steady_clock::time_point deadline; ///< When the gateway gives up.
        std::chrono::steady_clock::time_point callerDeadline; ///< Latest time for a reply to reach the caller.
        ReplyCallback done;
        bool mayTakeEffect = false; ///< An earlier attempt got no answer but may have run.
        bool isSent = false; ///< An attempt is in progress.
    };
    using PendingRequestPtr = std::shared_ptr<PendingRequest>;

    // CallerHandler.
    void handle(workflow::QueueRequest request, std::chrono::milliseconds timeout, ReplyCallback done) override;

    void forward(const PendingRequestPtr &pending);
    void giveUp(const PendingRequestPtr &pending);
    void retryLater(const PendingRequestPtr &pending);
    void onNotice(std::uint32_t manager, const protocol::Frame &frame);
    /// Passes the reply on, unless the request has been answered already.
    void answer(const PendingRequestPtr &pending, tl::expected<workflow::QueueReply, workflow::Unanswered> reply);

    daemon::Context &context_;
    std::shared_ptr<GatewayService *> alive_;
    daemon::ManagerConnections managers_;
    std::optional<platform::EligibilityClient> eligibility_;
    boost::asio::steady_timer drainTimer_;
    std::unordered_set<PendingRequestPtr> pending_;
    std::optional<platform::CallerApi> callers_;
};

} // namespace yuccawheel::gateway
