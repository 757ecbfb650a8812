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

using LiveHandle = std::uint32_t; ///< Index of a live attempt in the JobTable.
constexpr std::uint32_t NoHandle = 0xffffffff;

enum class SlotState : std::uint8_t {
    Fresh, ///< Never started by this planner.
    Uncertain, ///< An earlier owner may have started the task; waits for RecoveryFinished.
    Delayed, ///< Waits for its retry delay.
    Ready, ///< Listed in Job::ready, to start again.
    Live, ///< An attempt holds a reservation.
    Done, ///< Concluded: has a final result.
};

/// State of one task index of a job.
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

/// Workers held free for one job until it has started.
struct Hold {
    std::vector<WorkerId> workers;
    base::TimePoint expires;
};

struct Job {
    JobSpec spec; ///< Without its payload.
    std::uint32_t firstIndex = 0;
    std::vector<TaskSlot> slots;
    std::vector<std::uint32_t> ready; ///< Slots in state Ready.
    std::uint32_t nextFresh = 0; ///< No slot below this one is Fresh.
    std::uint32_t freshCount = 0;
    std::uint32_t liveCount = 0;
    std::uint32_t doneCount = 0;
    std::uint32_t stoppingCount = 0; ///< Live attempts that have been told to stop.
    std::uint32_t successes = 0;
    std::uint32_t failures = 0;
    std::vector<WorkerId> failedOn; ///< Distinct workers; grows until the job is suspect.
    base::TimePoint lastFailureAt;
    TeamId team = 0;
    HistoryKey history = 0;
    std::uint32_t estimateVersion = 0;
    Resources size; ///< Reservation of the next task to start.
    Resources minSize; ///< Minimum reservation, set when a task outgrew its reservation.
    std::chrono::milliseconds runTime{0}; ///< Expected run time of a task.
    base::TimePoint assignedAt;
    QueueRank rank;
    bool recovered = false;
    bool startsRecorded = false;
    bool cancelled = false;
    bool neverFits = false;
    bool awaitsCapacity = false; ///< Listed in ZoneState::neverFitJobs.
    bool rollingBack = false; ///< All attempts of the gang must end before it starts again.
    Resources missing; ///< See JobNeverFits; valid while neverFits is set.
    Hold hold;

    /// Returns whether the job is probably at fault itself: it failed on several workers and succeeded on none.
    bool isSuspect() const
    {
        constexpr std::size_t ManyWorkers = 3;
        return successes == 0 && failedOn.size() >= ManyWorkers;
    }
    std::uint32_t startableCount() const
    {
        return freshCount + static_cast<std::uint32_t>(ready.size());
    }
    /// Returns the number of unfinished tasks that do not run or are stopping.
    std::uint32_t disruptedCount() const
    {
        return static_cast<std::uint32_t>(slots.size()) - doneCount - liveCount + stoppingCount;
    }
};

/// An attempt that holds a reservation on a worker.
struct LiveTask {
    TaskId task;
    JobHandle job = NoHandle; ///< NoHandle if the attempt belongs to no known share.
    WorkerId worker = 0;
    std::uint32_t position = 0; ///< Index in Worker::tasks.
    Resources reserved;
    Resources peak;
    base::TimePoint startedAt;
    base::TimePoint stopDeadline; ///< Checkpoint deadline; then the attempt is stopped without one.
    std::uint32_t session = 0; ///< Session of the worker in which the attempt started or was last listed.
    bool seenRunning = false;
    bool stopping = false;
    bool checkpointing = false;
    std::optional<Resources> pendingLimit; ///< Lower limit that was sent but not confirmed yet.
    Resources lowestLimit; ///< Lowest limit ever sent, for each resource.
    base::TimePoint pendingLimitSentAt;
    std::int64_t steadyMemoryMib = 0; ///< Memory peak at which steadyReports was last reset.
    std::uint8_t steadyReports = 0; ///< Reports since the memory peak last grew.
    std::uint8_t usageReports = 0;
    std::uint8_t growthCount = 0; ///< Times that the reservation grew.
    StopReason reason = StopReason::Cancelled;
};

/// Jobs of the zone, the state of each task index, and the live attempts.
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
    /// Returns the slot of a task index, or null if the share doesn't contain the index.
    TaskSlot *slotOf(JobHandle handle, std::uint32_t index);
    const std::unordered_map<JobId, JobHandle> &all() const
    {
        return handles_;
    }

    /// Adds a live attempt. Asserts that its task index has no other one.
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
