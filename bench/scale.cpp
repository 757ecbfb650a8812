#include "scale.h"

#include "fakes/worker_state.h"
#include "place_random.h"
#include "placement/planner.h"
#include "protocol/messages.h"
#include "store/cluster_state.h"

#include <cxxopts.hpp>
#include <fmt/core.h>

#include <cmath>
#include <ctime>
#include <functional>
#include <malloc.h>
#include <string>
#include <vector>

namespace yuccawheel::bench
{

namespace
{

using namespace placement;
using namespace std::chrono_literals;

constexpr int ExitUsage = 2;
constexpr double NanosPerMicro = 1000;

/// Size of a deployment. Each series varies one of the fields.
struct Size {
    std::uint32_t workers = 100;
    std::uint32_t tasks = 1'000; ///< Running in the zone.
    std::uint32_t teams = 49;
    std::uint32_t zones = 4;
    std::uint32_t jobs = 1'000; ///< Kept by the store.
};

struct Point {
    double x = 0;
    double y = 0;
};

struct FittedLine {
    double intercept = 0;
    double slope = 0;
    double residual = 0; ///< Root mean square of the deviations, in the unit of y.
};

FittedLine fitLine(const std::vector<Point> &points)
{
    double sumX = 0;
    double sumY = 0;
    for (const Point &point : points) {
        sumX += point.x;
        sumY += point.y;
    }
    const double count = static_cast<double>(points.size());
    double covariance = 0;
    double variance = 0;
    for (const Point &point : points) {
        covariance += (point.x - sumX / count) * (point.y - sumY / count);
        variance += (point.x - sumX / count) * (point.x - sumX / count);
    }
    FittedLine line;
    line.slope = covariance / variance;
    line.intercept = (sumY - line.slope * sumX) / count;
    double squares = 0;
    for (const Point &point : points) {
        const double deviation = point.y - line.intercept - line.slope * point.x;
        squares += deviation * deviation;
    }
    line.residual = std::sqrt(squares / count);
    return line;
}

double threadMicros()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / NanosPerMicro;
}

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

/// Planner of one zone with a constant number of running tasks, while tasks end and start.
class ZoneLoad
{
public:
    explicit ZoneLoad(const Size &size) : size_(size)
    {
        for (WorkerId worker = 0; worker < size.workers; ++worker) {
            const std::string rack = fmt::format("r{}", worker / 8);
            planner_.handle(WorkerJoined{worker, fmt::format("w{}", worker), rack, {64'000, 262'144, 2}, {}}, now_);
        }
        QuotasChanged quotas;
        for (std::uint32_t team = 0; team < size.teams; ++team) {
            quotas.quotas.push_back({fmt::format("t{}", team), {8'000, 32'768, 0}});
        }
        planner_.handle(quotas, now_);
        while (running_.size() < size.tasks) {
            addJob(std::min<std::uint32_t>(20, size.tasks - static_cast<std::uint32_t>(running_.size())));
            decide();
        }
    }

    /// Returns the CPU time of one task start in microseconds, including the end of another task and the start's share
    /// of the job's arrival.
    double microsPerStart()
    {
        constexpr int Rounds = 400;
        constexpr std::uint32_t TasksPerRound = 6;
        const double begin = threadMicros();
        for (int round = 0; round < Rounds; ++round) {
            for (std::uint32_t i = 0; i < TasksPerRound; ++i) {
                Running &ended = running_[random_.nextBelow(static_cast<std::uint32_t>(running_.size()))];
                planner_.handle(WorkerReported{ended.worker, {{ended.task, TaskState::Finished, {}}}}, now_);
                ended = running_.back();
                running_.pop_back();
            }
            addJob(TasksPerRound);
            decide();
        }
        return (threadMicros() - begin) / (Rounds * TasksPerRound);
    }

private:
    struct Running {
        TaskId task;
        WorkerId worker = 0;
    };

    void addJob(std::uint32_t tasks)
    {
        JobAssigned event;
        event.spec.id = ++lastJob_;
        event.spec.name = fmt::format("job{}", random_.nextBelow(64));
        event.spec.team = fmt::format("t{}", random_.nextBelow(size_.teams));
        event.spec.tasks = tasks;
        event.spec.perTask = {1'000 + 500 * static_cast<std::int64_t>(random_.nextBelow(3)), 2'048, 0};
        event.spec.declaredRunTime = 60s;
        event.count = tasks;
        planner_.handle(event, now_);
    }

    void decide()
    {
        now_ += 1ms;
        commands_.clear();
        planner_.decide(now_, commands_);
        for (const Command &command : commands_) {
            if (const auto *start = std::get_if<StartTask>(&command)) {
                running_.push_back({start->task, start->worker});
            }
        }
    }

