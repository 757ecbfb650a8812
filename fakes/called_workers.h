#pragma once

#include "base/clock.h"
#include "workflow/manager_port.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace yuccawheel::fakes
{

/// Called workers in virtual time. An order that would violate a guarantee ends the process: a task would run in two
/// places, again after its end was acknowledged or on a worker that lists it as done, a worker would exceed its
/// capacity or the step's limit of tasks per worker, a task that has crashed three workers would start three times
/// more, or a step would start before the steps that it depends on are done. A resumable task that is stopped continues
/// where it was; its checkpoint is the remaining run time in milliseconds.
class CalledWorkers
{
public:
    struct Worker {
        workflow::WorkerIdentity identity;
        bool cut = false; ///< The network loses orders and answers.
        bool answersLost = false; ///< The network loses answers; orders are carried out, and reports arrive.
        base::TimePoint downUntil{}; ///< After a crash: when the next incarnation answers.
        bool failsAll = false;
        bool isDraining = false; ///< Stated in its reports.
        std::chrono::milliseconds clockOffset{0};
        std::uint64_t nextEnd = 1;
        std::uint64_t fence = 0; ///< Highest fencing token that it has seen.
        std::uint64_t earlierFence = 0; ///< The same of earlier incarnations.
        base::TimePoint leaseUntil{};
        std::uint64_t lapsedEnds = 0; ///< Ends below this number were not acknowledged before a lapse of the lease.
        std::uint64_t sequence = 0;
        struct Run {
            std::uint32_t run = 0;
            workflow::StepSpec spec;
            base::TimePoint presentSince{};
            base::TimePoint endsAt{}; ///< For a gang, valid once all members are present.
            bool working = false;
            bool isResumed = false; ///< Started from a checkpoint.
            std::optional<base::TimePoint> stopsAt; ///< Set once a stop has been ordered.
        };
        std::map<workflow::TaskRef, Run> runs;
        std::map<workflow::TaskRef, std::uint32_t> highestEndedRun; ///< Highest run that was stopped or ended.
        std::vector<workflow::EndedTask> ended;
        /// What the worker's capacity was before it shrank, and until when orders may count on it.
        placement::Resources earlierCapacity;
        base::TimePoint earlierCapacityUntil{};

        /// Returns whether an order that was meant for the incarnation `born` is carried out late. Orders name the id
        /// only, so a next incarnation does it too. A real one does so also before the first order that is meant for
        /// itself, when no fencing token can tell the two apart; here such orders get lost.
        bool mayCarryOut(std::int64_t born) const
        {
            return identity.born == born || fence > earlierFence;
        }
    };

    struct Options {
        std::chrono::milliseconds runTime{400};
        /// Run time of a task on a worker; `runTime` for all tasks if unset.
        std::function<std::chrono::milliseconds(const workflow::TaskRef &, const std::string &worker)> runTimeOf;
        /// Whether a task crashes its worker; none does if unset.
        std::function<bool(const workflow::TaskRef &)> crashes;
        std::chrono::milliseconds crashDelay{50}; ///< From the start of such a task.
        std::chrono::milliseconds downTime{2'000}; ///< From a crash until the next incarnation answers.
        std::chrono::milliseconds stopTime{0}; ///< From the order to stop until the run's end.
        std::chrono::milliseconds gangTimeout{3'000};
        std::uint32_t progressOfCheckpoint = 0; ///< Percentage that a run which resumes lists from its start.
        std::chrono::milliseconds lease{10'000};
        double clockRate = 1; ///< Of the workers' clocks.
    };

    explicit CalledWorkers(Options options) : options_(std::move(options))
    {
    }

    /// Adds a worker and returns its id.
    std::string add(const std::string &id, std::int64_t milliCpu, const std::string &rack, base::TimePoint now);
    Worker &worker(const std::string &id)
    {
        return workers_.at(id);
    }
    std::map<std::string, Worker> &all()
    {
        return workers_;
    }
    /// Ends the worker's process and starts a new incarnation under the same id.
    void restart(const std::string &id, base::TimePoint now);
    /// The same, and the new incarnation has another address.
    void restartElsewhere(const std::string &id, base::TimePoint now);
    /// Crashes the worker's process. The next incarnation answers after Options::downTime.
    void crash(const std::string &id, base::TimePoint now);
    /// Lets a run fail that is there, with its last checkpoint.
    void fail(const std::string &id, const workflow::TaskRef &task, const std::string &checkpoint);
    /// Changes what the worker reports as its capacity. After it has shrunk, orders may count on the old one for
    /// `notice`.
    void setCapacity(const std::string &id,
                     const placement::Resources &capacity,
                     std::chrono::milliseconds notice,
                     base::TimePoint now);
    /// Returns whether orders, answers and reports of a worker get through.
    bool isReachable(const std::string &id, base::TimePoint now) const
    {
        const Worker &worker = workers_.at(id);
        return !worker.cut && now >= worker.downUntil;
    }
    /// Registers a job's specification, which its tasks need to be checked and run.
    void addJob(workflow::JobKey key, const workflow::JobSpec &spec)
    {
        jobs_[key] = spec;
    }

    workflow::OrderAnswer start(const std::string &id, const workflow::StartOrder &order, base::TimePoint now);
    workflow::OrderAnswer stop(const std::string &id, const workflow::StopOrder &order, base::TimePoint now);
    workflow::PollAnswer poll(const std::string &id, const workflow::PollOrder &order, base::TimePoint now);
    /// Starts the work of complete gangs and ends the runs that are due.
    void step(base::TimePoint now);
    workflow::WorkerReport report(const std::string &id, base::TimePoint now);
    /// Returns the report of a worker that leaves. It goes on until its process is ended.
    workflow::WorkerReport finalReport(const std::string &id) const;

    /// Returns the number of runs started.
    std::uint64_t starts() const
    {
        return starts_;
    }
    /// Returns the number of runs started after a run of their task had ended as done.
    std::uint64_t startsAfterDone() const
    {
        return startsAfterDone_;
    }
    /// Returns whether a run of the task, or of another member of its gang, has ended as done.
    bool isDone(const workflow::TaskRef &task) const
    {
        return done_.contains(representativeOf(task));
    }
    /// Returns the number of crashes of workers.
    std::uint64_t crashes() const
    {
        return crashes_;
    }
    /// Returns the number of runs present on all workers.
    std::size_t running() const;
    /// Returns the number of gang members that ended because their gang was incomplete.
    std::uint64_t incompleteGangEnds() const
    {
        return incompleteGangEnds_;
    }

private:
    /// Worker id, start time of the incarnation (`born`) and number of the end.
    using EndId = std::tuple<std::string, std::int64_t, std::uint64_t>;

    /// Returns the start time of an incarnation that starts now. Two never have the same.
    std::int64_t nextBorn(base::TimePoint now);
    std::chrono::milliseconds readClock(const Worker &worker, base::TimePoint now) const;
    std::chrono::milliseconds scaled(base::TimePoint now) const;
    std::chrono::nanoseconds localTime(std::chrono::milliseconds length) const;
    std::chrono::milliseconds runTimeOf(const workflow::TaskRef &task, const Worker &worker) const;
    void end(Worker &worker,
             const workflow::TaskRef &task,
             workflow::RunOutcome outcome,
             const std::string &checkpoint = {});
    void endOne(Worker &worker,
                const workflow::TaskRef &task,
                workflow::RunOutcome outcome,
                const std::string &checkpoint = {});
    void checkStart(const Worker &worker,
                    const workflow::StartOrder &order,
                    const workflow::StepSpec &spec,
                    base::TimePoint now) const;
    void countStartAfterCrashes(const workflow::TaskRef &task);
    void crashWorkers(base::TimePoint now);
    void startGangs(base::TimePoint now);
    workflow::TaskRef representativeOf(const workflow::TaskRef &task) const;

    Options options_;
    std::map<std::string, Worker> workers_;
    std::map<workflow::JobKey, workflow::JobSpec> jobs_;
    std::set<workflow::TaskRef> done_; ///< Tasks that ended as done; the first member of a gang represents all of them.
    std::set<workflow::TaskRef> acknowledgedDone_; ///< Tasks of `done_` whose end was acknowledged.
    /// Ends as done after which the task was started again before the worker's lease expired. They must never be
    /// acknowledged.
    std::set<EndId> supersededEnds_;
    std::map<workflow::TaskRef, std::vector<EndId>> doneEndsByTask_;
    std::map<workflow::TaskRef, std::uint32_t> crashesByTask_; ///< Of tasks that crash their workers.
    std::map<workflow::TaskRef, std::uint32_t> startsAfterCrashes_; ///< Starts after the third crash.
    std::uint64_t crashes_ = 0;
    std::uint64_t starts_ = 0;
    std::uint64_t startsAfterDone_ = 0;
    std::uint64_t incompleteGangEnds_ = 0;
    std::int64_t lastBorn_ = 0;
};

} // namespace yuccawheel::fakes
