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
    Gone, ///< Never joined, or the leases of all its tasks expired.
    Up,
    Unreachable,
};

struct Worker {
    std::string name;
    RackId rack = 0;
    Liveness liveness = Liveness::Gone;
    bool draining = false;
    bool dirty = false; ///< Listed in ZoneState::dirtyWorkers.
    bool evacuating = false; ///< Being evacuated by the consolidator; chosen last for new tasks.
    std::optional<base::TimePoint> underutilizedSince;
    bool busy = false; ///< Counted in Rack::busyWorkers.
    std::uint32_t session = 0; ///< Number of joins.
    std::vector<LiveHandle> tasks;
    JobHandle heldFor = NoHandle; ///< The job that the worker is held free for.
    WorkerHealth health;
    std::string quarantineReason; ///< Reason of the last quarantine.
};

struct Rack {
    std::string name;
    std::vector<WorkerId> workers;
    std::uint32_t busyWorkers = 0;
};

/// A pending retry of a task index.
struct Retry {
    base::TimePoint at;
    JobId job = 0;
    std::uint32_t index = 0;

    bool operator>(const Retry &other) const
    {
        return std::tie(at, job, index) > std::tie(other.at, other.job, other.index);
    }
};

/// Number of workers with the same capacity.
struct CapacityClass {
    Resources capacity;
    std::uint32_t workers = 0;
};

/// Reservation for a blocked job that should start at `startAt`. Tasks that end before then may use the held workers.
struct BackfillReservation {
    JobHandle job = NoHandle;
    base::TimePoint startAt;
    base::TimePoint replanAt; ///< When the reservation is dropped if the job has not started.
};

/// The planner's state of its zone, with the operations that keep its parts consistent.
/// A task's reservation is made before its StartTask is sent, and ends when the worker reports the end of the attempt
/// or when its lease has certainly expired.
struct ZoneState {
    explicit ZoneState(PlannerOptions plannerOptions) : options(plannerOptions)
    {
    }

    PlannerOptions options;
    base::TimePoint now;
    Ledger ledger;
    FitIndex openWorkers; ///< Workers where any task may start.
    FitIndex heldWorkers; ///< Workers of the backfill reservation.
    JobTable jobs;
    WorkQueue queue;
    TeamTable teams;
    SizeEstimator estimator;
    std::vector<Worker> workers;
    std::vector<Rack> racks;
    std::unordered_map<std::string, RackId> rackIds;
    std::priority_queue<Retry, std::vector<Retry>, std::greater<>> retries;
    std::vector<WorkerId> dirtyWorkers; ///< Workers that may have gained room since the last decision.
    std::vector<WorkerId> restrictedWorkers; ///< In quarantine or on probation.
    base::UsualFailures usualFailures; ///< Of tasks on workers that aren't quarantined or on probation.
    std::vector<WorkerId> drainingWorkers;
    std::vector<TaskId> pendingCheckpoints; ///< Attempts whose stop waits for a checkpoint.
    std::unordered_multimap<JobId, LiveHandle> unclaimed; ///< Attempts on workers whose share isn't assigned yet.
    std::unordered_set<JobId> endedJobs; ///< Recently ended jobs, to recognize late reports; bounded.
    std::queue<JobId> endedOrder; ///< endedJobs, oldest first.
    std::vector<CapacityClass> capacityClasses;
    std::vector<JobId> neverFitJobs;
    std::vector<JobId> preemptingJobs; ///< Jobs with workers held after preemption.
    std::vector<JobId> urgentJobs; ///< Urgent jobs that were queued and may still wait.
    BackfillReservation backfill;
    bool recoveryFinished = false;
    std::uint32_t nextSequence = 0; ///< Order of assignment, for jobs of equal rank.
    std::vector<Command> outbox;

    // Workers.
    bool acceptsTasks(WorkerId worker) const;
    /// Returns the number of trials on a worker on probation that have outlasted the trial time, or that haven't.
    std::size_t countTrials(WorkerId worker, bool lasting) const;
    /// Updates a worker's entry in openWorkers and heldWorkers.
    void updateIndexes(WorkerId worker);
    void markDirty(WorkerId worker);
    void holdWorker(JobHandle job, WorkerId worker);
    void releaseHeldWorkers(JobHandle job);
    void releaseHeldWorker(WorkerId worker);
    /// Returns whether a job goes before another one in the queue.
    bool precedes(JobHandle left, JobHandle right) const;
    /// Sets a worker's capacity and rechecks the jobs that fit no worker.
    void setCapacity(WorkerId worker, const Resources &capacity);
    bool fitsAnyWorker(const Resources &amount) const;

    /// Returns the workers on which a job should not be retried for now.
    std::span<const WorkerId> avoidedWorkers(const Job &job) const;
    bool shouldAvoid(const Job &job, WorkerId worker) const;

    // Attempts.
    LiveHandle startAttempt(JobHandle job, std::uint32_t slot, WorkerId worker);
    /// Takes over an attempt found on a worker. Its reservation is limited to what is free there.
    LiveHandle adoptAttempt(const TaskId &task, JobHandle job, WorkerId worker, const Resources &reserved);
    void requestStop(LiveHandle live, StopReason reason, bool checkpointFirst);
    /// Releases the reservation, removes the attempt and returns it.
    LiveTask releaseAttempt(LiveHandle live);
    /// Changes the reservation of a live attempt.
    void resizeReservation(LiveHandle live, const Resources &reserved);

    // Jobs.
    /// Takes the next startable slot of a job and returns its number.
    std::uint32_t takeSlot(JobHandle job);
    void makeReady(JobHandle job, std::uint32_t slot);
    /// Queues a job if it has startable tasks and may start them.
    void enqueue(JobHandle job);
    /// Returns whether the job is unschedulable, and reports it if that or the shortfall is new.
    bool checkNeverFits(JobHandle job);
    /// Computes the reservation of a job's next task. Returns true if it changed.
    bool updateSize(JobHandle job);
    /// Emits the final result of one task index.
    void concludeTask(JobHandle job, std::uint32_t slot, base::Verdict verdict, bool succeeded);
    /// Removes a job whose task indices are all concluded.
    void finishIfDone(JobHandle job);
    void addDecisionNote(JobId job, std::string text);

private:
    /// Returns a new attempt on a worker, not yet added to the job table.
    LiveTask newAttempt(const TaskId &id, JobHandle job, WorkerId worker, const Resources &reserved) const;
    void reserve(TeamId team, WorkerId worker, const Resources &amount);
    void unreserve(TeamId team, WorkerId worker, const Resources &amount);
    void updateBand(TeamId team);
    void updateBusy(WorkerId worker);
};

} // namespace yuccawheel::placement
