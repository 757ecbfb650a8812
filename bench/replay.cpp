#include "replay.h"

#include "replay_platform.h"

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

double largestWait(const JobOutcome &job)
{
    milliseconds largest{0};
    for (const milliseconds wait : job.waits) {
        largest = std::max(largest, wait);
    }
    return job.waits.empty() ? 1e12 : static_cast<double>(largest.count());
}

double startSpread(const JobOutcome &job)
{
    if (job.startTimes.size() < job.spec.tasks) {
        return 1e12;
    }
    const auto last = job.startTimes.end();
    const auto [low, high] = std::minmax_element(last - job.spec.tasks, last);
    return std::chrono::duration<double, std::milli>(*high - *low).count();
}

double mostStarts(const JobOutcome &job)
{
    std::uint32_t most = 0;
    for (const auto &[index, starts] : job.startsByIndex) {
        most = std::max(most, starts);
    }
    return most;
}

double jobFigure(const JobOutcome &job, const std::string &figure)
{
    if (figure == "wait_ms") {
        return largestWait(job);
    }
    if (figure == "start_spread_ms") {
        return startSpread(job);
    }
    if (figure == "starts_of_an_index") {
        return mostStarts(job);
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
                                               {"most_on_one_rack", job.mostOnOneRack}};
    const auto found = counts.find(figure);
    if (found == counts.end()) {
        throw std::runtime_error(fmt::format("unknown figure \"{}\" of a job", figure));
    }
    return found->second;
}

double figureOf(const Outcomes &outcomes, const Expectation &expectation)
{
    if (expectation.job) {
        const auto found = outcomes.jobs.find(*expectation.job);
        return found == outcomes.jobs.end() ? 0 : jobFigure(found->second, expectation.figure);
    }
    if (expectation.figure == "worker_starts") {
        const base::TimePoint start{std::chrono::hours(1)};
        return static_cast<double>(
            std::count_if(outcomes.starts.begin(), outcomes.starts.end(), [&](const WorkerStart &entry) {
                const bool inTime = entry.at - start >= expectation.from
                    && (expectation.to == milliseconds::max() || entry.at - start <= expectation.to);
                return inTime && (!expectation.worker || entry.worker == *expectation.worker);
            }));
    }
    const std::map<std::string, double> totals{{"overbooked", outcomes.overbooked},
                                               {"doubled", outcomes.doubled},
                                               {"busy_worker_hours", outcomes.busyWorkerHours},
                                               {"lost_work_hours", outcomes.lostWorkHours},
                                               {"decision_ms", outcomes.decisionSeconds * 1'000}};
    const auto found = totals.find(expectation.figure);
    if (found == totals.end()) {
        throw std::runtime_error(fmt::format("unknown figure \"{}\"", expectation.figure));
    }
    return found->second;
}

// No trace may break the promises of capacity and of one place at a time, whether it states so or not.
bool replayFile(const std::string &path, PlatformOptions options)
{
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("cannot be read");
    }
    Trace trace = readTrace(file);
    trace.expectations.push_back({"overbooked", {}, {}, {}, milliseconds::max(), 0, 0});
    trace.expectations.push_back({"doubled", {}, {}, {}, milliseconds::max(), 0, 0});
    Platform platform(trace, makePlannerScheduler(trace.objective), options);
    const Outcomes &outcomes = platform.run();
    bool met = true;
    for (const Expectation &expectation : trace.expectations) {
        const double value = figureOf(outcomes, expectation);
        if (value >= expectation.atLeast && value <= expectation.atMost) {
            continue;
        }
        met = false;
        fmt::print("  {}{}{}: {} is not within [{}, {}]\n",
                   expectation.figure,
                   expectation.job ? fmt::format(" of job {}", *expectation.job) : "",
                   expectation.worker ? fmt::format(" of worker {}", *expectation.worker) : "",
                   value,
                   expectation.atLeast,
                   expectation.atMost);
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
    PlatformOptions options;
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
