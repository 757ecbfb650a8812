#include "decisions.h"

#include "tests/workflow_load.h"

#include <cxxopts.hpp>
#include <fmt/core.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <vector>

namespace yuccawheel::bench
{

namespace
{

constexpr int ExitUsage = 2;

double toMilliseconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

void measure(std::size_t workers, std::chrono::seconds warmUp, std::chrono::seconds length, std::uint64_t seed)
{
    tests::MixedLoad load(workers, seed);
    load.run(warmUp);
    load.takeTickTimes();
    const workflow::DispatchCost before = load.dispatchCost();
    load.run(length);
    std::vector<std::chrono::nanoseconds> ticks = load.takeTickTimes();
    const workflow::DispatchCost after = load.dispatchCost();
    std::sort(ticks.begin(), ticks.end());
    std::chrono::nanoseconds total{0};
    for (const std::chrono::nanoseconds tick : ticks) {
        total += tick;
    }
    const std::uint64_t dispatches = after.dispatches - before.dispatches;
    fmt::print("{:>8} {:>14.1f} {:>12.1f} {:>10.3f} {:>10.2f} {:>12.1f} {:>9}\n",
               workers,
               toMilliseconds(total) / static_cast<double>(length.count()),
               static_cast<double>(dispatches) / static_cast<double>(length.count()),
               toMilliseconds(total) / static_cast<double>(dispatches),
               toMilliseconds(ticks.back()),
               static_cast<double>(after.workersExamined - before.workersExamined) / static_cast<double>(dispatches),
               load.waitingTasks());
    std::fflush(stdout);
}

} // namespace

int runDecisions(int argc, char **argv)
{
    cxxopts::Options options("yw-bench decisions", "Measures the processor time of the leader's decisions.");
    options.add_options()(
        "workers", "numbers of workers", cxxopts::value<std::vector<std::size_t>>()->default_value("48,350,1100"))(
        "warm-up", "seconds of load before the measurement", cxxopts::value<int>()->default_value("10"))(
        "seconds", "seconds measured, in virtual time", cxxopts::value<int>()->default_value("5"))(
        "seed", "seed of the load", cxxopts::value<std::uint64_t>()->default_value("1"))("help", "print this help");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            fmt::print("{}\n", options.help());
            return 0;
        }
        fmt::print("{:>8} {:>14} {:>12} {:>10} {:>10} {:>12} {:>9}\n",
                   "workers",
                   "ms_per_second",
                   "dispatches/s",
                   "mean_ms",
                   "longest_ms",
                   "examined",
                   "waiting");
        for (const std::size_t workers : parsed["workers"].as<std::vector<std::size_t>>()) {
            measure(workers,
                    std::chrono::seconds(parsed["warm-up"].as<int>()),
                    std::chrono::seconds(parsed["seconds"].as<int>()),
                    parsed["seed"].as<std::uint64_t>());
        }
    } catch (const cxxopts::exceptions::exception &error) {
        fmt::print(stderr, "yw-bench decisions: {}\n", error.what());
        return ExitUsage;
    }
    return 0;
}

} // namespace yuccawheel::bench
