#pragma once

#include "daemon/daemon.h"
#include "daemon/manager_book.h"
#include "log_thread.h"
#include "platform/control_api.h"
#include "platform/worker_client.h"
#include "protocol/listener.h"
#include "workflow/job_manager.h"
#include "workflow/platform_interface.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace yuccawheel::manager
{

/// One manager: a replica of the agreed log, and while it leads, the scheduler of all jobs.
class ManagerService
    : public daemon::Service
    , private workflow::ManagerPort
    , private workflow::ControlHandler
{
public:
    /// Throws std::runtime_error if the data folder can't be used.
    explicit ManagerService(daemon::Context &context);
    ~ManagerService() override;

    std::optional<std::string> notReadyReason() const override;
    void drain(std::function<void()> done) override;
    std::size_t inProgress() const override;
    void reload(const settings::ProcessSettings &settings) override;

private:
    using EntryDone = std::function<void(bool committed)>;
    using QueueReplyDone = std::function<void(tl::expected<workflow::QueueReply, workflow::Unanswered>)>;
    struct PendingEntry {
        coordination::Term term = 0;
        EntryDone done;
    };

    // ManagerPort.
    bool propose(const workflow::LogEntry &entry) override;
    void start(workflow::WorkerNumber worker,
               const workflow::WorkerIdentity &identity,
               const workflow::StartOrder &order) override;
    void stop(workflow::WorkerNumber worker,
              const workflow::WorkerIdentity &identity,
              const workflow::StopOrder &order) override;
    void poll(workflow::WorkerNumber worker,
              const workflow::WorkerIdentity &identity,
              const workflow::PollOrder &order) override;
    void queryEligibility(const workflow::EligibilityQuery &question) override;
    void forget(const workflow::WorkerIdentity &identity) override;

    // ControlHandler.
    void report(const workflow::WorkerReport &report,
                std::function<void(tl::expected<workflow::ReportWorkerReply, workflow::Unanswered>)> done) override;
    void putConfiguration(
        workflow::Configuration configuration,
        std::function<void(tl::expected<workflow::PutConfigurationReply, workflow::Unanswered>)> done) override;
    void getConfiguration(
        std::function<void(tl::expected<workflow::GetConfigurationReply, workflow::Unanswered>)> done) override;

    // The log.
    std::unique_ptr<LogThread> startLog();
    void takeOutput();
    void takeRound(LogOutput &round);
    void takeFate(const ProposalFate &fate);
    void applyEntry(const coordination::Entry &entry);
    void settle(const coordination::Entry &entry);
    void noteStatus(const LogStatus &status);
    void startLeading();
    void stopLeading(std::string_view reason);
    bool proposeWith(const workflow::LogEntry &entry, EntryDone done);
    bool leads(base::TimePoint now) const;
    void armTimer(std::chrono::milliseconds delay);
    void onTimer();
    void awaitHandover(std::function<void()> done);

    // The other processes.
    void onOpened(const protocol::ChannelPtr &channel);
    void onClosed(const protocol::ChannelPtr &channel);
    void onFrame(const protocol::ChannelPtr &channel, const protocol::Frame &frame);
    void onQueueRequest(const protocol::ChannelPtr &channel, const protocol::Frame &frame);
    void submitJob(const protocol::ChannelPtr &channel,
                   std::uint64_t correlation,
                   workflow::JobKey key,
                   const workflow::QueuePolicy &policy,
                   workflow::JobSpec spec);
    void cancelJob(const protocol::ChannelPtr &channel, std::uint64_t correlation, workflow::JobKey key);
    /// Answers once the log has the entry.
    void acceptWith(const workflow::LogEntry &entry, const QueueReplyDone &reply);
    void refuse(const protocol::ChannelPtr &channel, std::uint64_t correlation, base::Verdict verdict);
    void onEligibilityAnswer(const protocol::Frame &frame);
    void sendTopology(const protocol::ChannelPtr &channel);
    void shareTopology();
    template <typename Reply>
    std::function<void(tl::expected<Reply, workflow::Unanswered>)> replyTo(const protocol::ChannelPtr &channel,
                                                                           std::uint64_t correlation);
    template <typename Request>
    void passOn(const Request &request,
                std::function<void(tl::expected<typename Request::Reply, workflow::Unanswered>)> done);

    daemon::Context &context_;
    std::shared_ptr<ManagerService *> alive_;
    std::uint32_t self_ = 0;
    daemon::ManagerBook managers_;
    workflow::State state_;
    workflow::JobManager jobs_;
    platform::WorkerClient workerCalls_;
    std::unique_ptr<LogThread> log_;
    LogStatus status_;
    std::uint64_t nextProposal_ = 1;
    std::map<std::uint64_t, EntryDone> proposals_; ///< Handed to the log's thread, place not known yet.
    std::map<coordination::Index, PendingEntry> pending_;
    std::unordered_map<std::uint64_t, protocol::ChannelPtr> channels_; ///< Of the other processes, by number.
    std::unordered_map<const protocol::Channel *, std::uint64_t> channelNumbers_;
    coordination::Term startedTerm_ = 0; ///< Newest term whose first entry has been applied.
    std::chrono::steady_clock::time_point timerDue_{};
    std::uint64_t nextChannel_ = 1;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer drainTimer_;
    std::chrono::steady_clock::time_point drainDeadline_{};
    std::optional<protocol::Listener> listener_;
    std::optional<platform::ControlApi> control_;
    std::size_t inProgress_ = 0;
    std::chrono::steady_clock::time_point nextBeginAnew_{};
    bool beginAnewDue_ = false; ///< An entry of the job manager was not taken.
};

} // namespace yuccawheel::manager
