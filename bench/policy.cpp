#include "policy.h"

#include "policy_baselines.h"
#include "policy_load.h"
#include "replay_simulation.h"

#include <cxxopts.hpp>
#include <fmt/core.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <numeric>
#include <stdexcept>
#include <string_view>

namespace yuccawheel::bench
{

namespace
{

using namespace placement;
using namespace std::chrono_literals;

constexpr int ExitUsage = 2;

struct SchedulerFactory {
    std::string name;
    std::function<std::unique_ptr<Scheduler>()> make;
};

const std::vector<SchedulerFactory> &schedulerFactories()
{
    static const std::vector<SchedulerFactory> all{
        {"waiting",
         [] {
             return makePlannerScheduler(Objective::Waiting);
         }},
        {"packing",
         [] {
             return makePlannerScheduler(Objective::Packing);
         }},
        {"fifo-first-fit",
         [] {
             return makeBaseline(BaselineRule::FifoFirstFit);
         }},
        {"worst-fit",
         [] {
             return makeBaseline(BaselineRule::WorstFit);
         }},
    };
    return all;
}

struct PolicyMetrics {
    double waitMeanSeconds = 0;
    double waitP50Seconds = 0;
    double waitP99Seconds = 0;
    double urgentMaxSeconds = 0;
    std::uint32_t lateTasks = 0;
    std::uint32_t notStarted = 0;
    std::uint32_t finished = 0;
    std::uint32_t stops = 0;
};

// A task that has not started by the end of the trace counts with its waiting time so far.
PolicyMetrics computeMetrics(const Outcomes &outcomes, const Trace &trace, milliseconds warmUp)
{
    const base::TimePoint start{1h};
    std::vector<double> waits;
    PolicyMetrics metrics;
    for (const auto &[id, job] : outcomes.jobs) {
        metrics.finished += job.finished;
        metrics.stops += job.stops;
        if (job.arrivedAt < start + warmUp || job.spec.kind == JobKind::Service) {
            continue;
        }
        const double waitSoFar = std::chrono::duration<double>(start + trace.length - job.arrivedAt).count();
        std::vector<double> jobWaits(job.spec.tasks - job.waits.size(), waitSoFar);
        metrics.notStarted += static_cast<std::uint32_t>(jobWaits.size());
        for (const milliseconds wait : job.waits) {
            jobWaits.push_back(std::chrono::duration<double>(wait).count());
        }
        if (job.spec.urgent) {
            metrics.urgentMaxSeconds =
                std::max(metrics.urgentMaxSeconds, *std::max_element(jobWaits.begin(), jobWaits.end()));
        }
        metrics.lateTasks += job.lateTasks;
        waits.insert(waits.end(), jobWaits.begin(), jobWaits.end());
    }
    std::sort(waits.begin(), waits.end());
    if (!waits.empty()) {
        metrics.waitMeanSeconds = std::accumulate(waits.begin(), waits.end(), 0.0) / static_cast<double>(waits.size());
        metrics.waitP50Seconds = waits[waits.size() / 2];
        metrics.waitP99Seconds = waits[waits.size() * 99 / 100];
    }
    return metrics;
}

/// One metric of a run, as printed.
struct Metric {
    std::string_view name;
    double value = 0;
    int decimals = 0;
};

std::vector<Metric> listMetrics(const PolicyMetrics &metrics, const Outcomes &outcomes)
{
    const double busy = std::max(1e-9, outcomes.busyWorkerHours);
    const double bound = std::max(1e-9, outcomes.lowerBoundHours);
    return {
        {"wait_mean_s", metrics.waitMeanSeconds, 2},
        {"wait_p50_s", metrics.waitP50Seconds, 2},
        {"wait_p99_s", metrics.waitP99Seconds, 2},
        {"urgent_worst_s", metrics.urgentMaxSeconds, 2},
        {"late", static_cast<double>(metrics.lateTasks), 0},
        {"not_started", static_cast<double>(metrics.notStarted), 0},
        {"finished", static_cast<double>(metrics.finished), 0},
        {"stops", static_cast<double>(metrics.stops), 0},
        {"busy_vm_hours", outcomes.busyWorkerHours, 2},
        {"lower_bound_vm_hours", outcomes.lowerBoundHours, 2},
        {"over_lower_bound", outcomes.busyWorkerHours / bound, 4},
        {"reserved_of_busy", outcomes.reservedLowerBoundHours / busy, 4},
        // Busy hours above the lower bound, by cause. Of each pair of unused_* and free_* rows, the second row is part
        // of the first.
        {"unused_reservations_vm_hours", outcomes.reservedLowerBoundHours - outcomes.lowerBoundHours, 2},
        {"unused_by_services_vm_hours", outcomes.unusedByServicesHours, 2},
        {"other_resource_vm_hours", outcomes.dominantShareHours - outcomes.reservedLowerBoundHours, 2},
        {"free_vm_hours", outcomes.busyWorkerHours - outcomes.dominantShareHours, 2},
        {"free_while_waiting_vm_hours", outcomes.freeWhileWaitingHours, 2},
        {"lost_work_hours", outcomes.lostWorkHours, 3},
        {"overbooked", static_cast<double>(outcomes.overcommits), 0},
        {"doubled", static_cast<double>(outcomes.duplicateRuns), 0},
    };
}

void print(const Trace &trace, std::string_view scheduler, const std::vector<Metric> &metrics, bool json)
{
    fmt::print(
        fmt::runtime(json ? "{{\"trace\": \"{}\", \"scheduler\": \"{}\"" : "{:<28} {:<15}"), trace.title, scheduler);
    for (const Metric &metric : metrics) {
        fmt::print(
            fmt::runtime(json ? ", \"{}\": {:.{}f}" : "  {} {:.{}f}"), metric.name, metric.value, metric.decimals);
    }
    fmt::print("{}\n", json ? "}" : "");
}

struct MeasureOptions {
    std::string schedulerName; ///< Runs only this scheduler; empty for all.
    bool json = false;
    bool reportLimits = true;
    milliseconds warmUp{0};
};

void measure(const Trace &trace, const MeasureOptions &options)
{
    for (const SchedulerFactory &factory : schedulerFactories()) {
        if (options.schedulerName.empty() || options.schedulerName == factory.name) {
            ReplaySimulation simulation(trace, factory.make(), {false, options.warmUp, options.reportLimits});
            const Outcomes &outcomes = simulation.run();
            const PolicyMetrics metrics = computeMetrics(outcomes, trace, options.warmUp);
            print(trace, factory.name, listMetrics(metrics, outcomes), options.json);
        }
    }
}

MeasureOptions measureOptions(const cxxopts::ParseResult &arguments)
{
    MeasureOptions options;
    options.schedulerName = arguments["scheduler"].as<std::string>();
    options.json = arguments["format"].as<std::string>() == "json";
    options.reportLimits = arguments["limits"].as<bool>();
    return options;
}

void measureLoads(const cxxopts::ParseResult &arguments)
{
    MeasureOptions runOptions = measureOptions(arguments);
    const auto wanted = arguments["deployment"].as<std::string>();
    for (const Deployment &deployment : deployments()) {
        if (!wanted.empty() && wanted != deployment.name) {
            continue;
        }
        for (const std::uint32_t load : arguments["load"].as<std::vector<std::uint32_t>>()) {
            WorkloadOptions options;
            options.deployment = deployment;
            options.load = load / 100.0;
            options.maxDeclarationError = arguments["lies"].as<double>();
            options.length = std::chrono::minutes(arguments["minutes"].as<std::uint32_t>());
            options.seed = arguments["seed"].as<std::uint64_t>();
            runOptions.warmUp = options.length / 4;
            measure(makeWorkload(options), runOptions);
        }
    }
}

} // namespace

int runPolicy(int argc, char **argv)
{
    cxxopts::Options parser("yw-bench policy", "Compares waiting time and packing with FIFO first fit and worst fit");
    parser.add_options()("trace",
                         "trace file to replay; without one, workloads are generated",
                         cxxopts::value<std::string>()->default_value(""))(
        "deployment", "bibliobus or caligrafia; empty for both", cxxopts::value<std::string>()->default_value(""))(
        "load",
        "load levels in percent of the capacity",
        cxxopts::value<std::vector<std::uint32_t>>()->default_value("60,85,110"))(
        "lies",
        "largest factor between declared and actual sizes and run times",
        cxxopts::value<double>()->default_value("10"))("minutes",
                                                       "length of a generated workload in virtual time",
                                                       cxxopts::value<std::uint32_t>()->default_value("360"))(
        "limits", "workers report the limits in force with their usage", cxxopts::value<bool>()->default_value("true"))(
        "scheduler", "runs only this scheduler", cxxopts::value<std::string>()->default_value(""))(
        "seed", "seed of the workload", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "format", "text or json", cxxopts::value<std::string>()->default_value("text"))("help", "print usage");
    try {
        const auto arguments = parser.parse(argc, argv);
        const auto path = arguments["trace"].as<std::string>();
        if (arguments.count("help") != 0) {
            fmt::print("{}\n", parser.help());
        } else if (path.empty()) {
            measureLoads(arguments);
        } else {
            std::ifstream file(path);
            measure(readTrace(file), measureOptions(arguments));
        }
    } catch (const std::exception &error) {
        fmt::print(stderr, "yw-bench policy: {}\n", error.what());
        return ExitUsage;
    }
    return 0;
}

} // namespace yuccawheel::bench
