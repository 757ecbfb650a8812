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

/// Time that a command takes to a worker.
constexpr milliseconds MessageDelay{5};

/// Returns the number of workers that an amount fills in its tightest resource.
double workersFilled(const placement::Resources &amount, const placement::Resources &capacity);

/// What decides: the product's planner, or a baseline to compare it with.
class Scheduler
{
public:
    virtual ~Scheduler() = default;
    virtual void handle(const placement::Event &event, base::TimePoint now) = 0;
    virtual void decide(base::TimePoint now, std::vector<placement::Command> &commands) = 0;
    /// Makes a fresh one of the same kind, as a new owner would.
    virtual std::unique_ptr<Scheduler> fresh() const = 0;
};

std::unique_ptr<Scheduler> makePlannerScheduler(placement::Objective objective);

/// What became of one job.
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
    std::uint32_t mostOnOneRack = 0;
};

struct WorkerStart {
    base::TimePoint at;
    placement::WorkerId worker = 0;
};

/// Figures of a whole run.
struct Outcomes {
    std::map<placement::JobId, JobOutcome> jobs;
    std::vector<WorkerStart> starts;
    double busyWorkerHours = 0;
    double lowerBoundHours = 0; ///< Of busy workers, from the sum of what running tasks really use.
    double reservedBoundHours = 0; ///< The same from what is reserved.
    double serviceSlackHours = 0; ///< Of reservedBoundHours - lowerBoundHours, what services reserve and don't use.
    double shareHours = 0; ///< Sum over workers of the reserved part of the tightest resource.
    double waitingFreeHours = 0; ///< Of busyWorkerHours - shareHours, while a task waited to start.
    double lostWorkHours = 0; ///< Of tasks, run again after a stop without a checkpoint.
    std::uint32_t overbooked = 0; ///< Times a worker's limits exceeded what it holds.
    std::uint32_t doubled = 0; ///< Times a task index ran in two places.
    std::uint64_t commands = 0;
    double decisionSeconds = 0; ///< Real time spent in the scheduler.
};

struct PlatformOptions {
    bool printCommands = false;
    milliseconds measureFrom{0}; ///< Sums over time begin here.
    bool reportLimits = true; ///< Reports say which limit is in force.
};

/// Runs the tasks that a scheduler starts, on virtual time: commands take a while, use grows up to its peak and is
/// reported late, limits slow a task.
class Platform
{
public:
    Platform(const Trace &trace, std::unique_ptr<Scheduler> scheduler, PlatformOptions options = {});
    const Outcomes &run();

private:
    struct Running {
        placement::TaskId task;
        placement::Resources limit;
        TaskTruth truth;
        placement::Resources sampled; ///< Use at the last measurement.
        double doneMs = 0; ///< Of the run time, when at full speed.
        base::TimePoint updatedAt;
        std::uint64_t generation = 0;
        bool fails = false;
    };
    struct Machine {
        WorkersJoin origin;
        bool joined = false;
        bool connected = true;
        bool failsAll = false;
        std::uint32_t session = 0; ///< Messages of earlier sessions are lost.
        placement::Resources reserved; ///< Sum of the limits.
        std::map<placement::TaskId, Running> running;
        std::map<placement::TaskId, placement::TaskState> ended;
    };
    enum class Kind : std::uint8_t { Command, TaskEnd, Checkpointed, Usage, Report, Tick };
    struct Step {
        base::TimePoint at;
        std::uint64_t sequence = 0;
        Kind kind = Kind::Tick;
        placement::WorkerId worker = 0;
        std::uint32_t session = 0;
        placement::TaskId task;
        std::uint64_t generation = 0;
        placement::Command command;
        std::vector<placement::TaskReport> reports;

        bool operator>(const Step &other) const
        {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };
    struct Arrived {
        JobArrives job;
        bool cancelled = false;
        bool ended = false;
        std::set<std::uint32_t> finals;
        std::set<std::uint32_t> started;
        std::map<std::uint32_t, double> saved; ///< Progress of checkpointed indices, in ms.
        std::map<std::uint32_t, std::int32_t> failures;
    };

    void push(Step step, milliseconds delay);
    void report(placement::WorkerId worker,
                const placement::TaskId &task,
                placement::TaskState state,
                const placement::Resources &use = {});
    void give(const placement::Event &event);
    void act(const Action &action);
    void act(const WorkersJoin &action);
    void act(const JobArrives &action);
    void act(const JobsCancelled &action);
    void act(const WorkersFail &action);
    void act(const QuotasSet &action);
    void act(const OwnerChanges &action);
    void apply(placement::WorkerId worker, WorkerFault fault);
    void join(placement::WorkerId worker);
    void assign(const Arrived &arrived, bool recovered, bool startsRecorded);
    void decide();
    void print(const placement::Command &command) const;
    void take(const placement::Command &command);
    void takeStart(const placement::StartTask &start);
    void takeDone(const placement::TaskDone &done);
    void step(const Step &step);
    void deliver(placement::WorkerId worker, const placement::Command &command);
    void startTask(placement::WorkerId worker, const placement::StartTask &start);
    void stopTask(placement::WorkerId worker, const placement::StopTask &stop);
    void endTask(placement::WorkerId worker, placement::TaskId task, placement::TaskState state);
    void advance(Running &running) const;
    static double speed(const Running &running);
    static placement::Resources usage(const Running &running);
    void schedule(placement::WorkerId worker, Running &running);
    void reportUsage(placement::WorkerId worker);
    void account(base::TimePoint until);
    void addUse(placement::WorkerId worker, const Running &running, int sign);

    const Trace &trace_;
    PlatformOptions options_;
    std::unique_ptr<Scheduler> scheduler_;
    Outcomes outcomes_;
    base::TimePoint now_{std::chrono::hours(1)};
    base::TimePoint start_{std::chrono::hours(1)};
    std::vector<Machine> machines_;
    std::map<placement::JobId, Arrived> jobs_;
    std::set<std::pair<placement::JobId, std::uint32_t>> live_;
    std::priority_queue<Step, std::vector<Step>, std::greater<>> steps_;
    std::uint64_t sequence_ = 0;
    std::uint64_t generation_ = 0;
    std::uint32_t owner_ = 1;
    // For the sums over time.
    std::uint32_t busyWorkers_ = 0;
    placement::Resources used_;
    placement::Resources reserved_;
    placement::Resources serviceSlack_; ///< What services reserve and don't use.
    double shares_ = 0; ///< Sum over workers of the reserved part of the tightest resource.
    std::int64_t unfinished_ = 0; ///< Tasks that arrived and have no final word.
    placement::Resources capacity_; ///< Of one worker.
};

} // namespace yuccawheel::bench
