#pragma once

#include "base/clock.h"
#include "workflow/manager_port.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace yuccawheel::fakes
{

/// Workers that take orders, in virtual time. Each ends the process if an order would break a promise: a task runs
/// twice, a worker holds more than its capacity, a task starts after it was seen done, or a gang is left alone.
class CalledWorkers
{
public:
    struct Worker {
        workflow::WorkerIdentity identity;
        bool cut = false; ///< Orders and answers get lost.
        bool failsAll = false;
        std::chrono::milliseconds clockOffset{0};
        std::uint64_t nextEnd = 1;
        std::uint64_t epoch = 0;
        base::TimePoint leaseUntil{};
        std::uint64_t sequence = 0;
        struct Run {
            std::uint32_t run = 0;
            workflow::StepSpec spec;
            base::TimePoint presentSince{};
            base::TimePoint endsAt{}; ///< Of a gang: once all members are present.
            bool working = false;
        };
        std::map<workflow::TaskRef, Run> runs;
        std::map<workflow::TaskRef, std::uint32_t> over; ///< Highest run that was stopped or ended.
        std::vector<workflow::EndedTask> ended;
    };

    struct Options {
        std::chrono::milliseconds runTime{400};
        std::chrono::milliseconds gangTimeout{3'000};
        std::chrono::milliseconds lease{10'000};
    };

    explicit CalledWorkers(Options options) : options_(options)
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
    /// The worker's process ends and a new life begins under the same id.
    void restart(const std::string &id, base::TimePoint now);
    /// Makes known what a job's tasks are, so that they can be checked and run.
    void addJob(workflow::JobKey key, const workflow::JobSpec &spec)
    {
        jobs_[key] = spec;
    }

    workflow::OrderAnswer start(const std::string &id, const workflow::StartOrder &order, base::TimePoint now);
    workflow::OrderAnswer stop(const std::string &id, const workflow::StopOrder &order, base::TimePoint now);
    workflow::PollAnswer poll(const std::string &id, const workflow::PollOrder &order, base::TimePoint now);
    /// Ends what is due.
    void step(base::TimePoint now);
    workflow::WorkerReport report(const std::string &id, base::TimePoint now);

    /// Runs that have begun.
    std::uint64_t starts() const
    {
        return starts_;
    }
    /// Most tasks that worked at the same time.
    std::size_t running() const;
    /// Returns how often a gang's member ended because the others did not come.
    std::uint64_t incompleteGangEnds() const
    {
        return incompleteGangEnds_;
    }

private:
    /// Worker, time of birth and number.
    using End = std::tuple<std::string, std::int64_t, std::uint64_t>;

    std::chrono::milliseconds clockOf(const Worker &worker, base::TimePoint now) const;
    void end(Worker &worker, const workflow::TaskRef &task, workflow::RunOutcome how);
    void endOne(Worker &worker, const workflow::TaskRef &task, workflow::RunOutcome how);
    void checkStart(const Worker &worker, const workflow::StartOrder &order, const workflow::StepSpec &spec) const;
    void startGangs(base::TimePoint now);
    workflow::TaskRef standFor(const workflow::TaskRef &task) const;

    Options options_;
    std::map<std::string, Worker> workers_;
    std::map<workflow::JobKey, workflow::JobSpec> jobs_;
    std::set<workflow::TaskRef> done_; ///< Ended as done; of a gang, its first member stands for all.
    std::set<workflow::TaskRef> notedDone_; ///< Of these, the end was taken note of.
    /// Ends as done after which the task started again though the worker's lease had not run out. They must not be
    /// taken note of.
    std::set<End> overtaken_;
    std::map<workflow::TaskRef, std::vector<End>> doneEnds_;
    std::uint64_t starts_ = 0;
    std::uint64_t incompleteGangEnds_ = 0;
    std::int64_t nextBorn_ = 1;
};

} // namespace yuccawheel::fakes
