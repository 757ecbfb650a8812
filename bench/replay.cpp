#include "replay.h"

#include "replay_simulation.h"

#include <fmt/core.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <stdexcept>

namespace yuccawheel::bench
{

namespace
{

using namespace placement;

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

constexpr double NotStartedMs = 1e12; ///< Exceeds every expectation.

double maxWaitMs(const JobOutcome &job)
{
    milliseconds max{0};
    for (const milliseconds wait : job.waits) {
        max = std::max(max, wait);
    }
    return job.waits.empty() ? NotStartedMs : static_cast<double>(max.count());
}

double startSpreadMs(const JobOutcome &job)
{
    if (job.startTimes.size() < job.spec.tasks) {
        return NotStartedMs;
    }
    const auto last = job.startTimes.end();
    const auto [low, high] = std::minmax_element(last - job.spec.tasks, last);
    return std::chrono::duration<double, std::milli>(*high - *low).count();
}

double maxStartsOfAnIndex(const JobOutcome &job)
{
    std::uint32_t max = 0;
    for (const auto &[index, starts] : job.startsByIndex) {
        max = std::max(max, starts);
    }
    return max;
}

double jobMetric(const JobOutcome &job, const std::string &metric)
{
    if (metric == "wait_ms") {
        return maxWaitMs(job);
    }
    if (metric == "start_spread_ms") {
        return startSpreadMs(job);
    }
    if (metric == "starts_of_an_index") {
        return maxStartsOfAnIndex(job);
    }
    const std::map<std::string, double> counts{{"starts", static_cast<double>(job.startTimes.size())},
                                               {"started", static_cast<double>(job.startsByIndex.size())},
                                               {"finished", job.finished},
                                               {"failed", job.failed},
                                               {"not_run", job.notRun},
                                               {"may_have_run", job.mayHaveRun},
                                               {"never_fits", job.neverFits},
                                               {"stops", job.stops},
                                               {"late", job.lateTasks},
                                               {"most_on_one_rack", job.maxTasksPerRack}};
    const auto found = counts.find(metric);
    if (found == counts.end()) {
        throw std::runtime_error(fmt::format("unknown figure \"{}\" of a job", metric));
    }
    return found->second;
}

double metricValue(const Outcomes &outcomes, const Expectation &expectation)
{
    if (expectation.job) {
        const auto found = outcomes.jobs.find(*expectation.job);
        return found == outcomes.jobs.end() ? 0 : jobMetric(found->second, expectation.metric);
    }
    if (expectation.metric == "worker_starts") {
        const base::TimePoint start{std::chrono::hours(1)};
        return static_cast<double>(
            std::count_if(outcomes.starts.begin(), outcomes.starts.end(), [&](const WorkerStart &entry) {
                const bool inTime = entry.at - start >= expectation.from
                    && (expectation.to == milliseconds::max() || entry.at - start <= expectation.to);
                return inTime && (!expectation.worker || entry.worker == *expectation.worker);
            }));
    }
    const std::map<std::string, double> totals{{"overbooked", outcomes.overcommits},
                                               {"doubled", outcomes.duplicateRuns},
                                               {"busy_worker_hours", outcomes.busyWorkerHours},
                                               {"lost_work_hours", outcomes.lostWorkHours},
                                               {"decision_ms", outcomes.decisionSeconds * 1'000}};
    const auto found = totals.find(expectation.metric);
    if (found == totals.end()) {
        throw std::runtime_error(fmt::format("unknown figure \"{}\"", expectation.metric));
    }
    return found->second;
}

// Besides its own expectations, every trace must not overcommit a worker or run a task index in two places at a time.
bool replayFile(const std::string &path, ReplayOptions options)
{
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("file cannot be read");
    }
    Trace trace = readTrace(file);
    trace.expectations.push_back({"overbooked", {}, {}, {}, milliseconds::max(), 0, 0});
    trace.expectations.push_back({"doubled", {}, {}, {}, milliseconds::max(), 0, 0});
    ReplaySimulation simulation(trace, makePlannerScheduler(trace.objective), options);
    const Outcomes &outcomes = simulation.run();
    bool met = true;
    for (const Expectation &expectation : trace.expectations) {
        const double value = metricValue(outcomes, expectation);
        if (value >= expectation.minValue && value <= expectation.maxValue) {
            continue;
        }
        met = false;
        fmt::print("  {}{}{}: {} is not within [{}, {}]\n",
                   expectation.metric,
                   expectation.job ? fmt::format(" of job {}", *expectation.job) : "",
                   expectation.worker ? fmt::format(" of worker {}", *expectation.worker) : "",
                   value,
                   expectation.minValue,
                   expectation.maxValue);
    }
    fmt::print("{} {}: {} ({} outcomes)\n", met ? "ok" : "FAILED", path, trace.title, trace.expectations.size());
    return met;
}

} // namespace

int runReplay(int argc, char **argv)
{
    if (argc < 2 || std::string(argv[1]) == "--help") {
        fmt::print("usage: yw-bench replay [--commands] TRACE...\n");
        return argc < 2 ? ExitUsage : 0;
    }
    bool met = true;
    ReplayOptions options;
    for (int number = 1; number < argc; ++number) {
        if (std::string(argv[number]) == "--commands") {
            options.printCommands = true;
            continue;
        }
        try {
            met = replayFile(argv[number], options) && met;
        } catch (const std::exception &error) {
            fmt::print(stderr, "yw-bench replay: {}: {}\n", argv[number], error.what());
            return ExitUsage;
        }
    }
    return met ? 0 : ExitFailed;
}

} // namespace yuccawheel::bench
