#pragma once

#include "placement/planner.h"
#include "replay_trace.h"

#include <map>
#include <memory>
#include <queue>
#include <set>
#include <vector>

namespace yuccawheel::bench
{

/// Latency of a message between the scheduler and a worker.
constexpr milliseconds MessageDelay{5};

/// Returns how many workers of a given capacity an amount fills, in its tightest resource. Not rounded.
double workersFilled(const placement::Resources &amount, const placement::Resources &capacity);

/// Scheduler under test: the planner or a baseline.
class Scheduler
{
public:
    virtual ~Scheduler() = default;
    virtual void handle(const placement::Event &event, base::TimePoint now) = 0;
    virtual void decide(base::TimePoint now, std::vector<placement::Command> &commands) = 0;
    /// Creates a scheduler of the same kind without state, as after a change of the zone's owner.
    virtual std::unique_ptr<Scheduler> createEmpty() const = 0;
};

std::unique_ptr<Scheduler> makePlannerScheduler(placement::Objective objective);

/// Results of one job.
struct JobOutcome {
    placement::JobSpec spec;
    base::TimePoint arrivedAt;
    std::vector<base::TimePoint> startTimes;
    std::vector<milliseconds> waits; ///< From arrival to the first start, for each index that started.
    std::map<std::uint32_t, std::uint32_t> startsByIndex;
    std::uint32_t finished = 0;
    std::uint32_t failed = 0;
    std::uint32_t notRun = 0;
    std::uint32_t mayHaveRun = 0;
    std::uint32_t neverFits = 0;
    std::uint32_t stops = 0;
    std::uint32_t lateTasks = 0; ///< Finished after the deadline.
    std::uint32_t maxTasksPerRack = 0;
};

struct WorkerStart {
    base::TimePoint at;
    placement::WorkerId worker = 0;
};

/// Results of a whole run.
struct Outcomes {
    std::map<placement::JobId, JobOutcome> jobs;
    std::vector<WorkerStart> starts;
    double busyWorkerHours = 0;
    double lowerBoundHours = 0; ///< Fewest worker hours that hold the actual usage of the running tasks.
    double reservedLowerBoundHours = 0; ///< The same for the reservations.
    double unusedByServicesHours = 0; ///< Part of reservedLowerBoundHours - lowerBoundHours due to services.
    double dominantShareHours = 0; ///< Sum over workers of the reserved part of the tightest resource.
    double freeWhileWaitingHours = 0; ///< Part of busyWorkerHours - dominantShareHours during which a task waited.
    double lostWorkHours = 0; ///< Task hours that were lost by stops and failures since the last checkpoint.
    std::uint32_t overcommits = 0; ///< Starts after which a worker's task limits exceeded its capacity.
    std::uint32_t duplicateRuns = 0; ///< Starts of a task index that was already running.
    std::uint64_t commands = 0;
    double decisionSeconds = 0; ///< Real time, not virtual time, spent in the scheduler.
};

struct ReplayOptions {
    bool printCommands = false;
    milliseconds measureFrom{0}; ///< Start of the measured interval, after the warm-up.
    bool reportLimits = true; ///< Usage reports include the limit in force.
};

/// Discrete-event simulation of a zone's workers under a scheduler, in virtual time. Commands are delayed, memory usage
/// grows to its peak, usage is reported late, and a limit below the usage slows a task down.
class ReplaySimulation
{
public:
    ReplaySimulation(const Trace &trace, std::unique_ptr<Scheduler> scheduler, ReplayOptions options = {});
    const Outcomes &run();

private:
    struct Running {
        placement::TaskId task;
        placement::Resources limit;
        TaskProfile profile;
        placement::Resources sampled; ///< Usage at the last measurement.
        double progressMs = 0; ///< Completed part of the run time at full speed.
        base::TimePoint updatedAt;
        std::uint64_t generation = 0; ///< A TaskEnd event with an older generation is ignored.
        bool willFail = false;
    };
    struct SimulatedWorker {
        WorkersJoin origin;
        bool joined = false;
        bool connected = true;
        bool failsAll = false;
        std::uint32_t session = 0; ///< Messages of earlier sessions are dropped.
        placement::Resources reserved; ///< Sum of the limits of the running tasks.
        std::map<placement::TaskId, Running> running;
        std::map<placement::TaskId, placement::TaskState> ended;
    };
    enum class Kind : std::uint8_t { Command, TaskEnd, Checkpointed, Usage, Report, Tick };
    struct TimedEvent {
        base::TimePoint at;
        std::uint64_t sequence = 0;
        Kind kind = Kind::Tick;
        placement::WorkerId worker = 0;
        std::uint32_t session = 0;
        placement::TaskId task;
        std::uint64_t generation = 0;
        placement::Command command;
        std::vector<placement::TaskReport> reports;

