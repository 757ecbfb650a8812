#pragma once

#include "placement/attempt_end_handler.h"
#include "placement/reservation_grower.h"
#include "placement/reservation_trimmer.h"
#include "placement/zone_state.h"

namespace yuccawheel::placement
{

/// Applies worker events to the state of the zone.
class WorkerEventHandler
{
public:
    WorkerEventHandler(ZoneState &zone, AttemptEndHandler &endHandler, ReservationGrower &grower)
        : zone_(zone)
        , endHandler_(endHandler)
        , grower_(grower)
        , trimmer_(zone)
    {
    }

    void handle(const WorkerJoined &event);
    void handle(const WorkerReported &event);
    void handle(const WorkerUnreachable &event);
    void handle(const WorkerReachable &event);
    void handle(const WorkerLeasesExpired &event);
    void handle(const WorkerDrain &event);
    /// Stops tasks on draining workers, with a checkpoint, so that they move to other workers.
    void stopTasksOnDrainingWorkers();

private:
    /// Adds the worker, or updates its name and rack.
    Worker &registerWorker(const WorkerJoined &event);
    void resendStops(WorkerId worker);
    void reconcileWithList(const WorkerJoined &event);
    void applyCapacity(WorkerId worker, const Resources &capacity);
    void adoptHeldTask(WorkerId worker, const WorkerJoined::Held &held);
    void handleReport(WorkerId worker, const TaskReport &report);
    std::optional<LiveHandle> findAttemptOn(WorkerId worker, const TaskId &task) const;

    ZoneState &zone_;
    AttemptEndHandler &endHandler_;
    ReservationGrower &grower_;
    ReservationTrimmer trimmer_;
};

/// Applies job, quota and recovery events to the state of the zone.
class JobEventHandler
{
public:
    JobEventHandler(ZoneState &zone, AttemptEndHandler &endHandler) : zone_(zone), endHandler_(endHandler)
    {
    }

    void handle(const JobAssigned &event);
    void handle(const JobCancelled &event);
    void handle(const QuotasChanged &event);
    void handle(const RecoveryFinished &event);

private:
    Job makeJob(const JobAssigned &event);
    /// Returns how much later a job's due time is because of its expected run time.
    std::chrono::milliseconds runTimePenalty(const Job &job) const;
    /// Adopts the job's tasks on workers that joined before the share was assigned.
    void adoptUnclaimed(JobHandle handle);
    /// Decides the indices of unknown state after recovery.
    void resolveUncertain(JobHandle handle);

    ZoneState &zone_;
    AttemptEndHandler &endHandler_;
};

/// Returns whether an attempt found on a worker may become the live attempt of its task index.
bool canAdopt(const ZoneState &zone, JobHandle handle, const TaskId &task);

} // namespace yuccawheel::placement
