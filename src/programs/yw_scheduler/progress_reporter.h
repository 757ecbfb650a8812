#pragma once

#include "placement/events.h"
#include "planner_thread.h"
#include "protocol/messages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace yuccawheel::scheduler
{

/// Collects this scheduler's progress in batches for the replicated log. At most one batch is in flight; starts and
/// acknowledgements that depend on a batch are held back until it is committed.
class ProgressReporter
{
public:
    void add(const placement::TaskDone &done);
    void add(const placement::TasksNotRun &notRun);
    /// Holds back the start of a non-repeatable task until the start is recorded in the log.
    void addStart(const placement::StartTask &start, std::uint64_t session);
    void addJoinedWorker(const std::string &worker);
    void addLeftWorker(const std::string &worker);
    /// The poll's final task states may be acknowledged once everything added before it is committed.
    void addProcessedPoll(const PollId &pollId);

    struct PendingStart {
        placement::StartTask start;
        std::uint64_t session = 0;
    };
    /// Actions that a committed batch allows.
    struct CommittedBatch {
        std::vector<PendingStart> starts; ///< Starts to send to workers.
        std::map<placement::WorkerId, PollId> processedPolls; ///< Polls to acknowledge.
        std::set<std::string> joined; ///< Workers that may get tasks.
    };

    bool isSending() const
    {
        return sending_;
    }
    bool hasPending() const
    {
        return !pending_.empty();
    }
    /// Adds the collected progress to the request. Must not be called while a request is in flight.
    void fillRequest(protocol::RenewZone &request);
    /// The request was committed.
    CommittedBatch onCommitted();
    /// The request may or may not have been committed; its content is sent again with the next one.
    void onFailed();

private:
    struct Batch {
        std::map<placement::JobId, protocol::JobProgress> progress;
        std::set<std::string> joined;
        std::set<std::string> left;
        std::vector<PendingStart> starts;
        std::map<placement::WorkerId, PollId> processedPolls; ///< Latest poll of each worker; covers earlier ones.

        bool empty() const
        {
            return progress.empty() && joined.empty() && left.empty() && starts.empty() && processedPolls.empty();
        }
    };

    protocol::JobProgress &pendingProgress(placement::JobId job);

    Batch pending_;
    Batch inFlight_;
    bool sending_ = false;
};

} // namespace yuccawheel::scheduler
