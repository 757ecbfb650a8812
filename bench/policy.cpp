#include "policy.h"

#include "policy_baselines.h"
#include "policy_load.h"
#include "replay_platform.h"

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

struct Contender {
    std::string name;
    std::function<std::unique_ptr<Scheduler>()> make;
};

const std::vector<Contender> &contenders()
{
    static const std::vector<Contender> all{
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

struct PolicyFigures {
    double waitMeanSeconds = 0;
    double waitP50Seconds = 0;
    double waitP99Seconds = 0;
    double urgentWorstSeconds = 0;
    std::uint32_t lateTasks = 0;
    std::uint32_t notStarted = 0;
    std::uint32_t finished = 0;
    std::uint32_t stops = 0;
};

// Work that has not started by the end counts with its wait so far.
PolicyFigures figuresOf(const Outcomes &outcomes, const Trace &trace, milliseconds warmUp)
{
    const base::TimePoint start{1h};
    std::vector<double> waits;
    PolicyFigures figures;
    for (const auto &[id, job] : outcomes.jobs) {
        figures.finished += job.finished;
        figures.stops += job.stops;
        if (job.arrivedAt < start + warmUp || job.spec.kind == JobKind::Service) {
            continue;
        }
        const double sofar = std::chrono::duration<double>(start + trace.length - job.arrivedAt).count();
        std::vector<double> own(job.spec.tasks - job.waits.size(), sofar);
        figures.notStarted += static_cast<std::uint32_t>(own.size());
        for (const milliseconds wait : job.waits) {
            own.push_back(std::chrono::duration<double>(wait).count());
        }
        if (job.spec.urgent) {
            figures.urgentWorstSeconds =
                std::max(figures.urgentWorstSeconds, *std::max_element(own.begin(), own.end()));
        }
        figures.lateTasks += job.lateTasks;
        waits.insert(waits.end(), own.begin(), own.end());
    }
    std::sort(waits.begin(), waits.end());
    if (!waits.empty()) {
        figures.waitMeanSeconds = std::accumulate(waits.begin(), waits.end(), 0.0) / static_cast<double>(waits.size());
        figures.waitP50Seconds = waits[waits.size() / 2];
        figures.waitP99Seconds = waits[waits.size() * 99 / 100];
    }
    return figures;
}

/// One figure of a run, as it stands in the output.
struct Figure {
    std::string_view name;
    double value = 0;
    int decimals = 0;
};

std::vector<Figure> listFigures(const PolicyFigures &figures, const Outcomes &outcomes)
{
    const double busy = std::max(1e-9, outcomes.busyWorkerHours);
    const double bound = std::max(1e-9, outcomes.lowerBoundHours);
    return {
        {"wait_mean_s", figures.waitMeanSeconds, 2},
        {"wait_p50_s", figures.waitP50Seconds, 2},
        {"wait_p99_s", figures.waitP99Seconds, 2},
        {"urgent_worst_s", figures.urgentWorstSeconds, 2},
        {"late", static_cast<double>(figures.lateTasks), 0},
        {"not_started", static_cast<double>(figures.notStarted), 0},
        {"finished", static_cast<double>(figures.finished), 0},
        {"stops", static_cast<double>(figures.stops), 0},
        {"busy_vm_hours", outcomes.busyWorkerHours, 2},
        {"lower_bound_vm_hours", outcomes.lowerBoundHours, 2},
        {"over_lower_bound", outcomes.busyWorkerHours / bound, 4},
        {"reserved_of_busy", outcomes.reservedBoundHours / busy, 4},
        // What busy hours are above the bound, by cause. The first part is within the one before it.
        {"unused_reservations_vm_hours", outcomes.reservedBoundHours - outcomes.lowerBoundHours, 2},
        {"unused_by_services_vm_hours", outcomes.serviceSlackHours, 2},
        {"other_resource_vm_hours", outcomes.shareHours - outcomes.reservedBoundHours, 2},
        {"free_vm_hours", outcomes.busyWorkerHours - outcomes.shareHours, 2},
        {"free_while_waiting_vm_hours", outcomes.waitingFreeHours, 2},
        {"lost_work_hours", outcomes.lostWorkHours, 3},
        {"overbooked", static_cast<double>(outcomes.overbooked), 0},
        {"doubled", static_cast<double>(outcomes.doubled), 0},
    };
}

void print(const Trace &trace, std::string_view scheduler, const std::vector<Figure> &figures, bool json)
{
    fmt::print(
        fmt::runtime(json ? "{{\"trace\": \"{}\", \"scheduler\": \"{}\"" : "{:<28} {:<15}"), trace.title, scheduler);
    for (const Figure &figure : figures) {
        fmt::print(
            fmt::runtime(json ? ", \"{}\": {:.{}f}" : "  {} {:.{}f}"), figure.name, figure.value, figure.decimals);
    }
    fmt::print("{}\n", json ? "}" : "");
}

/// What is run beside what, and how it is printed.
struct MeasureOptions {
    std::string only; ///< Name of one scheduler; empty for all.
    bool json = false;
    bool reportLimits = true;
    milliseconds warmUp{0};
};

void measure(const Trace &trace, const MeasureOptions &options)
{
    for (const Contender &contender : contenders()) {
        if (options.only.empty() || options.only == contender.name) {
            Platform platform(trace, contender.make(), {false, options.warmUp, options.reportLimits});
            const Outcomes &outcomes = platform.run();
            const PolicyFigures figures = figuresOf(outcomes, trace, options.warmUp);
            print(trace, contender.name, listFigures(figures, outcomes), options.json);
        }
    }
}

MeasureOptions measureOptions(const cxxopts::ParseResult &arguments)
{
    MeasureOptions options;
    options.only = arguments["scheduler"].as<std::string>();
    options.json = arguments["format"].as<std::string>() == "json";
    options.reportLimits = arguments["limits"].as<bool>();
    return options;
}

void measureLoads(const cxxopts::ParseResult &arguments)
{
    MeasureOptions measured = measureOptions(arguments);
    const auto wanted = arguments["deployment"].as<std::string>();
    for (const Deployment &deployment : deployments()) {
        if (!wanted.empty() && wanted != deployment.name) {
            continue;
        }
        for (const std::uint32_t load : arguments["load"].as<std::vector<std::uint32_t>>()) {
            LoadOptions options;
            options.deployment = deployment;
            options.load = load / 100.0;
            options.lies = arguments["lies"].as<double>();
            options.length = std::chrono::minutes(arguments["minutes"].as<std::uint32_t>());
            options.seed = arguments["seed"].as<std::uint64_t>();
            measured.warmUp = options.length / 4;
            measure(makeLoad(options), measured);
        }
    }
}

} // namespace

int runPolicy(int argc, char **argv)
{
    cxxopts::Options parser("yw-bench policy", "Waiting time and packing beside FIFO first fit and worst fit");
    parser.add_options()(
        "trace", "trace to run; without one, loads are made", cxxopts::value<std::string>()->default_value(""))(
        "deployment", "bibliobus or caligrafia; both without", cxxopts::value<std::string>()->default_value(""))(
        "load", "loads in percent", cxxopts::value<std::vector<std::uint32_t>>()->default_value("60,85,110"))(
        "lies", "declarations are off by up to this factor", cxxopts::value<double>()->default_value("10"))(
        "minutes", "virtual time", cxxopts::value<std::uint32_t>()->default_value("360"))(
        "limits", "workers report the limits in force", cxxopts::value<bool>()->default_value("true"))(
        "scheduler", "only this one", cxxopts::value<std::string>()->default_value(""))(
        "seed", "seed of the load", cxxopts::value<std::uint64_t>()->default_value("1"))(
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
