#include "place.h"

#include "place_random.h"
#include "place_signature.h"
#include "placement/planner.h"

#include <cxxopts.hpp>
#include <fmt/core.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

namespace yuccawheel::bench
{

namespace
{

using namespace placement;
using namespace std::chrono_literals;

constexpr int ExitUsage = 2;

struct PlaceOptions {
    std::uint32_t workers = 50;
    std::uint32_t running = 550;
    std::uint32_t teams = 12;
    std::uint64_t seed = 1;
    std::uint32_t ticks = 4'000;
    std::uint32_t endsPerTick = 6; ///< One tick is 1 ms of virtual time, so 6 is 6,000 task ends per second.
};

struct PlaceResult {
    std::uint64_t placements = 0;
    double placementsPerSecond = 0;
    double p50Us = 0;
    double p99Us = 0;
    double rssMb = 0;
    std::uint64_t signature = 0;
};

double residentMb()
{
    long size = 0;
    long resident = 0;
    if (std::FILE *file = std::fopen("/proc/self/statm", "r")) {
        if (std::fscanf(file, "%ld %ld", &size, &resident) != 2) { // NOLINT(cert-err34-c)
            resident = 0;
        }
        std::fclose(file);
    }
    constexpr double PageMb = 4096.0 / (1024 * 1024);
    return static_cast<double>(resident) * PageMb;
}

/// Keeps the number of running tasks of a planner constant, with a short queue of waiting tasks.
class SteadyState
{
public:
    explicit SteadyState(const PlaceOptions &options) : options_(options), random_(options.seed)
    {
    }

    PlaceResult run();

private:
    struct Running {
        TaskId task;
        WorkerId worker = 0;
    };

    void joinWorkers();
    void startInitialTasks();
    void submitJob(JobKind kind, std::uint32_t tasks);
    void submitArrivals();
    void endTasks();
    void decide();
    std::string randomTeam()
    {
        return fmt::format("team{}", random_.nextBelow(options_.teams));
    }

