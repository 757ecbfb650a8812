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

/// Scheduler process of one VM: a candidate for the ownership of its zone. While it owns the zone, it plans and
/// controls the tasks of the zone's workers.
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
    /// A share of a job that is assigned to this zone.
    struct Share {
        protocol::ShareAssignment assignment;
        JobInfo info;
        bool cancelled = false;
        bool detached = false; ///< Stopped here: the store did not answer for the share's `detachedFor`.
    };

    // HubListener
    bool onEvent(placement::Event event, std::uint64_t session, std::optional<std::uint64_t> sequence) override;
    void onNewWorker(const std::string &name) override;
    const JobInfo *jobInfo(placement::JobId job) const override;

    // Zone ownership
    void tryAcquire();
    void becomeOwner(const protocol::ZoneOwner &owner);
    void stepDown(const std::string &reason);
    void renew();
    void onRenewed(tl::expected<protocol::RenewZoneReply, protocol::RequestError> answer);
    void checkRecovery();
    void detachExpiredShares(base::TimePoint now);
    void updateDetachDeadline();

    // State from the replicated log
    void onUpdate(const protocol::StateUpdate &update);
    void applyConfiguration(const protocol::Configuration &configuration);
    placement::QuotasChanged makeQuotasEvent() const;
    void onOwnerChanged(const protocol::ZoneOwner &owner);
    void dropMissingShares(const protocol::StateUpdate &update);
    void assignShare(const protocol::ShareAssignment &assignment);
    /// Lowest attempt number of this owner.
    std::uint32_t firstAttempt() const;
    void assignToPlanner(const Share &share);
    void cancelJob(placement::JobId job);
    void dropShare(placement::JobId job);

    // Planner commands
    void processPlannerOutput();
    void execute(const placement::StartTask &start, std::uint64_t session);
    void execute(const placement::StopTask &stop, std::uint64_t session);
    void execute(const placement::ThrottleTask &throttle, std::uint64_t session);
    void execute(const placement::TaskDone &done, std::uint64_t session);
    void execute(const placement::TasksNotRun &notRun, std::uint64_t session);
    void execute(const placement::JobNeverFits &never, std::uint64_t session);
    void execute(const placement::JobShareDone &done, std::uint64_t session);
    void execute(const placement::DecisionNote &note, std::uint64_t session);
    void pushToPlanner(placement::Event event);
    void flushBacklog();

    void handleWorker(const http::Request &request, http::Responder respond);
    // Operators' queries, forwarded by entries
    void handleInnerFrame(const protocol::ChannelPtr &channel, const protocol::Frame &frame);
    tl::expected<std::string, protocol::RequestError> answerQuery(const protocol::Query &query);
    void explain(const protocol::ChannelPtr &channel, std::uint64_t correlation, placement::JobId job);
    /// Runs `query` on the planner's thread, and replies on the network thread with the answer formatted by `format`.
    template <typename Answer>
    void queryPlanner(const protocol::ChannelPtr &channel,
                      std::uint64_t correlation,
                      std::function<Answer(const placement::Planner &)> query,
                      std::function<std::string(const Answer &)> format);
    void listWorkers(const protocol::ChannelPtr &channel, std::uint64_t correlation);
    std::string workersJson(const std::vector<placement::WorkerRestriction> &restricted) const;
    std::string runningTasksJson() const;
    void onTick();

    daemon::Context &context_;
    WorkerHub hub_;
    ProgressReporter progress_;
    StartHistory starts_;
    std::unique_ptr<PlannerThread> planner_; ///< Null unless this process owns the zone.
    std::deque<PlannerInput> backlog_; ///< State from the log that waits for room in the planner's queue.
    std::unordered_map<placement::JobId, Share> shares_;
    std::map<std::string, placement::TeamQuota> quotas_; ///< By team name.
    std::vector<std::string> registeredWorkers_;
    std::optional<protocol::ZoneOwner> knownOwner_;
    protocol::ZoneOwner self_;
    bool acquiring_ = false;
    bool recovering_ = false;
    bool draining_ = false;
    base::TimePoint ownerSince_{};
    base::TimePoint nextRenewal_{};
    base::TimePoint acquireSentAt_{};
    base::TimePoint renewalSentAt_{};
    base::TimePoint lastAnsweredRenewalAt_{}; ///< Send time of the last renewal that the store answered.
    base::TimePoint detachDeadline_{}; ///< Earliest time at which a share must be detached if no answer arrives.
    bool hasDetachedShares_ = false;
    std::shared_ptr<SchedulerService *> alive_; ///< Holds null after destruction; checked by posted callbacks.
    boost::asio::steady_timer timer_;
    store::StoreClient store_;
    daemon::ZoneConfiguration configuration_;
    std::optional<protocol::Listener> inner_;
    std::optional<http::Server> workerServer_;
};

} // namespace yuccawheel::scheduler
