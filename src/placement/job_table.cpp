#include "placement/job_table.h"

#include "base/invariant.h"

namespace yuccawheel::placement
{

JobHandle JobTable::add(Job job)
{
    if (freeJobs_.empty()) {
        freeJobs_.push_back(static_cast<JobHandle>(jobs_.size()));
        jobs_.emplace_back();
    }
    const JobHandle handle = freeJobs_.back();
    freeJobs_.pop_back();
    handles_.emplace(job.spec.id, handle);
    jobs_[handle] = std::move(job);
    return handle;
}

void JobTable::remove(JobHandle handle)
{
    YW_INVARIANT(jobs_[handle].liveCount == 0, "a job with live attempts must not be removed");
    handles_.erase(jobs_[handle].spec.id);
    jobs_[handle] = Job{};
    freeJobs_.push_back(handle);
}

std::optional<JobHandle> JobTable::find(JobId job) const
{
    const auto found = handles_.find(job);
    return found == handles_.end() ? std::nullopt : std::optional(found->second);
}

TaskSlot *JobTable::slotOf(JobHandle handle, std::uint32_t index)
{
    Job &job = jobs_[handle];
    if (index < job.firstIndex || index - job.firstIndex >= job.slots.size()) {
        return nullptr;
    }
    return &job.slots[index - job.firstIndex];
}

LiveHandle JobTable::addLive(const LiveTask &task)
{
    if (freeLive_.empty()) {
        freeLive_.push_back(static_cast<LiveHandle>(live_.size()));
        live_.emplace_back();
    }
    const LiveHandle handle = freeLive_.back();
    freeLive_.pop_back();
    live_[handle] = task;
    if (task.job != NoHandle) {
        TaskSlot &slot = *slotOf(task.job, task.task.index);
        YW_INVARIANT(slot.live == NoHandle, "a task index has at most one live attempt");
        YW_INVARIANT(slot.state != SlotState::Done, "a concluded task index must not be started again");
        slot.live = handle;
        slot.state = SlotState::Live;
        ++jobs_[task.job].liveCount;
    }
    return handle;
}

void JobTable::removeLive(LiveHandle handle)
{
    LiveTask &task = live_[handle];
    if (task.job != NoHandle) {
        slotOf(task.job, task.task.index)->live = NoHandle;
        --jobs_[task.job].liveCount;
    }
    task = LiveTask{};
    freeLive_.push_back(handle);
}

std::optional<LiveHandle> JobTable::findLive(const TaskId &task) const
{
    const auto found = find(task.job);
    if (!found) {
        return std::nullopt;
    }
    const Job &job = jobs_[*found];
    if (task.index < job.firstIndex || task.index - job.firstIndex >= job.slots.size()) {
        return std::nullopt;
    }
    const LiveHandle handle = job.slots[task.index - job.firstIndex].live;
    if (handle == NoHandle || live_[handle].task != task) {
        return std::nullopt;
    }
    return handle;
}

} // namespace yuccawheel::placement
