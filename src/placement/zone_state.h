#pragma once

#include "base/clock.h"
#include "placement/fit_index.h"
#include "placement/job_table.h"
#include "placement/ledger.h"
#include "placement/planner.h"
#include "placement/size_estimator.h"
#include "placement/team_table.h"
#include "placement/work_queue.h"
#include "placement/worker_health.h"

#include <queue>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace yuccawheel::placement
{

using RackId = std::uint32_t;

enum class Liveness : std::uint8_t {
    Gone, ///< Never joined, or all leases of its tasks ran out.
    Up,
    Unreachable,
};

struct Worker {
    std::string name;
    RackId rack = 0;
    Liveness liveness = Liveness::Gone;
    bool draining = false;
    bool dirty = false; ///< Stands in ZoneState::dirty.
    bool resting = false; ///< It is being emptied; the last to be chosen.
    std::optional<base::TimePoint> littleSince; ///< Since when it has been of little use.
    bool busy = false; ///< Counts in its rack's busy workers.
    std::uint32_t session = 0; ///< Counts its joins.
    std::vector<LiveHandle> tasks;
    JobHandle holder = NoHandle; ///< The job it is kept free for.
    WorkerHealth health;
    std::string quarantineReason; ///< Why it was last quarantined.
};

struct Rack {
    std::string name;
    std::vector<WorkerId> workers;
    std::uint32_t busyWorkers = 0;
};

/// A task index that starts again after a delay.
struct Retry {
    base::TimePoint at;
    JobId job = 0;
    std::uint32_t index = 0;

    bool operator>(const Retry &other) const
    {
        return std::tie(at, job, index) > std::tie(other.at, other.job, other.index);
    }
};

/// How many workers of one capacity are known.
struct CapacityClass {
    Resources capacity;
    std::uint32_t workers = 0;
};

/// Work that is kept free room for until `startAt`; short tasks may run there before.
struct Reservation {
    JobHandle job = NoHandle;
    base::TimePoint startAt;
    base::TimePoint replanAt;
};

/// All that a planner knows of its zone, with the steps that keep its parts consistent.
/// Each reservation is made before its StartTask and ends on the worker's word or when its lease has surely run out.
struct ZoneState {
    explicit ZoneState(PlannerOptions plannerOptions) : options(plannerOptions)
    {
    }

    PlannerOptions options;
    base::TimePoint now;
    Ledger ledger;
    FitIndex open; ///< Workers where any task may start.
    FitIndex held; ///< Workers of the reservation; only for tasks that end before it starts.
    JobTable jobs;
    WorkQueue queue;
    TeamTable teams;
    SizeEstimator estimator;
    std::vector<Worker> workers;
    std::vector<Rack> racks;
    std::unordered_map<std::string, RackId> rackIds;
    std::priority_queue<Retry, std::vector<Retry>, std::greater<>> retries;
    std::vector<WorkerId> dirty; ///< Workers that may have gained room since the last decision.
    std::vector<WorkerId> quarantined;
    std::vector<WorkerId> drained; ///< Workers told to drain.
    std::vector<TaskId> checkpoints; ///< Attempts whose stop waits for a checkpoint.
    std::unordered_multimap<JobId, LiveHandle> unclaimed; ///< Held by workers; their shares aren't assigned yet.
    std::unordered_set<JobId> endedJobs;
    std::queue<JobId> endedOrder;
    std::vector<CapacityClass> capacityClasses;
    std::vector<JobId> neverFitJobs;
    std::vector<JobId> holders; ///< Jobs for which workers are being cleared.
    std::vector<JobId> urgentJobs; ///< Urgent jobs that came into the queue and may still wait in it.
    Reservation reservation;
    bool recoveryFinished = false;
    std::uint32_t nextSequence = 0; ///< Order of assignment, for jobs of equal rank.
    std::vector<Command> outbox;

    // Workers.
    bool acceptsTasks(WorkerId worker) const;
    /// Puts a worker where it belongs in the indexes.
    void refresh(WorkerId worker);
    void markDirty(WorkerId worker);
    void hold(JobHandle job, WorkerId worker);
    void releaseHold(JobHandle job);
    void releaseHeldWorker(WorkerId worker);
    /// Says whether a job goes before another one in the queue.
    bool precedes(JobHandle left, JobHandle right) const;
    /// Sets what a worker holds and looks again at the jobs that never fit.
    void setCapacity(WorkerId worker, const Resources &capacity);
    bool fitsAnyWorker(const Resources &amount) const;

    /// Returns the workers on which a job should not be tried again for now.
    std::span<const WorkerId> avoidedBy(const Job &job) const;
    bool avoids(const Job &job, WorkerId worker) const;

    // Attempts.
    LiveHandle start(JobHandle job, std::uint32_t slot, WorkerId worker);
    /// Takes over an attempt that a worker holds. The reservation is cut to what is free there.
    LiveHandle adopt(const TaskId &task, JobHandle job, WorkerId worker, const Resources &reserved);
    void requestStop(LiveHandle live, StopReason reason, bool checkpointFirst);
    /// Ends a reservation and forgets the attempt; returns what it was.
    LiveTask release(LiveHandle live);
    /// Changes what a live attempt reserves.
    void resize(LiveHandle live, const Resources &reserved);

    // Jobs.
    /// Takes the next index to start out of its waiting state and returns its slot.
    std::uint32_t takeSlot(JobHandle job);
    void makeReady(JobHandle job, std::uint32_t slot);
    /// Puts a job into the queue if it has something to start and may start it.
    void enqueue(JobHandle job);
    /// Reports a job that no worker can hold, once for each change. Returns true for such a job.
    bool checkNeverFits(JobHandle job);
    /// Computes the reservation of a job's next task. Returns true if it changed.
    bool updateSize(JobHandle job);
    /// Gives the final word on one task index and drops the job after its last.
    void conclude(JobHandle job, std::uint32_t slot, base::Verdict verdict, bool succeeded);
    void finishIfDone(JobHandle job);
    void note(JobId job, std::string text);

private:
    /// Returns an attempt that begins now on a worker; it is not in the table yet.
    LiveTask newAttempt(const TaskId &id, JobHandle job, WorkerId worker, const Resources &reserved) const;
    void reserve(TeamId team, WorkerId worker, const Resources &amount);
    void unreserve(TeamId team, WorkerId worker, const Resources &amount);
    void updateBand(TeamId team);
    void setBusy(WorkerId worker);
};

} // namespace yuccawheel::placement
