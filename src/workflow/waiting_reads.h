#pragma once

#include "base/clock.h"
#include "workflow/job.h"

#include <cstddef>
#include <functional>
#include <map>

namespace yuccawheel::workflow
{

/// Reads of running jobs whose answers wait for the job's end. Callers learn of the end with it, instead of at their
/// next read. Load pattern: callers of many short jobs that read shortly before the end is in the log.
class WaitingReads
{
public:
    using Answer = std::function<void()>;

    /// Keeps a read until its job ends or expire() is called from `until` on; then `answer` is called once. Returns
    /// false, without keeping it, if too many reads wait.
    bool add(JobKey job, base::TimePoint until, Answer answer);
    void onJobEnded(JobKey job);
    void expire(base::TimePoint now);
    void answerAll();
    std::size_t size() const
    {
        return reads_.size();
    }

private:
    struct Read {
        base::TimePoint until{};
        Answer answer;
    };
    using Reads = std::multimap<JobKey, Read>;

    void answerRange(Reads::iterator begin, Reads::iterator end);

    Reads reads_;
};

} // namespace yuccawheel::workflow
