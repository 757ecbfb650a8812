// Executes the planner's commands.

#include "base/log.h"
#include "scheduler_service.h"

namespace yuccawheel::scheduler
{

// The start of a non-repeatable task is recorded in the replicated log before it is sent to the worker, so that a later
// owner of the zone knows that the task may have run.
void SchedulerService::execute(const placement::StartTask &start, std::uint64_t session)
{
    const JobInfo *const job = jobInfo(start.task.job);
    if (job != nullptr && !job->repeatable) {
        progress_.addStart(start, session);
    } else {
        hub_.execute(start, session);
    }
    context_.metrics.histogram("yw_wait_seconds").record(start.waited);
    context_.metrics.counter("yw_task_starts_total").add();
    const auto unixTime = std::chrono::system_clock::now().time_since_epoch();
    starts_.add(
        start, start.task.attempt > firstAttempt(), std::chrono::duration_cast<std::chrono::milliseconds>(unixTime));
}

void SchedulerService::execute(const placement::StopTask &stop, std::uint64_t session)
{
    hub_.execute(stop, session);
}

void SchedulerService::execute(const placement::ThrottleTask &throttle, std::uint64_t session)
{
    hub_.execute(throttle, session);
}

// If the share was detached or moved to another zone, only a success is reported: other results may be outdated,
// because the task may run elsewhere.
void SchedulerService::execute(const placement::TaskDone &done, std::uint64_t /*session*/)
{
    if (jobInfo(done.task.job) != nullptr || done.succeeded) {
        progress_.add(done);
    }
    base::logInfo("task_done")
        .with("task", placement::toString(done.task))
        .with("verdict", base::toString(done.verdict))
        .with("succeeded", done.succeeded);
}

void SchedulerService::execute(const placement::TasksNotRun &notRun, std::uint64_t /*session*/)
{
    if (jobInfo(notRun.job) != nullptr) {
        progress_.add(notRun);
    }
    base::logInfo("tasks_not_run").with("job", notRun.job).with("first", notRun.firstIndex).with("count", notRun.count);
}

void SchedulerService::execute(const placement::JobNeverFits &never, std::uint64_t /*session*/)
{
    base::logWarning("job_never_fits")
        .with("job", never.job)
        .with("missing_milli_cpu", never.missing.milliCpu)
        .with("missing_memory_mib", never.missing.memoryMib)
        .with("missing_accelerators", never.missing.accelerators);
}

void SchedulerService::execute(const placement::JobShareDone &done, std::uint64_t /*session*/)
{
    base::logInfo("share_done").with("job", done.job);
}

void SchedulerService::execute(const placement::DecisionNote &note, std::uint64_t /*session*/)
{
    base::logInfo("decision").with("job", note.job).with("text", note.text);
}

} // namespace yuccawheel::scheduler
