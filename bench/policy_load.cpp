#include "policy_load.h"

#include <fmt/core.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace yuccawheel::bench
{

namespace
{

using namespace placement;
using namespace std::chrono_literals;

constexpr std::uint32_t Families = 24;
constexpr std::uint32_t Teams = 12;
constexpr double ServiceShare = 0.2; ///< Of the load.

/// Jobs of one name: what their tasks really need and how wrong their declarations are.
struct Family {
    std::string name;
    std::string team;
    Resources usage;
    milliseconds runTime{0};
    Resources declared;
    milliseconds declaredRunTime{0};
};

class LoadMaker
{
public:
    explicit LoadMaker(const LoadOptions &options) : options_(options), random_(options.seed)
    {
    }
    Trace make();

private:
    double lie()
    {
        return std::exp(((random_.real() * 2) - 1) * std::log(options_.lies));
    }
    double around(double middle, double spread)
    {
        return middle * (1 + (((random_.real() * 2) - 1) * spread));
    }
    Resources clipped(const Resources &amount) const
    {
        const Resources &capacity = options_.deployment.capacity;
        return {std::clamp<std::int64_t>(amount.milliCpu, 100, capacity.milliCpu / 2),
                std::clamp<std::int64_t>(amount.memoryMib, 128, capacity.memoryMib / 2),
                0};
    }
    void makeFamilies();
    void addWorkers();
    void addServices();
    double addJob(milliseconds at);
    double workerMs(const Resources &usage, double ms) const;

    LoadOptions options_;
    Random random_;
    Trace trace_;
    std::vector<Family> families_;
    JobId lastJob_ = 0;
};

void LoadMaker::makeFamilies()
{
    constexpr std::array<std::int64_t, 5> MilliCpus{500, 1'000, 2'000, 4'000, 8'000};
    for (std::uint32_t number = 0; number < Families; ++number) {
        Family family;
        family.name = fmt::format("family{}-", static_cast<char>('a' + number));
        family.team = fmt::format("team{}", number % Teams);
        const std::int64_t milliCpu = MilliCpus[random_.below(MilliCpus.size())];
        const double mibPerCore = std::exp(std::log(1'024.0) + (random_.real() * std::log(6.0)));
        family.usage = {milliCpu, static_cast<std::int64_t>(static_cast<double>(milliCpu) / 1'000 * mibPerCore), 0};
        family.runTime = milliseconds(static_cast<std::int64_t>(60'000 * std::exp(random_.real() * std::log(20.0))));
        family.declared = clipped({static_cast<std::int64_t>(static_cast<double>(milliCpu) * lie()),
                                   static_cast<std::int64_t>(static_cast<double>(family.usage.memoryMib) * lie()),
                                   0});
        family.declaredRunTime =
            milliseconds(static_cast<std::int64_t>(static_cast<double>(family.runTime.count()) * lie()));
        families_.push_back(family);
    }
}

void LoadMaker::addWorkers()
{
    const Deployment &deployment = options_.deployment;
    trace_.actions.emplace(0ms, WorkersJoin{0, deployment.workers, deployment.rackSize, deployment.capacity});
    QuotasSet quotas;
    for (std::uint32_t team = 0; team < Teams; ++team) {
        const auto share = [&](std::int64_t amount) {
            return amount * deployment.workers / Teams;
        };
        quotas.quotas.push_back({fmt::format("team{}", team),
                                 {share(deployment.capacity.milliCpu), share(deployment.capacity.memoryMib), 0}});
    }
    trace_.actions.emplace(0ms, quotas);
}

double LoadMaker::workerMs(const Resources &usage, double ms) const
{
    const Resources &capacity = options_.deployment.capacity;
    return ms
        * std::max(static_cast<double>(usage.milliCpu) / static_cast<double>(capacity.milliCpu),
                   static_cast<double>(usage.memoryMib) / static_cast<double>(capacity.memoryMib));
}

void LoadMaker::addServices()
{
    const double target = ServiceShare * options_.load * options_.deployment.workers;
    double filled = 0;
    while (filled < target) {
        JobArrives job;
        job.spec.id = ++lastJob_;
        job.spec.name = fmt::format("service{}", job.spec.id);
        job.spec.team = fmt::format("team{}", random_.below(Teams));
        job.spec.kind = JobKind::Service;
        job.spec.tasks = 2 + random_.below(3);
        const Resources usage{
            1'000 + (500 * std::int64_t{random_.below(6)}), 2'048 + (1'024 * std::int64_t{random_.below(6)}), 0};
        job.spec.perTask = usage;
        job.truths = {{usage, 0ms, 0}};
        filled += workerMs(usage, job.spec.tasks);
        trace_.actions.emplace(0ms, job);
    }
}

// Returns the work of the job in ms of one worker.
double LoadMaker::addJob(milliseconds at)
{
    const Family &family = families_[random_.below(Families)];
    JobArrives job;
    JobSpec &spec = job.spec;
    spec.id = ++lastJob_;
    spec.name = fmt::format("{}{}", family.name, spec.id);
    spec.team = family.team;
    spec.kind = random_.below(20) == 0 ? JobKind::Gang : JobKind::Batch;
    spec.tasks = spec.kind == JobKind::Gang ? 2 + random_.below(7) : 1 + random_.below(20);
    spec.urgent = random_.below(50) == 0;
    spec.perTask = family.declared;
    spec.declaredRunTime = family.declaredRunTime;
    if (random_.below(4) == 0) {
        spec.deadline = milliseconds(std::max<std::int64_t>(family.runTime.count(), spec.declaredRunTime.count()) * 3);
    }
    double work = 0;
    for (std::uint32_t index = 0; index < spec.tasks; ++index) {
        TaskTruth truth;
        truth.usage = {static_cast<std::int64_t>(around(static_cast<double>(family.usage.milliCpu), 0.05)),
                       static_cast<std::int64_t>(around(static_cast<double>(family.usage.memoryMib), 0.1)),
                       0};
        truth.runTime =
            milliseconds(static_cast<std::int64_t>(around(static_cast<double>(family.runTime.count()), 0.3)));
        work += workerMs(truth.usage, static_cast<double>(truth.runTime.count()));
        job.truths.push_back(truth);
    }
    trace_.actions.emplace(at, job);
    return work;
}

// Jobs arrive at random times; their number follows from the work that the load asks for.
Trace LoadMaker::make()
{
    trace_.title = fmt::format("{} at {:.0f} % load", options_.deployment.name, options_.load * 100);
    trace_.length = options_.length;
    makeFamilies();
    addWorkers();
    addServices();
    const double rate = (1 - ServiceShare) * options_.load * options_.deployment.workers;
    double due = 0; ///< The time that the work so far keeps the zone at its load.
    const auto length = static_cast<double>(options_.length.count());
    while (due < length) {
        const double jitter = -std::log(1 - random_.real()) * 20'000;
        due += addJob(milliseconds(static_cast<std::int64_t>(std::min(due + jitter, length)))) / rate;
    }
    return trace_;
}

} // namespace

const std::vector<Deployment> &deployments()
{
    static const std::vector<Deployment> all{{"bibliobus", 50, 8, {64'000, 262'144, 0}},
                                             {"caligrafia", 50, 6, {32'000, 131'072, 0}}};
    return all;
}

Trace makeLoad(const LoadOptions &options)
{
    return LoadMaker(options).make();
}

} // namespace yuccawheel::bench