    PlaceOptions options_;
    Random random_;
    Planner planner_{PlannerOptions{}};
    base::TimePoint now_{1h};
    std::vector<Running> running_; ///< Without service replicas, which never end.
    std::vector<Command> commands_;
    Signature signature_;
    std::uint64_t starts_ = 0;
    std::uint32_t runningCount_ = 0;
    std::uint32_t waitingCount_ = 0;
    bool startingServices_ = false; ///< Tasks that start now are service replicas and never end.
    JobId lastJob_ = 0;
};

void SteadyState::joinWorkers()
{
    constexpr std::uint32_t WorkersPerRack = 8;
    for (WorkerId worker = 0; worker < options_.workers; ++worker) {
        const bool accelerated = worker % 4 == 0;
        planner_.handle(WorkerJoined{worker,
                                     fmt::format("vm{}", worker),
                                     fmt::format("rack{}", worker / WorkersPerRack),
                                     {64'000, 262'144, accelerated ? 8 : 0},
                                     {}},
                        now_);
    }
    QuotasChanged quotas;
    for (std::uint32_t number = 0; number < options_.teams; ++number) {
        const std::int64_t share = std::int64_t{options_.workers} * 48'000 / options_.teams;
        quotas.quotas.push_back({fmt::format("team{}", number), {share, share * 4, 2}});
    }
    planner_.handle(quotas, now_);
}

void SteadyState::submitJob(JobKind kind, std::uint32_t tasks)
{
    JobAssigned event;
    event.spec.id = ++lastJob_;
    event.spec.name = fmt::format("job{}", random_.nextBelow(64));
    event.spec.team = randomTeam();
    event.spec.kind = kind;
    event.spec.tasks = tasks;
    constexpr std::array<std::int64_t, 6> Cores{1, 2, 4, 8, 8, 8};
    const std::int64_t cores = Cores[random_.nextBelow(Cores.size())];
    event.spec.perTask = {cores * 1'000, cores * (2'048 << random_.nextBelow(2)), random_.nextBelow(40) == 0 ? 1 : 0};
    event.spec.declaredRunTime = std::chrono::seconds(20 + random_.nextBelow(600));
    event.spec.priority = static_cast<std::int32_t>(random_.nextBelow(5));
    event.count = tasks;
    waitingCount_ += tasks;
    planner_.handle(event, now_);
}

void SteadyState::startInitialTasks()
{
    while (starts_ < options_.running) {
        startingServices_ = starts_ < options_.running / 5;
        const auto left = static_cast<std::uint32_t>(options_.running - starts_);
        const std::uint64_t before = starts_;
        submitJob(startingServices_ ? JobKind::Service : JobKind::Batch, std::min(left, startingServices_ ? 3U : 20U));
        decide();
        if (starts_ == before) {
            startingServices_ = false;
            return;
        }
    }
}

// Submits jobs until ended tasks are replaced and the queue of waiting tasks has its target length.
void SteadyState::submitArrivals()
{
    constexpr std::uint32_t WaitingTasks = 60;
    while (runningCount_ + waitingCount_ < options_.running + WaitingTasks) {
        const std::uint32_t kind = random_.nextBelow(50);
        submitJob(kind == 0 ? JobKind::Gang : JobKind::Batch, kind == 0 ? 4 : 1 + random_.nextBelow(12));
    }
}

void SteadyState::endTasks()
{
    for (std::uint32_t count = 0; count < options_.endsPerTick && !running_.empty(); ++count) {
        Running &chosen = running_[random_.nextBelow(static_cast<std::uint32_t>(running_.size()))];
        planner_.handle(WorkerReported{chosen.worker, {{chosen.task, TaskState::Finished, {900, 1'900, 0}}}}, now_);
        --runningCount_;
        chosen = running_.back();
        running_.pop_back();
    }
}

void SteadyState::decide()
{
    commands_.clear();
    planner_.decide(now_, commands_);
    signature_.add(commands_);
    for (const Command &command : commands_) {
        if (const auto *start = std::get_if<StartTask>(&command)) {
            if (!startingServices_) {
                running_.push_back({start->task, start->worker});
            }
            ++starts_;
            ++runningCount_;
            --waitingCount_;
        } else if (const auto *stop = std::get_if<StopTask>(&command)) {
            planner_.handle(WorkerReported{stop->worker, {{stop->task, TaskState::Checkpointed, {}}}}, now_);
            std::erase_if(running_, [&](const Running &entry) { return entry.task == stop->task; });
            --runningCount_;
            ++waitingCount_;
        }
    }
}

PlaceResult SteadyState::run()
{
    joinWorkers();
    startInitialTasks();
    startingServices_ = false;
    const std::uint64_t before = starts_;
    std::vector<double> times;
    double total = 0;
    for (std::uint32_t tick = 0; tick < options_.ticks; ++tick) {
        now_ += 1ms;
        const auto start = std::chrono::steady_clock::now();
        endTasks();
        submitArrivals();
        commands_.clear();
        decide();
        const std::chrono::duration<double, std::micro> duration = std::chrono::steady_clock::now() - start;
        times.push_back(duration.count());
        total += duration.count();
    }
    std::sort(times.begin(), times.end());
    PlaceResult result;
    result.placements = starts_ - before;
    result.placementsPerSecond = static_cast<double>(result.placements) / (total / 1e6);
    result.p50Us = times[times.size() / 2];
    result.p99Us = times[times.size() * 99 / 100];
    result.rssMb = residentMb();
    result.signature = signature_.value();
    return result;
}

void print(const PlaceOptions &options, const PlaceResult &result, const std::string &format)
{
    if (format == "json") {
        fmt::print("{{\"workers\": {}, \"running\": {}, \"teams\": {}, \"seed\": {}, \"placements\": {}, "
                   "\"placements_per_second\": {:.0f}, \"decision_p50_us\": {:.1f}, \"decision_p99_us\": {:.1f}, "
                   "\"rss_mb\": {:.1f}, \"signature\": \"{:016x}\"}}\n",
                   options.workers,
                   options.running,
                   options.teams,
                   options.seed,
                   result.placements,
                   result.placementsPerSecond,
                   result.p50Us,
                   result.p99Us,
                   result.rssMb,
                   result.signature);
        return;
    }
    fmt::print(
        "workers {}  running {}  teams {}  seed {}\n"
        "placements {}  per second {:.0f}  decision p50 {:.1f} us  p99 {:.1f} us  rss {:.1f} MB  signature {:016x}\n",
        options.workers,
        options.running,
        options.teams,
        options.seed,
        result.placements,
        result.placementsPerSecond,
        result.p50Us,
        result.p99Us,
        result.rssMb,
        result.signature);
}

} // namespace

int runPlace(int argc, char **argv)
{
    cxxopts::Options parser("yw-bench place", "Measures placements per second and decision time at a steady state");
    parser.add_options()("workers", "number of workers", cxxopts::value<std::uint32_t>()->default_value("50"))(
        "running", "running tasks; 0 means 11 per worker", cxxopts::value<std::uint32_t>()->default_value("0"))(
        "teams", "number of teams with quotas", cxxopts::value<std::uint32_t>()->default_value("12"))(
        "seed", "seed of the random load", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "ticks", "number of measured decisions, one per tick", cxxopts::value<std::uint32_t>()->default_value("4000"))(
        "format", "text or json", cxxopts::value<std::string>()->default_value("text"))("help", "print usage");
    try {
        const auto arguments = parser.parse(argc, argv);
        if (arguments.count("help") != 0) {
            fmt::print("{}\n", parser.help());
            return 0;
        }
        PlaceOptions options;
        options.workers = std::max(1U, arguments["workers"].as<std::uint32_t>());
        options.running = arguments["running"].as<std::uint32_t>();
        options.running = options.running == 0 ? options.workers * 11 : options.running;
        options.teams = std::max(1U, arguments["teams"].as<std::uint32_t>());
        options.seed = arguments["seed"].as<std::uint64_t>();
        options.ticks = std::max(100U, arguments["ticks"].as<std::uint32_t>());
        print(options, SteadyState(options).run(), arguments["format"].as<std::string>());
    } catch (const cxxopts::exceptions::exception &error) {
        fmt::print(stderr, "yw-bench place: {}\n", error.what());
        return ExitUsage;
    }
    return 0;
}

int runSignature(int /*argc*/, char ** /*argv*/)
{
    std::uint64_t combined = 0;
    for (const PlaceOptions &options : {PlaceOptions{50, 550, 12, 1, 1'000, 6},
                                        PlaceOptions{50, 400, 3, 2, 1'000, 3},
                                        PlaceOptions{412, 4'562, 780, 3, 1'000, 6}}) {
        combined = (combined * 0x100000001b3ULL) ^ SteadyState(options).run().signature;
    }
    fmt::print("{:016x}\n", combined);
    return 0;
}

} // namespace yuccawheel::bench
