#include "policy.h"

#include "policy_baselines.h"
#include "policy_load.h"
#include "replay_platform.h"

#include <cxxopts.hpp>
#include <fmt/core.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <stdexcept>

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
    double waitP50Seconds = 0;
    double waitP99Seconds = 0;
    double urgentWorstSeconds = 0;
    std::uint32_t lateTasks = 0;
    std::uint32_t notStarted = 0;
    std::uint32_t finished = 0;
};

// Work that has not started by the end counts with its wait so far.
PolicyFigures figuresOf(const Outcomes &outcomes, const Trace &trace, milliseconds warmUp)
{
    const base::TimePoint start{1h};
    std::vector<double> waits;
    PolicyFigures figures;
    for (const auto &[id, job] : outcomes.jobs) {
        figures.finished += job.finished;
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
        figures.waitP50Seconds = waits[waits.size() / 2];
        figures.waitP99Seconds = waits[waits.size() * 99 / 100];
    }
    return figures;
}

void measure(const Trace &trace, milliseconds warmUp, const std::string &format, const std::string &only)
{
    for (const Contender &contender : contenders()) {
        if (!only.empty() && only != contender.name) {
            continue;
        }
        Platform platform(trace, contender.make(), {false, warmUp});
        const Outcomes &outcomes = platform.run();
        const PolicyFigures figures = figuresOf(outcomes, trace, warmUp);
        const double overBound = outcomes.busyWorkerHours / std::max(1e-9, outcomes.lowerBoundHours);
        const double reserved = outcomes.reservedBoundHours / std::max(1e-9, outcomes.busyWorkerHours);
        if (format == "json") {
            fmt::print("{{\"trace\": \"{}\", \"scheduler\": \"{}\", \"wait_p50_s\": {:.2f}, \"wait_p99_s\": {:.2f}, "
                       "\"urgent_worst_s\": {:.2f}, \"late\": {}, \"not_started\": {}, \"finished\": {}, "
                       "\"busy_vm_hours\": {:.2f}, \"lower_bound_vm_hours\": {:.2f}, \"over_lower_bound\": {:.4f}, "
                       "\"reserved_of_busy\": {:.4f}, \"lost_work_hours\": {:.3f}, \"overbooked\": {}, "
                       "\"doubled\": {}}}\n",
                       trace.title,
                       contender.name,
                       figures.waitP50Seconds,
                       figures.waitP99Seconds,
                       figures.urgentWorstSeconds,
                       figures.lateTasks,
                       figures.notStarted,
                       figures.finished,
                       outcomes.busyWorkerHours,
                       outcomes.lowerBoundHours,
                       overBound,
                       reserved,
                       outcomes.lostWorkHours,
                       outcomes.overbooked,
                       outcomes.doubled);
            continue;
        }
        fmt::print(
            "{:<28} {:<15} wait p50 {:8.2f} s  p99 {:9.2f} s  urgent worst {:8.2f} s  late {:5}  not started {:6}  "
            "finished {:6}  busy {:7.2f} h  bound {:7.2f} h  ratio {:.3f}  reserved/busy {:.3f}  lost {:.2f} h\n",
            trace.title,
            contender.name,
            figures.waitP50Seconds,
            figures.waitP99Seconds,
            figures.urgentWorstSeconds,
            figures.lateTasks,
            figures.notStarted,
            figures.finished,
            outcomes.busyWorkerHours,
            outcomes.lowerBoundHours,
            overBound,
            reserved,
            outcomes.lostWorkHours);
    }
}

void measureLoads(const cxxopts::ParseResult &arguments)
{
    const auto format = arguments["format"].as<std::string>();
    const auto only = arguments["scheduler"].as<std::string>();
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
            measure(makeLoad(options), options.length / 4, format, only);
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
            measure(
                readTrace(file), 0ms, arguments["format"].as<std::string>(), arguments["scheduler"].as<std::string>());
        }
    } catch (const std::exception &error) {
        fmt::print(stderr, "yw-bench policy: {}\n", error.what());
        return ExitUsage;
    }
    return 0;
}

} // namespace yuccawheel::bench
