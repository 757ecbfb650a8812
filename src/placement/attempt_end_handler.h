#pragma once

#include "placement/zone_state.h"

namespace yuccawheel::placement
{

/// Decides what follows the end of an attempt: a final result, a retry with exponential backoff, or a gang's rollback.
class AttemptEndHandler
{
public:
    explicit AttemptEndHandler(ZoneState &zone) : zone_(zone)
    {
    }

    /// Handles a worker's report that an attempt has ended.
    void handleEnded(LiveHandle live, TaskState state);
    /// Handles the loss of an attempt whose lease has certainly expired.
    void handleLost(LiveHandle live);
    /// Handles the success of an attempt that this planner has released or never held: its lease has expired, or an
    /// earlier owner started it. Ignored if the task index is concluded, or for services.
    void handleLateSuccess(const TaskId &task);
    /// Stops all attempts of a gang, so that the gang can start again as a whole.
    void rollBackGang(JobHandle handle);
    /// Cancels a job: stops its live attempts and concludes its other task indices, except those in state Uncertain.
    void abandonJob(JobHandle handle, StopReason reason);
    /// Concludes a task index of an abandoned job that has no live attempt.
    void concludeUnstarted(JobHandle handle, std::uint32_t slot);
    /// Requeues the task indices whose retry delay is over.
    void requeueDueRetries();

private:
    void concludeCancelled(JobHandle handle, std::uint32_t slot, TaskState state);
    void handleSuccess(const LiveTask &task, std::uint32_t slot);
    void handleFailure(const LiveTask &task, std::uint32_t slot);
    /// Takes a task index back from the queue or from the attempt that was started since; that attempt is stopped.
    void withdraw(JobHandle handle, std::uint32_t slot);
    /// Requeues a task index whose attempt was cut short, or concludes it if it must not start again.
    void handleInterruption(const LiveTask &task, std::uint32_t slot, bool mayHaveRun);
    /// Counts a failure against the task, the job or the worker.
    void attributeFailure(const LiveTask &task, std::uint32_t slot);
    void scheduleRetry(JobHandle handle, std::uint32_t slot);
    /// Requeues a gang once its rollback has ended all attempts.
    void finishGangRollback(JobHandle handle);

    ZoneState &zone_;
};

} // namespace yuccawheel::placement
