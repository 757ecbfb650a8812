#pragma once

#include "placement/attempt_endings.h"
#include "placement/growth_watch.h"
#include "placement/reservation_trimmer.h"
#include "placement/zone_state.h"

namespace yuccawheel::placement
{

/// Takes the events about workers into the state of the zone.
class WorkerEvents
{
public:
    WorkerEvents(ZoneState &zone, AttemptEndings &endings, GrowthWatch &growth)
        : zone_(zone)
        , endings_(endings)
        , growth_(growth)
        , trimmer_(zone)
    {
    }

    void handle(const WorkerJoined &event);
    void handle(const WorkerReported &event);
    void handle(const WorkerUnreachable &event);
    void handle(const WorkerReachable &event);
    void handle(const WorkerLeasesExpired &event);
    void handle(const WorkerDrain &event);
    /// Moves some of the tasks off draining workers.
    void moveDrained();

private:
    Worker &enter(const WorkerJoined &event);
    void resendStops(WorkerId worker);
    void compareWithList(const WorkerJoined &event);
    void applyCapacity(WorkerId worker, const Resources &capacity);
    void takeHeld(WorkerId worker, const WorkerJoined::Held &held);
    void takeReport(WorkerId worker, const TaskReport &report);
    std::optional<LiveHandle> findOn(WorkerId worker, const TaskId &task) const;

    ZoneState &zone_;
    AttemptEndings &endings_;
    GrowthWatch &growth_;
    ReservationTrimmer trimmer_;
};

/// Takes the events about jobs, teams and recovery into the state of the zone.
class JobEvents
{
public:
    JobEvents(ZoneState &zone, AttemptEndings &endings) : zone_(zone), endings_(endings)
    {
    }

    void handle(const JobAssigned &event);
    void handle(const JobCancelled &event);
    void handle(const QuotasChanged &event);
    void handle(const RecoveryFinished &event);

private:
    Job makeJob(const JobAssigned &event);
    /// Returns how much later a job is ranked because of its expected run time.
    std::chrono::milliseconds yieldOf(const Job &job) const;
    void claimHeld(JobHandle handle);
    void settleUncertain(JobHandle handle);

    ZoneState &zone_;
    AttemptEndings &endings_;
};

/// Says whether a worker's attempt is the one that its task index may have now.
bool mayAdopt(const ZoneState &zone, JobHandle handle, const TaskId &task);

} // namespace yuccawheel::placement
