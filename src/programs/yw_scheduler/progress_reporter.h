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

/// What the agreed log has to learn from this scheduler, collected in batches: one is on its way at a time, and what
/// depends on it waits until it was agreed on.
class ProgressReporter
{
public:
    void add(const placement::TaskDone &done);
    void add(const placement::TasksNotRun &notRun);
    /// The start of a task that is not repeatable waits here until the log knows of it.
    void addStart(const placement::StartTask &start, std::uint64_t session);
    void addJoined(const std::string &worker);
    void addLeft(const std::string &worker);
    /// A poll's end states may be acknowledged once everything added before was agreed on.
    void addMark(const PollMark &mark);

    struct HeldStart {
        placement::StartTask start;
        std::uint64_t session = 0;
    };
    /// What may happen now that a batch was agreed on.
    struct Agreed {
        std::vector<HeldStart> starts;
        std::map<placement::WorkerId, PollMark> marks;
        std::set<std::string> joined;
    };

    bool sending() const
    {
        return sending_;
    }
    bool urgent() const
    {
        return !collecting_.empty();
    }
    /// Moves what was collected into the request. Call it only while none is on its way.
    void fill(protocol::RenewZone &request);
    /// The request was agreed on.
    Agreed committed();
    /// The request may or may not have been agreed on: it is sent again with the next one.
    void failed();

private:
    struct Batch {
        std::map<placement::JobId, protocol::JobProgress> progress;
        std::set<std::string> joined;
        std::set<std::string> left;
        std::vector<HeldStart> starts;
        std::map<placement::WorkerId, PollMark> marks; ///< The latest of each worker: it covers the earlier ones.

        bool empty() const
        {
            return progress.empty() && joined.empty() && left.empty() && starts.empty() && marks.empty();
        }
    };

    protocol::JobProgress &progressOf(placement::JobId job);

    Batch collecting_;
    Batch sent_;
    bool sending_ = false;
};

} // namespace yuccawheel::scheduler
