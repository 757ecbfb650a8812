#pragma once

#include "placement/zone_state.h"

namespace yuccawheel::placement
{

/// Decides what follows the end of an attempt: the final word, a retry with a growing delay, or a gang's roll-back.
class AttemptEndings
{
public:
    explicit AttemptEndings(ZoneState &zone) : zone_(zone)
    {
    }

    /// Takes a worker's word that an attempt has ended.
    void ended(LiveHandle live, TaskState state);
    /// Takes the loss of an attempt whose lease has surely run out.
    void lost(LiveHandle live);
    /// Stops all attempts of a gang, so that it can start again as a whole.
    void rollBackGang(JobHandle handle);
    /// Stops what runs of a job and gives the final word on all else, but for indices of uncertain state.
    void abandon(JobHandle handle, StopReason reason);
    /// Gives the final word on an index of an abandoned job that has no live attempt.
    void concludeUnstarted(JobHandle handle, std::uint32_t slot);
    /// Makes the indices startable whose delays are over.
    void releaseRetries();

private:
    void afterCancel(JobHandle handle, std::uint32_t slot, TaskState state);
    void succeeded(const LiveTask &task, std::uint32_t slot);
    void failed(const LiveTask &task, std::uint32_t slot);
    /// Gives an index back to the queue, or its final word if it must not start again.
    void interrupted(const LiveTask &task, std::uint32_t slot, bool mayHaveRun);
    void blame(const LiveTask &task, std::uint32_t slot);
    void delay(JobHandle handle, std::uint32_t slot);
    void gangMemberEnded(JobHandle handle);

    ZoneState &zone_;
};

} // namespace yuccawheel::placement
