#pragma once

#include "daemon/daemon.h"
#include "daemon/manager_book.h"
#include "platform/caller_api.h"
#include "platform/eligibility_client.h"
#include "workflow/platform_interface.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace yuccawheel::gateway
{

/// Passes callers' requests on to the leading manager, and asks the eligibility service for it.
class GatewayService
    : public daemon::Service
    , private workflow::CallerHandler
{
public:
    explicit GatewayService(daemon::Context &context);
    ~GatewayService() override;

    std::optional<std::string> notReadyReason() const override;
    void drain(std::function<void()> done) override;
    std::size_t inProgress() const override;
    void reload(const settings::ProcessSettings &settings) override;

private:
    using Done = std::function<void(tl::expected<workflow::QueueReply, workflow::Unanswered>)>;
    /// A request that has no answer yet.
    struct Attempt {
        workflow::QueueRequest request;
        std::chrono::steady_clock::time_point deadline;
        std::chrono::steady_clock::time_point callerWaitsUntil;
        Done done;
        bool mayTakeEffect = false;
    };

    // CallerHandler.
    void handle(workflow::QueueRequest request, std::chrono::milliseconds patience, Done done) override;

    void pass(const std::shared_ptr<Attempt> &attempt);
    void passLater(const std::shared_ptr<Attempt> &attempt);
    void onNotice(std::uint32_t manager, const protocol::Frame &frame);
    void awaitRequests(std::function<void()> done);

    daemon::Context &context_;
    std::shared_ptr<GatewayService *> alive_;
    daemon::ManagerBook managers_;
    std::optional<platform::EligibilityClient> eligibility_;
    boost::asio::steady_timer drainTimer_;
    std::chrono::steady_clock::time_point acceptUntil_{};
    std::optional<platform::CallerApi> callers_;
};

} // namespace yuccawheel::gateway
