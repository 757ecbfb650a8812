#pragma once

#include "workflow/job_manager.h"
#include "workflow/log_output.h"
#include "workflow/messages.h"
#include "workflow/platform_interface.h"
#include "workflow/waiting_answers.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace yuccawheel::workflow
{

/// Side effects of a ManagerCore, besides its orders to workers.
class CorePort : public OrderPort
{
public:
    /// Hands a proposal to the log, which tells its result in a LogOutput. Returns false if it can't be handed over.
    virtual bool pushProposal(std::uint64_t id, std::string data) = 0;
    /// Called when the job manager starts leading, before it sends any order.
    virtual void onLeading() = 0;
    /// Called for each output of the log, whose status may also be the same as before.
    virtual void onStatus(const LogStatus &before, const LogStatus &status) = 0;
};

/// A manager without threads, sockets and clocks: joins a replica of the log, the state that it builds and the job
/// manager, which leads while the replica does. Outputs of the log, requests and the time go in; proposals, orders and
/// replies come out. Not thread-safe.
class ManagerCore : private ManagerPort
{
public:
    template <typename Reply>
    using Done = std::function<void(tl::expected<Reply, Unanswered>)>;

    ManagerCore(CorePort &port, ManagerLimits limits);

    /// Takes an output of the log. Its lease holds at once; the rest waits for apply().
    void push(LogOutput output);
    bool hasUnapplied() const
    {
        return !unapplied_.empty();
    }
    /// Applies outputs until none is left or `maxEntries` entries have been applied. Returns whether the job manager
    /// may have something to do now. Throws std::runtime_error if an entry or a snapshot can't be decoded.
    bool apply(std::size_t maxEntries, base::TimePoint now, WallTime wall);
    /// Checks timeouts. Must be called periodically, before JobManager::tick().
    void review(base::TimePoint now, WallTime wall);

    /// Returns whether this manager leads and its leader lease is valid.
    bool isLeader(base::TimePoint now) const;
    const LogStatus &status() const
    {
        return status_;
    }
    const State &state() const
    {
        return state_;
    }
    JobManager &jobs()
    {
        return jobs_;
    }
    const JobManager &jobs() const
    {
        return jobs_;
    }

    // Requests, for the leader. Each callback runs exactly once, at once or once the log has decided.
    void handle(QueueRequest request, base::TimePoint now, WallTime wall, const Done<QueueReply> &done);
    /// `done` may acknowledge the report: if the worker drains, no later leader will miss it; if it leaves, nothing is
    /// placed on it any more.
    void report(const WorkerReport &report, base::TimePoint now, const Done<void> &done);
    void putConfiguration(Configuration configuration, const Done<PutConfigurationReply> &done);

    /// Answers reads that wait for the end of a job; later ones don't wait.
    void answerReadsAtOnce(base::TimePoint now);
    /// Answers all requests. Those whose entries are not decided yet may still take effect.
    void answerPendingRequests(base::TimePoint now);

private:
    enum class ProposalOutcome : std::uint8_t {
        Committed,
        Refused, ///< The log did not take the entry, which will have no effect.
        Unknown, ///< The entry may be committed later, by this leader or the next.
    };
    using CommitCallback = std::function<void(ProposalOutcome)>;
    /// A proposed entry that has a position in the log but is not committed yet.
    struct PendingEntry {
        coordination::Term term = 0;
        CommitCallback done;
    };

    // ManagerPort.
    bool propose(const LogEntry &entry) override;
    void start(WorkerNumber worker, const WorkerIdentity &identity, const StartOrder &order) override
    {
        port_.start(worker, identity, order);
    }
    void stop(WorkerNumber worker, const WorkerIdentity &identity, const StopOrder &order) override
    {
        port_.stop(worker, identity, order);
    }
    void poll(WorkerNumber worker, const WorkerIdentity &identity, const PollOrder &order) override
    {
        port_.poll(worker, identity, order);
    }
    void queryEligibility(const EligibilityQuery &query) override
    {
        port_.queryEligibility(query);
    }
    void forget(const WorkerIdentity &identity) override
    {
        port_.forget(identity);
    }

    static Unanswered unanswered(ProposalOutcome outcome);
    /// Applies a new end of the leader lease, or the loss of leadership, before the entries of its output are.
    void updateLease(const LogStatus &status);
    /// Finishes an output whose entries are applied.
    void finishOutput(LogOutput &output, base::TimePoint now, WallTime wall);
    void handleProposalResult(const ProposalResult &result);
    void applyEntry(const coordination::Entry &entry, base::TimePoint now, WallTime wall);
    void resolvePending(const coordination::Entry &entry);
    void updateStatus(const LogStatus &status, base::TimePoint now, WallTime wall);
    void resumeLeading(base::TimePoint now, WallTime wall);
    void startLeading();
    void stopLeading(std::string_view reason);
    /// Reports proposed entries as neither committed nor refused.
    void failPendingEntries();
    /// Proposes an entry. Returns false, without calling `done`, if it could not be handed to the log.
    bool proposeEntry(const LogEntry &entry, CommitCallback done);
    /// Proposes an entry and replies once it is committed or has failed.
    void proposeAndReply(const LogEntry &entry, const Done<QueueReply> &done);
    void handleKnown(
        JobKey key, const QueueRequest &request, base::TimePoint now, WallTime wall, const Done<QueueReply> &done);
    void reportLeaving(const WorkerIdentity &worker, base::TimePoint now, const Done<void> &done);
    void readJob(JobKey key, std::chrono::milliseconds wait, base::TimePoint now, const Done<QueueReply> &done);
    void cancelJob(JobKey key, WallTime wall, const Done<QueueReply> &done);

    CorePort &port_;
    State state_;
    JobManager jobs_;
    /// Reads of running jobs, which wait for the job's end. Callers learn of the end with it, instead of at their next
    /// read. Load pattern: callers of many short jobs that read shortly before the end is in the log.
    WaitingAnswers<JobKey> waitingReads_;
    WaitingAnswers<WorkerNumber> leaveReports_; ///< Last reports of workers, which wait until the worker is gone.
    LogStatus status_;
    base::TimePoint now_{}; ///< Of the latest call.
    WallTime wall_{0};
    std::uint64_t nextProposalId_ = 1;
    std::deque<LogOutput> unapplied_;
    std::size_t appliedEntries_ = 0; ///< Of the first one of `unapplied_`.
    std::map<std::uint64_t, CommitCallback> proposals_; ///< By proposal id: handed to the log, no result yet.
    std::map<coordination::Index, PendingEntry> pending_; ///< By log index.
    std::multiset<JobKey> undecided_; ///< Jobs of submissions that are proposed and neither committed nor refused.
    coordination::Term startedTerm_ = 0; ///< Latest term whose TermStart entry has been applied.
    coordination::Term ledTerm_ = 0; ///< Latest term in which the job manager has led.
    bool isBarrierPending_ = false; ///< An entry is proposed after which the job manager may lead again.
    base::TimePoint earliestRestart_{}; ///< Rate limit of job manager restarts.
    bool restartDue_ = false; ///< An entry of the job manager was not committed.
    bool readsWait_ = true;
};

} // namespace yuccawheel::workflow
