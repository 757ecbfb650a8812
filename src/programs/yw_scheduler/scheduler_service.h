#pragma once

#include "daemon/daemon.h"
#include "daemon/zone_configuration.h"
#include "http/server.h"
#include "placement/planner.h"
#include "planner_thread.h"
#include "progress_reporter.h"
#include "protocol/listener.h"
#include "start_history.h"
#include "store/store_client.h"
#include "worker_hub.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace yuccawheel::scheduler
{

/// The scheduler of one VM: a candidate for its zone, and while it owns the zone the planner of its workers.
class SchedulerService
    : public daemon::Service
    , private HubListener
{
public:
    explicit SchedulerService(daemon::Context &context);
    ~SchedulerService() override;

    std::optional<std::string> notReadyReason() const override;
    void drain(std::function<void()> done) override;
    std::size_t inProgress() const override;

private:
    /// A share of a job, with the part of it that workers and the planner need.
    struct Share {
        protocol::ShareAssignment assignment;
        JobInfo info;
        bool cancelled = false;
        bool detached = false; ///< Given up here: the log has been out of reach for its `detachedFor`.
    };

    // HubListener.
    bool onEvent(placement::Event event, std::uint64_t session, std::optional<std::uint64_t> sequence) override;
    void onNewWorker(const std::string &name) override;
    const JobInfo *jobInfo(placement::JobId job) const override;

    // Ownership.
    void tryAcquire();
    void becomeOwner(const protocol::ZoneOwner &owner);
    void stepDown(const std::string &reason);
    void renew();
    void onRenewed(tl::expected<protocol::RenewZoneReply, protocol::RequestError> answer);
    void checkRecovery();
    void giveUpDetachedShares(base::TimePoint now);
    void updateDetachDeadline();

    // State from the log.
    void onUpdate(const protocol::StateUpdate &update);
    void applyConfiguration(const protocol::Configuration &configuration);
    placement::QuotasChanged quotas() const;
    void onOwner(const protocol::ZoneOwner &owner);
    void dropUnnamed(const protocol::StateUpdate &update);
    void assign(const protocol::ShareAssignment &assignment);
    /// Number of the first attempt at any task under this ownership.
    std::uint32_t firstAttempt() const;
    void assignToPlanner(const Share &share);
    void cancel(placement::JobId job);
    void drop(placement::JobId job);

    // Decisions.
    void takePlannerOutput();
    void execute(const placement::StartTask &start, std::uint64_t session);
    void execute(const placement::StopTask &stop, std::uint64_t session);
    void execute(const placement::ThrottleTask &throttle, std::uint64_t session);
    void execute(const placement::TaskDone &done, std::uint64_t session);
    void execute(const placement::TasksNotRun &notRun, std::uint64_t session);
    void execute(const placement::JobNeverFits &never, std::uint64_t session);
    void execute(const placement::JobShareDone &done, std::uint64_t session);
    void execute(const placement::DecisionNote &note, std::uint64_t session);
    void pushToPlanner(placement::Event event);
    void pushBacklog();

    void handleWorker(const http::Request &request, http::Responder respond);
    // Questions of operators, passed on by entries.
    void handleInner(const protocol::ChannelPtr &channel, const protocol::Frame &frame);
    tl::expected<std::string, protocol::RequestError> answerQuery(const protocol::Query &query);
    void explain(const protocol::ChannelPtr &channel, std::uint64_t correlation, placement::JobId job);
    /// Asks the planner on its thread, and replies on the network thread with what `format` makes of the answer.
    template <typename Answer>
    void askPlanner(const protocol::ChannelPtr &channel,
                    std::uint64_t correlation,
                    std::function<Answer(const placement::Planner &)> ask,
                    std::function<std::string(const Answer &)> format);
    void listWorkers(const protocol::ChannelPtr &channel, std::uint64_t correlation);
    std::string workersJson(const std::vector<placement::WorkerRestriction> &restricted) const;
    std::string runningTasksJson() const;
    void onTick();

    daemon::Context &context_;
    WorkerHub hub_;
    ProgressReporter progress_;
    StartHistory starts_;
    std::unique_ptr<PlannerThread> planner_; ///< There while this process owns the zone.
    std::deque<PlannerInput> backlog_; ///< State from the log that found the planner's ring full.
    std::unordered_map<placement::JobId, Share> shares_;
    std::map<std::string, placement::TeamQuota> quotas_; ///< By team.
    std::vector<std::string> roster_;
    std::optional<protocol::ZoneOwner> knownOwner_;
    protocol::ZoneOwner self_;
    bool acquiring_ = false;
    bool recovering_ = false;
    bool draining_ = false;
    base::TimePoint ownerSince_{};
    base::TimePoint nextRenewal_{};
    base::TimePoint acquireSentAt_{};
    base::TimePoint renewalSentAt_{};
    base::TimePoint contactAt_{}; ///< When the last renewal that the log answered was sent.
    base::TimePoint detachDeadline_{}; ///< When the first share must be given up without a further answer.
    bool gaveUpShares_ = false;
    std::shared_ptr<SchedulerService *> alive_;
    boost::asio::steady_timer timer_;
    store::StoreClient store_;
    daemon::ZoneConfiguration configuration_;
    std::optional<protocol::Listener> inner_;
    std::optional<http::Server> workerServer_;
};

} // namespace yuccawheel::scheduler
