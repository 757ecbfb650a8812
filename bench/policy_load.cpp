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
constexpr double ServiceLoadShare = 0.2; ///< Part of the load that comes from services.

/// Jobs with a common name prefix: the actual and the declared size and run time of their tasks.
struct Family {
    std::string name;
    std::string team;
    Resources usage;
    milliseconds runTime{0};
    Resources declared;
    milliseconds declaredRunTime{0};
};

class WorkloadGenerator
{
public:
    explicit WorkloadGenerator(const WorkloadOptions &options) : options_(options), random_(options.seed)
    {
    }
    Trace generate();

private:
    double randomDeclarationError()
    {
        return std::exp(((random_.nextReal() * 2) - 1) * std::log(options_.maxDeclarationError));
    }
    double randomAround(double middle, double spread)
    {
        return middle * (1 + (((random_.nextReal() * 2) - 1) * spread));
    }
    Resources clampToCapacity(const Resources &amount) const
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
    double workerTimeMs(const Resources &usage, double ms) const;

    WorkloadOptions options_;
    Random random_;
    Trace trace_;
    std::vector<Family> families_;
    JobId lastJob_ = 0;
};

void WorkloadGenerator::makeFamilies()
{
    constexpr std::array<std::int64_t, 5> MilliCpus{500, 1'000, 2'000, 4'000, 8'000};
    for (std::uint32_t number = 0; number < Families; ++number) {
        Family family;
        family.name = fmt::format("family{}-", static_cast<char>('a' + number));
        family.team = fmt::format("team{}", number % Teams);
        const std::int64_t milliCpu = MilliCpus[random_.nextBelow(MilliCpus.size())];
        const double mibPerCore = std::exp(std::log(1'024.0) + (random_.nextReal() * std::log(6.0)));
        family.usage = {milliCpu, static_cast<std::int64_t>(static_cast<double>(milliCpu) / 1'000 * mibPerCore), 0};
        family.runTime =
            milliseconds(static_cast<std::int64_t>(60'000 * std::exp(random_.nextReal() * std::log(20.0))));
        family.declared = clampToCapacity(
            {static_cast<std::int64_t>(static_cast<double>(milliCpu) * randomDeclarationError()),
             static_cast<std::int64_t>(static_cast<double>(family.usage.memoryMib) * randomDeclarationError()),
             0});
        family.declaredRunTime = milliseconds(
            static_cast<std::int64_t>(static_cast<double>(family.runTime.count()) * randomDeclarationError()));
        families_.push_back(family);
    }
}

void WorkloadGenerator::addWorkers()
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

double WorkloadGenerator::workerTimeMs(const Resources &usage, double ms) const
{
    const Resources &capacity = options_.deployment.capacity;
    return ms
        * std::max(static_cast<double>(usage.milliCpu) / static_cast<double>(capacity.milliCpu),
                   static_cast<double>(usage.memoryMib) / static_cast<double>(capacity.memoryMib));
}

void WorkloadGenerator::addServices()
{
    const double target = ServiceLoadShare * options_.load * options_.deployment.workers;
    double serviceLoad = 0;
    while (serviceLoad < target) {
        JobArrives job;
        job.spec.id = ++lastJob_;
        job.spec.name = fmt::format("service{}", job.spec.id);
        job.spec.team = fmt::format("team{}", random_.nextBelow(Teams));
        job.spec.kind = JobKind::Service;
        job.spec.tasks = 2 + random_.nextBelow(3);
        const Resources usage{1'000 + (500 * std::int64_t{random_.nextBelow(6)}),
                              2'048 + (1'024 * std::int64_t{random_.nextBelow(6)}),
                              0};
        job.spec.perTask = usage;
        job.profiles = {{usage, 0ms, 0}};
        serviceLoad += workerTimeMs(usage, job.spec.tasks);
        trace_.actions.emplace(0ms, job);
    }
}

// Returns the work of the added job, in ms of one whole worker.
double WorkloadGenerator::addJob(milliseconds at)
{
    const Family &family = families_[random_.nextBelow(Families)];
    JobArrives job;
    JobSpec &spec = job.spec;
    spec.id = ++lastJob_;
    spec.name = fmt::format("{}{}", family.name, spec.id);
    spec.team = family.team;
    spec.kind = random_.nextBelow(20) == 0 ? JobKind::Gang : JobKind::Batch;
    spec.tasks = spec.kind == JobKind::Gang ? 2 + random_.nextBelow(7) : 1 + random_.nextBelow(20);
    spec.urgent = random_.nextBelow(50) == 0;
    spec.perTask = family.declared;
    spec.declaredRunTime = family.declaredRunTime;
    if (random_.nextBelow(4) == 0) {
        spec.deadline = milliseconds(std::max<std::int64_t>(family.runTime.count(), spec.declaredRunTime.count()) * 3);
    }
    double work = 0;
    for (std::uint32_t index = 0; index < spec.tasks; ++index) {
        TaskProfile profile;
        profile.usage = {static_cast<std::int64_t>(randomAround(static_cast<double>(family.usage.milliCpu), 0.05)),
                         static_cast<std::int64_t>(randomAround(static_cast<double>(family.usage.memoryMib), 0.1)),
                         0};
        profile.runTime =
            milliseconds(static_cast<std::int64_t>(randomAround(static_cast<double>(family.runTime.count()), 0.3)));
        work += workerTimeMs(profile.usage, static_cast<double>(profile.runTime.count()));
        job.profiles.push_back(profile);
    }
    trace_.actions.emplace(at, job);
    return work;
}

// Jobs arrive at random times until their total work gives the requested load.
Trace WorkloadGenerator::generate()
{
    trace_.title = fmt::format("{} at {:.0f} % load", options_.deployment.name, options_.load * 100);
    trace_.length = options_.length;
    makeFamilies();
    addWorkers();
    addServices();
    const double rate = (1 - ServiceLoadShare) * options_.load * options_.deployment.workers;
    double generatedUntil = 0; ///< Up to this time, in ms, the generated work keeps the zone at the load.
    const auto length = static_cast<double>(options_.length.count());
    while (generatedUntil < length) {
        const double jitter = -std::log(1 - random_.nextReal()) * 20'000;
        generatedUntil +=
            addJob(milliseconds(static_cast<std::int64_t>(std::min(generatedUntil + jitter, length)))) / rate;
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

Trace makeWorkload(const WorkloadOptions &options)
{
    return WorkloadGenerator(options).generate();
}

} // namespace yuccawheel::bench