    Size size_;
    Random random_{1};
    Planner planner_{PlannerOptions{}};
    base::TimePoint now_{1h};
    std::vector<Running> running_;
    std::vector<Command> commands_;
    JobId lastJob_ = 0;
};

protocol::Submit submission(std::uint64_t number, const std::vector<std::string> &zones)
{
    protocol::Submit submit;
    submit.submission = fmt::format("submission-{:016x}", number);
    JobSpec spec;
    spec.name = fmt::format("job{}", number);
    spec.team = fmt::format("t{}", number % zones.size());
    spec.tasks = 20;
    spec.perTask = {1'000, 2'048, 0};
    spec.payload = "render --hand antigua";
    submit.jobs.push_back(spec);
    return submit;
}

std::vector<std::string> zoneNames(std::uint32_t count)
{
    std::vector<std::string> names;
    for (std::uint32_t zone = 0; zone < count; ++zone) {
        names.push_back(fmt::format("zone{}", zone));
    }
    return names;
}

struct StoreCost {
    double microsPerJob = 0;
    double stateHeapBytes = 0;
    double snapshotBytes = 0;
};

/// Applies `size.jobs` submissions of one job each to a replica's state.
StoreCost storeCost(const Size &size)
{
    const auto zones = zoneNames(size.zones);
    const double heapBefore = heapBytes();
    store::ClusterState state;
    store::SubmissionEntry teams;
    teams.submit.submission = "teams";
    teams.submit.expectedVersion = 0;
    for (std::uint32_t team = 0; team < size.teams; ++team) {
        teams.submit.teams.push_back({fmt::format("t{}", team), {8'000, 32'768, 0}});
    }
    std::uint64_t index = 1;
    state.apply(index, store::LogEntry{teams});
    const double begin = threadMicros();
    for (std::uint32_t job = 0; job < size.jobs; ++job) {
        store::SubmissionEntry entry;
        entry.submit = submission(job, zones);
        entry.jobShares = {{{zones[job % zones.size()], 0, 20, 0}}};
        state.apply(++index, store::LogEntry{entry});
    }
    StoreCost cost;
    cost.microsPerJob = (threadMicros() - begin) / size.jobs;
    cost.stateHeapBytes = heapBytes() - heapBefore;
    cost.snapshotBytes = static_cast<double>(state.snapshot().size());
    return cost;
}

/// Returns the size of the update that a watching daemon receives when one of `size.teams` quotas changes.
double configurationUpdateBytes(const Size &size)
{
    store::ClusterState state;
    store::SubmissionEntry all;
    all.submit.submission = "all";
    all.submit.expectedVersion = 0;
    for (std::uint32_t team = 0; team < size.teams; ++team) {
        all.submit.teams.push_back({fmt::format("team-{:04}", team), {8'000, 32'768, 0}});
    }
    state.apply(1, store::LogEntry{all});
    store::SubmissionEntry one = all;
    one.submit.submission = "one";
    one.submit.expectedVersion = 1;
    one.submit.teams.resize(1);
    const store::StateChange change = state.apply(2, store::LogEntry{one}).change;
    protocol::StateUpdate update;
    update.configurationChanged = change.configuration;
    for (const std::string &team : change.teams) {
        update.teams.push_back(state.teams().at(team));
    }
    return static_cast<double>(protocol::encode(update).size());
}

/// Returns the size of one zone renewal that reports `size.tasks` ended tasks, of jobs with 20 tasks each.
double renewalBytes(const Size &size)
{
    protocol::RenewZone renew;
    renew.zone = "zone1";
    renew.epoch = 1'000;
    renew.summary = {{1, 1, 1}, {1, 1, 1}, size.workers, 100};
    constexpr std::uint32_t TasksPerJob = 20;
    for (std::uint32_t job = 0; job < size.tasks / TasksPerJob; ++job) {
        protocol::JobProgress progress;
        progress.job = 1'000'000 + job;
        progress.succeeded.insert(protocol::IndexRange{0, TasksPerJob});
        renew.progress.push_back(progress);
    }
    return static_cast<double>(protocol::encode(renew).size());
}

/// Returns the size of the body of a worker's incremental poll that reports `size.tasks` tasks.
double pollBytes(const Size &size)
{
    const base::TimePoint now{1h};
    fakes::WorkerOptions options;
    options.name = "worker-0001";
    options.capacity = {1'000'000'000, 1'000'000'000, 0};
    fakes::WorkerState worker(options, now);
    nlohmann::json commands = nlohmann::json::array();
    for (std::uint32_t task = 0; task < size.tasks; ++task) {
        commands.push_back({{"command", "start"},
                            {"task", fmt::format("{}.{}.0", 1'000'000 + task / 20, task % 20)},
                            {"reserved", {{"milli_cpu", 1'000}, {"memory_mib", 2'048}, {"accelerators", 0}}},
                            {"payload", "{run_ms: 60000}"}});
    }
    // The first response of an owner asks for a full list; only the poll after that is incremental.
    worker.answer({{"epoch", {1, 0}}, {"owner", "x"}, {"lease_ms", 10'000}}, now, now);
    worker.answer({{"epoch", {1, 0}}, {"owner", "x"}, {"lease_ms", 10'000}, {"commands", commands}}, now, now);
    return static_cast<double>(worker.poll(now + 1s).dump().size());
}

struct CostSeries {
    std::string quantity;
    std::string step;
    std::vector<double> at;
    std::function<void(Size &, double)> set;
    std::function<double(const Size &)> measure;
};

std::vector<CostSeries> allCostSeries()
{
    const auto workers = [](Size &size, double value) {
        size.workers = static_cast<std::uint32_t>(value);
    };
    const auto tasks = [](Size &size, double value) {
        size.tasks = static_cast<std::uint32_t>(value);
    };
    const auto teams = [](Size &size, double value) {
        size.teams = static_cast<std::uint32_t>(value);
    };
    const auto zones = [](Size &size, double value) {
        size.zones = static_cast<std::uint32_t>(value);
    };
    const auto jobs = [](Size &size, double value) {
        size.jobs = static_cast<std::uint32_t>(value);
    };
    const auto start = [](const Size &size) {
        return ZoneLoad(size).microsPerStart();
    };
    const auto heap = [](const Size &size) {
        const double before = heapBytes();
        const ZoneLoad load(size);
        return heapBytes() - before;
    };
    const auto apply = [](const Size &size) {
        return storeCost(size).microsPerJob;
    };
    const auto stateHeap = [](const Size &size) {
        return storeCost(size).stateHeapBytes;
    };
    const auto snapshot = [](const Size &size) {
        return storeCost(size).snapshotBytes;
    };
    const std::vector<double> workerSteps{50, 100, 200, 400};
    const std::vector<double> taskSteps{500, 1'000, 2'000, 4'000};
    const std::vector<double> teamSteps{49, 195, 390, 780};
    const std::vector<double> zoneSteps{2, 4, 8, 16};
    const std::vector<double> jobSteps{1'000, 4'000, 16'000, 45'000};
    const std::vector<double> reportSteps{0, 20, 100, 400};
    return {
        {"planner_us_per_start", "workers", workerSteps, workers, start},
        {"planner_us_per_start", "tasks", taskSteps, tasks, start},
        {"planner_us_per_start", "teams", teamSteps, teams, start},
        {"planner_heap_bytes", "workers", workerSteps, workers, heap},
        {"planner_heap_bytes", "tasks", taskSteps, tasks, heap},
        {"planner_heap_bytes", "teams", teamSteps, teams, heap},
        {"store_us_per_job", "zones", zoneSteps, zones, apply},
        {"store_us_per_job", "jobs", jobSteps, jobs, apply},
        {"store_heap_bytes", "jobs", jobSteps, jobs, stateHeap},
        {"store_snapshot_bytes", "jobs", jobSteps, jobs, snapshot},
        {"configuration_update_bytes", "teams", teamSteps, teams, configurationUpdateBytes},
        {"renewal_bytes", "tasks_ended", reportSteps, tasks, renewalBytes},
        {"poll_body_bytes", "tasks_reported", reportSteps, tasks, pollBytes},
    };
}

void print(const CostSeries &series, const std::vector<Point> &points, bool json, bool first)
{
    const FittedLine line = fitLine(points);
    if (!json) {
        fmt::print("{:<28} {:<15} intercept {:>12.3f}  slope {:>12.5f}  residual {:>10.3f}\n",
                   series.quantity,
                   series.step,
                   line.intercept,
                   line.slope,
                   line.residual);
        return;
    }
    std::string values;
    for (const Point &point : points) {
        values += fmt::format("{}[{}, {:.3f}]", values.empty() ? "" : ", ", point.x, point.y);
    }
    fmt::print("{}  {{\"quantity\": \"{}\", \"step\": \"{}\", \"intercept\": {:.3f}, \"slope\": {:.5f}, "
               "\"residual\": {:.3f}, \"points\": [{}]}}",
               first ? "" : ",\n",
               series.quantity,
               series.step,
               line.intercept,
               line.slope,
               line.residual,
               values);
}

} // namespace

int runScale(int argc, char **argv)
{
    cxxopts::Options options("yw-bench scale", "Measures how cost grows with the size of the cluster.");
    options.add_options()("format", "text or json", cxxopts::value<std::string>()->default_value("text"));
    bool json = false;
    try {
        json = options.parse(argc, argv)["format"].as<std::string>() == "json";
    } catch (const cxxopts::exceptions::exception &error) {
        fmt::print(stderr, "yw-bench scale: {}\n{}", error.what(), options.help());
        return ExitUsage;
    }
    bool first = true;
    fmt::print("{}", json ? "[\n" : "");
    for (const CostSeries &series : allCostSeries()) {
        std::vector<Point> points;
        for (const double value : series.at) {
            Size size;
            series.set(size, value);
            points.push_back({value, series.measure(size)});
        }
        print(series, points, json, first);
        first = false;
    }
    fmt::print("{}", json ? "\n]\n" : "");
    return 0;
}

} // namespace yuccawheel::bench
