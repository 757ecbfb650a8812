#pragma once

#include "base/duty_time.h"
#include "daemon/daemon.h"
#include "daemon/manager_connections.h"
#include "log_thread.h"
#include "platform/control_api.h"
#include "platform/worker_client.h"
#include "protocol/listener.h"
#include "workflow/manager_core.h"
#include "workflow/platform_interface.h"

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace yuccawheel::manager
{

/// A manager: one replica of the replicated log. While it is the leader, it schedules all jobs.
class ManagerService
    : public daemon::Service
    , private workflow::CorePort
    , private workflow::ControlHandler
{
public:
    /// Throws std::runtime_error if the data folder can't be used or `listen.inner` is not an IPv4 address.
    explicit ManagerService(daemon::Context &context);
    ~ManagerService() override;

    std::optional<std::string> notReadyReason() const override;
    void drain(std::function<void()> done) override;
    void refuseRequests() override
    {
        refusing_ = true;
    }
    void answerPendingRequests() override;
    std::size_t inProgress() const override;
    void reload(const settings::ProcessSettings &settings) override;

private:
    using QueueReplyCallback = workflow::ManagerCore::Done<workflow::QueueReply>;

    // CorePort.
    bool pushProposal(std::uint64_t id, std::string data) override;
    void onLeading() override;
    void onStatus(const workflow::LogStatus &before, const workflow::LogStatus &status) override;
    void start(workflow::WorkerNumber worker,
               const workflow::WorkerIdentity &identity,
               const workflow::StartOrder &order) override;
    void stop(workflow::WorkerNumber worker,
              const workflow::WorkerIdentity &identity,
              const workflow::StopOrder &order) override;
    void poll(workflow::WorkerNumber worker,
              const workflow::WorkerIdentity &identity,
              const workflow::PollOrder &order) override;
    void queryEligibility(const workflow::EligibilityQuery &query) override;
    void forget(const workflow::WorkerIdentity &identity) override;

    // ControlHandler.
    void report(const workflow::WorkerReport &report,
                std::function<void(tl::expected<workflow::ReportWorkerReply, workflow::Unanswered>)> done) override;
    void putConfiguration(
        workflow::Configuration configuration,
        std::function<void(tl::expected<workflow::PutConfigurationReply, workflow::Unanswered>)> done) override;
    void getConfiguration(
        std::function<void(tl::expected<workflow::GetConfigurationReply, workflow::Unanswered>)> done) override;

    // Replicated log.
    std::unique_ptr<LogThread> startLog();
    void handlePendingOutput();
    void sendMessages(const std::vector<coordination::Message> &messages);
    /// Queues the application of outputs that have not been applied yet.
    void queueApplication();
    /// Applies outputs for a limited time.
    void applyOutputs();

    /// Schedules onTimer() after `delay`, unless it is due earlier already.
    void armTimer(std::chrono::milliseconds delay);
    void onTimer();
    void waitForHandover(std::function<void()> done);

    // Gateways and other managers.
    void onOpened(const protocol::ChannelPtr &channel);
    void onClosed(const protocol::ChannelPtr &channel);
    void onFrame(const protocol::ChannelPtr &channel, protocol::Frame frame);
    void onRequest(const protocol::ChannelPtr &channel, const protocol::Frame &frame);
    /// Handles a request as an item of the work queue, unless it has waited there until its sender has given up.
    void queueRequest(base::WorkKind kind, const protocol::ChannelPtr &channel, protocol::Frame frame);
    void onQueueRequest(const protocol::ChannelPtr &channel, const protocol::Frame &frame);
    /// Replies that this manager does not lead. `verdict` says whether the request may still take effect.
    void replyNotLeader(const protocol::ChannelPtr &channel, std::uint64_t correlation, base::Verdict verdict);
    void onEligibilityAnswer(const protocol::Frame &frame);
    void sendTopology(const protocol::ChannelPtr &channel);
    void broadcastTopology();
    /// Returns a callback that sends the reply of one request; the request counts as in progress until then.
    template <typename Reply>
    std::function<void(tl::expected<Reply, workflow::Unanswered>)>
    makeReplyCallback(const protocol::ChannelPtr &channel, std::uint64_t correlation);
    /// Forwards a request to the leader; `done` gets its reply, or Unanswered if there is none. `name` is for the log.
    template <typename Request>
    void forwardToLeader(std::string_view name,
                         const Request &request,
                         std::function<void(tl::expected<typename Request::Reply, workflow::Unanswered>)> done);

    /// Passes a reply about the configuration on and logs it, with the time since the request.
    template <typename Reply>
    std::function<void(tl::expected<Reply, workflow::Unanswered>)>
    logConfigurationReply(std::string_view request,
                          std::function<void(tl::expected<Reply, workflow::Unanswered>)> done);
    void recordTick(base::TimePoint begin, base::TimePoint end);
    void reportDutyTime(base::TimePoint now);

    /// Time that the job manager's ticks took since `since`.
    struct TickTimes {
        base::TimePoint since{};
        std::uint64_t ticks = 0;
        base::BootClock::duration total{0};
        base::BootClock::duration longest{0};
    };

    /// Requests since the last report.
    struct RequestCounts {
        std::uint64_t reports = 0; ///< Of workers, to this manager.
        std::uint64_t forwardedReports = 0; ///< From other managers.
        std::uint64_t queueRequests = 0;
        std::uint64_t configurationRequests = 0;
        std::uint64_t forwards = 0; ///< To the leader.
        std::uint64_t failedForwards = 0;
        std::uint64_t shed = 0; ///< Refused, because they or too many others had waited for too long.
    };

    struct DutyTimes {
        std::chrono::microseconds processor{0};
        std::array<std::chrono::microseconds, base::DutyCount> byDuty{};
    };

    daemon::Context &context_;
    std::shared_ptr<ManagerService *> alive_;
    std::uint32_t self_ = 0;
    daemon::ManagerConnections managers_;
    workflow::ManagerCore core_;
    platform::WorkerClient workerCalls_;
    std::unique_ptr<LogThread> log_;
    bool isApplicationQueued_ = false;
    /// Accepted connections by number; the job manager knows a gateway by this number.
    std::unordered_map<std::uint64_t, protocol::ChannelPtr> channels_;
    std::unordered_map<const protocol::Channel *, std::uint64_t> channelNumbers_;
    std::chrono::steady_clock::time_point timerDue_{}; ///< Zero if `timer_` is not armed.
    std::uint64_t nextChannel_ = 1;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer drainTimer_;
    std::chrono::steady_clock::time_point drainDeadline_{};
    std::optional<protocol::Listener> listener_;
    std::optional<platform::ControlApi> control_;
    std::size_t inProgress_ = 0; ///< Requests without a reply yet.
    TickTimes tickTimes_;
    DutyTimes reportedTimes_; ///< As of the last report.
    base::TimePoint nextDutyReport_{};
    RequestCounts requestCounts_;
    std::chrono::steady_clock::duration longestDelay_{0}; ///< Of the timer since the last report.
    bool refusing_ = false; ///< Requests of gateways and other managers are refused.
};

} // namespace yuccawheel::manager
