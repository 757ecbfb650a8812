#pragma once

#include "base/clock.h"
#include "placement/events.h"
#include "placement/size_estimator.h"
#include "placement/work_queue.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace yuccawheel::placement
{

using LiveHandle = std::uint32_t; ///< Position of a live attempt in its pool.
constexpr std::uint32_t NoHandle = 0xffffffff;

enum class SlotState : std::uint8_t {
    Fresh, ///< Never started here.
    Uncertain, ///< An earlier owner may have started it; waits for the recovery to finish.
    Delayed, ///< Waits for the end of a retry delay.
    Ready, ///< Stands in the job's list of indices to start again.
    Live, ///< An attempt holds a reservation.
    Done, ///< Has its final word.
};

/// One task index of a job.
struct TaskSlot {
    std::uint32_t nextAttempt = 0;
    std::uint32_t lastAttempt = 0;
    LiveHandle live = NoHandle;
    WorkerId lastWorker = NoHandle;
    SlotState state = SlotState::Fresh;
    std::uint8_t failures = 0;
    bool started = false; ///< A StartTask may have been sent, here or by an earlier owner.
    bool ran = false; ///< An attempt may have run.
    bool checkpointed = false;
    base::TimePoint waitingSince;
};

/// Workers kept free for one job until it has started.
struct Hold {
    std::vector<WorkerId> workers;
    base::TimePoint expires;
};

struct Job {
    JobSpec spec; ///< Without its payload.
    std::uint32_t firstIndex = 0;
    std::vector<TaskSlot> slots;
    std::vector<std::uint32_t> ready; ///< Slots in state Ready.
    std::uint32_t nextFresh = 0; ///< No slot below is Fresh.
    std::uint32_t freshCount = 0;
    std::uint32_t liveCount = 0;
    std::uint32_t doneCount = 0;
    std::uint32_t stoppingCount = 0; ///< Live attempts that were told to stop.
    std::uint32_t successes = 0;
    std::uint32_t failures = 0;
    std::vector<WorkerId> failedOn; ///< Distinct workers, up to a few.
    base::TimePoint lastFailureAt;
    TeamId team = 0;
    HistoryKey history = 0;
    std::uint32_t estimateVersion = 0;
    Resources size; ///< Reserved for the next task.
    Resources floor; ///< Least reservation after a task outgrew its own.
    std::chrono::milliseconds runTime{0}; ///< Expected.
    base::TimePoint assignedAt;
    QueueRank rank;
    bool recovered = false;
    bool startsRecorded = false;
    bool cancelled = false;
    bool neverFits = false;
    bool awaitsCapacity = false; ///< Stands in the list that a change of capacity looks at again.
    bool rollingBack = false; ///< A gang whose attempts all have to end before it starts again.
    Resources missing; ///< Set while neverFits.
    Hold hold;

    /// Says whether it has failed on so many workers, and succeeded on none, that it is itself at fault.
    bool suspect() const
    {
        constexpr std::size_t ManyWorkers = 3;
        return successes == 0 && failedOn.size() >= ManyWorkers;
    }
    std::uint32_t startable() const
    {
        return freshCount + static_cast<std::uint32_t>(ready.size());
    }
    /// Counts the indices that should run and do not, or not for long.
    std::uint32_t disrupted() const
    {
        return static_cast<std::uint32_t>(slots.size()) - doneCount - liveCount + stoppingCount;
    }
};

/// An attempt that holds a reservation on a worker.
struct LiveTask {
    TaskId task;
    JobHandle job = NoHandle; ///< NoHandle if no share here has it.
    WorkerId worker = 0;
    std::uint32_t position = 0; ///< In the worker's list.
    Resources reserved;
    Resources peak;
    base::TimePoint startedAt;
    base::TimePoint stopDeadline; ///< When a stop that waits for a checkpoint becomes a plain one.
    std::uint32_t session = 0; ///< Of the worker when the attempt was started or adopted.
    bool seenRunning = false;
    bool stopping = false;
    bool checkpointing = false;
    std::optional<Resources> lowering; ///< Lower limit that was sent and isn't confirmed yet.
    Resources lowest; ///< Least limit ever sent, in each resource.
    base::TimePoint loweringSentAt;
    std::int64_t steadyMemoryMib = 0; ///< Peak since which the count below runs.
    std::uint8_t steadyReports = 0; ///< Reports since the peak of memory last grew.
    std::uint8_t usageReports = 0;
    std::uint8_t growths = 0; ///< Times its reservation grew.
    StopReason reason = StopReason::Cancelled;
};

/// The jobs of the zone, the state of each task index, and the pool of live attempts.
class JobTable
{
public:
    JobHandle add(Job job);
    void remove(JobHandle handle);
    Job &operator[](JobHandle handle)
    {
        return jobs_[handle];
    }
    const Job &operator[](JobHandle handle) const
    {
        return jobs_[handle];
    }
    std::optional<JobHandle> find(JobId job) const;
    /// Returns the slot of a task, or null if no share here holds the index.
    TaskSlot *slotOf(JobHandle handle, std::uint32_t index);
    const std::unordered_map<JobId, JobHandle> &all() const
    {
        return handles_;
    }

    /// Makes an attempt live. Asserts that its index has no other one.
    LiveHandle addLive(const LiveTask &task);
    void removeLive(LiveHandle live);
    LiveTask &live(LiveHandle handle)
    {
        return live_[handle];
    }
    const LiveTask &live(LiveHandle handle) const
    {
        return live_[handle];
    }
    /// Finds a live attempt of a known job.
    std::optional<LiveHandle> findLive(const TaskId &task) const;

private:
    std::vector<Job> jobs_;
    std::vector<JobHandle> freeJobs_;
    std::unordered_map<JobId, JobHandle> handles_;
    std::vector<LiveTask> live_;
    std::vector<LiveHandle> freeLive_;
};

} // namespace yuccawheel::placement
