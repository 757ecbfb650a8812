#pragma once

#include "workflow_simulation.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace yuccawheel::tests
{

/// Random load of three unlike queues on many workers: short urgent jobs, large gangs whose run times callers can
/// hardly estimate, and wide jobs of resumable tasks. Offered load is 0.9 of the workers' capacity, as deployments are
/// sized.
class MixedLoad
{
public:
    enum Queue : std::uint8_t { Short, Gangs, Wide };

    MixedLoad(std::size_t workers, std::uint64_t seed)
        : workers_(workers)
        , random_(seed)
        , simulation_(makeOptions(workers, seed))
    {
        for (std::size_t number = 0; number < workers; ++number) {
            simulation_.workers.add("w" + std::to_string(number),
                                    WorkerMilliCpu,
                                    "rack" + std::to_string(number / WorkersPerRack),
                                    simulation_.now);
        }
        simulation_.mayRun = [this](const std::string &step, const std::string &worker) {
            const Queue queue = jobs_.at(keyOf(step)).queue;
            const std::size_t hash = std::hash<std::string>{}(step + worker) * 0x9e3779b97f4a7c15ULL;
            return static_cast<double>(hash >> 40U) / static_cast<double>(1ULL << 24U) < queues()[queue].eligibleShare;
        };
        simulation_.serviceTimeOf = [this](const workflow::EligibilityQuery &query) {
            const auto &policy = *queues()[jobs_.at(keyOf(query.step)).queue].policy.eligibility;
            return std::chrono::ceil<std::chrono::milliseconds>(
                workflow::estimatedServiceTime(policy, query.workers.size()));
        };
        simulation_.lead();
        simulation_.run(std::chrono::milliseconds{100});
    }

    /// Offers load for this time.
    void run(std::chrono::milliseconds duration)
    {
        const base::TimePoint end = simulation_.now + duration;
        while (simulation_.now < end) {
            for (const Queue queue : {Short, Gangs, Wide}) {
                while (simulation_.now >= nextArrival_[queue]) {
                    submit(queue);
                }
            }
            simulation_.run(std::chrono::milliseconds{1});
            reservedSum_ += static_cast<double>(reservedMilliCpu());
            ++samples_;
        }
    }
    /// Multiplies the arrival rate of a queue from now on.
    void setRate(Queue queue, double factor)
    {
        rateFactors_[queue] = factor;
    }
    /// Returns the mean share of capacity in use since the last call.
    double takeMeanUse()
    {
        const double capacity = static_cast<double>(workers_) * WorkerMilliCpu;
        const double use = reservedSum_ / static_cast<double>(samples_) / capacity;
        reservedSum_ = 0;
        samples_ = 0;
        return use;
    }
    /// Returns the processor time of each tick of the manager since the last call.
    std::vector<std::chrono::nanoseconds> takeTickTimes()
    {
        return std::exchange(simulation_.tickTimes, {});
    }
    const workflow::DispatchCost &dispatchCost() const
    {
        return simulation_.manager->dispatchCost();
    }
    base::TimePoint now() const
    {
        return simulation_.now;
    }
    /// Returns the served share of the worth of a queue's jobs that arrived in this period; with `largestShare`, of
    /// that share of them with the most work. A job is worth more the more work it has, up to four times the mean. One
    /// that is completed later than its objective earns a fifth, and nothing later than three times the objective.
    double servedShare(Queue queue, base::TimePoint from, base::TimePoint until, double largestShare = 1) const
    {
        std::vector<const Job *> arrived;
        double meanWork = 0;
        for (const auto &[key, job] : jobs_) {
            if (job.queue == queue && job.arrivedAt >= from && job.arrivedAt < until) {
                arrived.push_back(&job);
                meanWork += job.coreSeconds;
            }
        }
        meanWork /= static_cast<double>(arrived.size());
        std::sort(arrived.begin(), arrived.end(), [](const Job *left, const Job *right) {
            return left->coreSeconds > right->coreSeconds;
        });
        arrived.resize(static_cast<std::size_t>(std::ceil(static_cast<double>(arrived.size()) * largestShare)));
        double owed = 0;
        double earned = 0;
        for (const Job *const job : arrived) {
            const double worth = std::min(MaxWorth, 0.3 + 0.7 * job->coreSeconds / meanWork);
            owed += worth;
            earned += worth * creditOf(*job);
        }
        return earned / owed;
    }
    std::size_t waitingTasks() const
    {
        std::size_t waiting = 0;
        for (const auto &[key, job] : simulation_.state.jobs()) {
            for (std::size_t position = 0; position < job.steps.size(); ++position) {
                const workflow::StepRecord &step = job.steps[position];
                waiting += job.hasFinishedDependencies(position) ? step.tasks.size() - step.done - step.placed : 0;
            }
        }
        return waiting;
    }

private:
    static constexpr std::int64_t WorkerMilliCpu = 32'000;
    static constexpr std::size_t WorkersPerRack = 20;
    static constexpr std::size_t WorkersPerGateway = 8;
    static constexpr std::size_t WorkersPerSlowOne = 3;
    static constexpr double SlowFactor = 1.3;
    static constexpr double MaxWorth = 4; ///< Of a job; 1 is that of a job of mean work.
    static constexpr double LateCredit = 0.2;
    static constexpr double ReferenceWorkers = 350; ///< Number of workers for which the rates are given.

    struct QueueLoad {
        workflow::QueuePolicy policy;
        double jobsPerSecond = 0;
        double meanSteps = 1;
        double meanTasks = 1;
        double meanMilliCpu = 0;
        std::chrono::milliseconds meanRunTime{0};
        double estimateError = 0; ///< Standard deviation of the logarithm.
        double eligibleShare = 1;
        double gangShare = 0;
        double resumableShare = 0;
    };
    struct Job {
        Queue queue = Short;
        workflow::JobKey key = 0;
        base::TimePoint arrivedAt{};
        double coreSeconds = 0;
        std::chrono::milliseconds objective{0}; ///< By its actual run times.
        std::vector<std::chrono::milliseconds> runTimes; ///< Of each step.
    };

    static const std::array<QueueLoad, 3> &queues()
    {
        static const std::array<QueueLoad, 3> loads = [] {
            using std::chrono::microseconds;
            using std::chrono::milliseconds;
            const auto policy = [](const char *name, std::int32_t priority, double stretch, milliseconds target) {
                workflow::QueuePolicy result;
                result.queue = name;
                result.service = "service";
                result.priority = priority;
                result.attempts = 4;
                result.stretch = stretch;
                result.target = target;
                return result;
            };
            std::array<QueueLoad, 3> all{{
                {policy("short", 0, 1.5, milliseconds{250}), 137, 1, 3.2, 5'000, milliseconds{640}, 0.2, 0.7, 0.3, 0},
                {policy("gangs", 1, 2.2, milliseconds{1'000}),
                 5.96,
                 1.2,
                 20,
                 9'000,
                 milliseconds{4'000},
                 0.9,
                 0.3,
                 1,
                 0},
                {policy("wide", 2, 4, milliseconds{3'000}),
                 9.85,
                 1.5,
                 25,
                 3'500,
                 milliseconds{2'700},
                 0.5,
                 0.45,
                 0,
                 0.8},
            }};
            const milliseconds validFor{1'500};
            all[Short].policy.eligibility = {microseconds{9'360}, microseconds{130}, validFor};
            all[Gangs].policy.eligibility = {microseconds{442'000}, microseconds{6'370}, validFor};
            all[Wide].policy.eligibility = {microseconds{130'000}, microseconds{1'820}, validFor};
            return all;
        }();
        return loads;
    }

    ManagerSimulation::Options makeOptions(std::size_t workers, std::uint64_t seed)
    {
        ManagerSimulation::Options options;
        options.seed = seed;
        options.gateways = std::max<std::size_t>(1, workers / WorkersPerGateway);
        options.workers.runTimeOf = [this](const workflow::TaskRef &task, const std::string &worker) {
            const Job &job = jobs_.at(task.job);
            const bool slow = std::stoul(worker.substr(1)) % WorkersPerSlowOne == 0;
            // The slowest member determines the run time of a gang, which is on a slow worker nearly always.
            const bool isGang = simulation_.state.findJob(task.job)->spec.steps[task.step].gang;
            const double factor = slow || isGang ? SlowFactor : 1;
            return std::chrono::milliseconds(
                static_cast<std::int64_t>(static_cast<double>(job.runTimes[task.step].count()) * factor));
        };
        return options;
    }

    double creditOf(const Job &job) const
    {
        const workflow::JobRecord *const record = simulation_.state.findJob(job.key);
        if (record == nullptr || record->phase != workflow::JobPhase::Completed) {
            return 0;
        }
        const auto taken = record->endedAt - record->acceptedAt;
        return taken <= job.objective ? 1 : taken <= 3 * job.objective ? LateCredit : 0;
    }
    static workflow::JobKey keyOf(const std::string &step)
    {
        return *workflow::parseJobKey(step.substr(0, step.find('.')));
    }
    double logNormal(double mean, double deviation)
    {
        return mean * std::exp(std::normal_distribution<double>(-deviation * deviation / 2, deviation)(random_));
    }

    void submit(Queue queue)
    {
        const QueueLoad &load = queues()[queue];
        const double rate = rateFactors_[queue] * load.jobsPerSecond * static_cast<double>(workers_) / ReferenceWorkers;
        nextArrival_[queue] = std::max(nextArrival_[queue], simulation_.now - std::chrono::milliseconds{1})
            + std::chrono::microseconds(static_cast<std::int64_t>(std::exponential_distribution<double>(rate)(random_)
                                                                  * 1'000'000));
        const workflow::JobKey key = ++lastKey_;
        Job &job = jobs_[key];
        job.queue = queue;
        job.key = key;
        job.arrivedAt = simulation_.now;
        workflow::JobSpec spec;
        spec.payload = "payload";
        const bool gang = std::bernoulli_distribution(load.gangShare)(random_);
        const bool resumable = std::bernoulli_distribution(load.resumableShare)(random_);
        const std::size_t steps = std::bernoulli_distribution(load.meanSteps - 1)(random_) ? 2 : 1;
        std::chrono::milliseconds pathLength{0};
        for (std::size_t position = 0; position < steps; ++position) {
            workflow::StepSpec step;
            step.count =
                static_cast<std::uint32_t>(std::clamp(logNormal(load.meanTasks, 0.7), 1.0, 6 * load.meanTasks));
            step.perTask = {static_cast<std::int64_t>(std::min(15'000.0, logNormal(load.meanMilliCpu, 0.4))), 100, 0};
            const double meanRunTime = static_cast<double>(load.meanRunTime.count());
            const double runTime = std::min(logNormal(meanRunTime, 0.5), 2.5 * meanRunTime);
            job.runTimes.emplace_back(static_cast<std::int64_t>(runTime));
            step.estimatedRunTime =
                std::chrono::milliseconds(static_cast<std::int64_t>(logNormal(runTime, load.estimateError)) + 1);
            step.gang = gang;
            step.checkpointing = resumable;
            if (position > 0) {
                step.after = {0};
            }
            job.coreSeconds += step.count * runTime / 1'000 * static_cast<double>(step.perTask.milliCpu) / 1'000;
            pathLength += job.runTimes.back();
            spec.steps.push_back(step);
        }
        job.objective = load.policy.target
            + std::chrono::milliseconds(
                            static_cast<std::int64_t>(static_cast<double>(pathLength.count()) * load.policy.stretch));
        simulation_.submit(key, spec, load.policy);
    }

    std::int64_t reservedMilliCpu()
    {
        std::int64_t sum = 0;
        for (const auto &[id, worker] : simulation_.workers.all()) {
            for (const auto &[task, run] : worker.runs) {
                sum += run.spec.perTask.milliCpu;
            }
        }
        return sum;
    }

    std::size_t workers_;
    std::mt19937_64 random_;
    std::map<workflow::JobKey, Job> jobs_;
    std::array<base::TimePoint, 3> nextArrival_{};
    std::array<double, 3> rateFactors_{1, 1, 1};
    workflow::JobKey lastKey_ = 0;
    double reservedSum_ = 0;
    std::uint64_t samples_ = 0;
    ManagerSimulation simulation_;
};

} // namespace yuccawheel::tests