        bool operator>(const TimedEvent &other) const
        {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };
    struct JobState {
        JobArrives job;
        bool cancelled = false;
        bool ended = false;
        std::set<std::uint32_t> finalIndices; ///< Task indices with a final outcome.
        std::set<std::uint32_t> startedIndices;
        std::map<std::uint32_t, double> checkpointedMs; ///< Progress of checkpointed indices, in ms.
        std::map<std::uint32_t, std::int32_t> failures;
    };

    void scheduleEvent(TimedEvent event, milliseconds delay);
    void sendReport(placement::WorkerId worker,
                    const placement::TaskId &task,
                    placement::TaskState state,
                    const placement::Resources &usage = {});
    void notifyScheduler(const placement::Event &event);
    void applyAction(const Action &action);
    void applyAction(const WorkersJoin &action);
    void applyAction(const JobArrives &action);
    void applyAction(const JobsCancelled &action);
    void applyAction(const WorkersFail &action);
    void applyAction(const QuotasSet &action);
    void applyAction(const OwnerChanges &action);
    void injectFault(placement::WorkerId worker, WorkerFault fault);
    void joinWorker(placement::WorkerId worker);
    void assignJob(const JobState &jobState, bool recovered, bool startsRecorded);
    void decide();
    void printCommand(const placement::Command &command) const;
    void dispatchCommand(const placement::Command &command);
    void recordStart(const placement::StartTask &start);
    void recordDone(const placement::TaskDone &done);
    void processEvent(const TimedEvent &due);
    void deliverCommand(placement::WorkerId worker, const placement::Command &command);
    void startTask(placement::WorkerId worker, const placement::StartTask &start);
    void stopTask(placement::WorkerId worker, const placement::StopTask &stop);
    void endTask(placement::WorkerId worker, placement::TaskId task, placement::TaskState state);
    void updateProgress(Running &running) const;
    static double speed(const Running &running);
    static placement::Resources currentUsage(const Running &running);
    void scheduleTaskEnd(placement::WorkerId worker, Running &running);
    void reportUsage(placement::WorkerId worker);
    void accumulateHours(base::TimePoint until);
    void addUsage(placement::WorkerId worker, const Running &running, int sign);

    const Trace &trace_;
    ReplayOptions options_;
    std::unique_ptr<Scheduler> scheduler_;
    Outcomes outcomes_;
    base::TimePoint now_{std::chrono::hours(1)};
    base::TimePoint start_{std::chrono::hours(1)};
    std::vector<SimulatedWorker> workers_;
    std::map<placement::JobId, JobState> jobs_;
    std::set<std::pair<placement::JobId, std::uint32_t>> runningIndices_;
    std::priority_queue<TimedEvent, std::vector<TimedEvent>, std::greater<>> timedEvents_;
    std::uint64_t sequence_ = 0;
    std::uint64_t generation_ = 0;
    std::uint32_t owner_ = 1;
    // Current values of the quantities that are integrated over time.
    std::uint32_t busyWorkers_ = 0;
    placement::Resources used_;
    placement::Resources reserved_;
    placement::Resources unusedByServices_; ///< Reserved but unused by services.
    double dominantShares_ = 0; ///< Sum over workers of the reserved part of the tightest resource.
    std::int64_t unfinished_ = 0; ///< Tasks of arrived jobs without a final outcome.
    placement::Resources capacity_; ///< Of one worker.
};

} // namespace yuccawheel::bench
