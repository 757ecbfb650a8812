#include "fakes/fake_upstream.h"

#include <cxxopts.hpp>
#include <fmt/core.h>

#include <csignal>
#include <cstdio>
#include <thread>

namespace
{

using yuccawheel::fakes::FakeUpstream;
using yuccawheel::fakes::FakeUpstreamCounts;
using yuccawheel::fakes::FakeUpstreamOptions;

constexpr int ExitUsage = 2;
constexpr int ExitOverLimit = 3;

cxxopts::Options usage()
{
    cxxopts::Options options("fake-upstream",
                             "Stand-in for an executor. SIGUSR1: leave. SIGTERM: print counts and exit.");
    options.add_options()("executor", "name", cxxopts::value<std::string>()->default_value("e1"));
    options.add_options()("incarnation", "incarnation number", cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options()("address", "IP", cxxopts::value<std::string>()->default_value("127.0.0.1"));
    options.add_options()("port", "0 for any free port", cxxopts::value<std::uint16_t>()->default_value("0"));
    options.add_options()("slots", "maximum concurrent requests", cxxopts::value<std::uint32_t>()->default_value("8"));
    options.add_options()(
        "connections", "maximum concurrent connections", cxxopts::value<std::uint32_t>()->default_value("64"));
    options.add_options()("service",
                          "service to offer; repeatable",
                          cxxopts::value<std::vector<std::string>>()->default_value("loan-check"));
    options.add_options()("entry", "IP:PORT to announce to; repeatable", cxxopts::value<std::vector<std::string>>());
    options.add_options()("delay-us", "delay of each answer", cxxopts::value<std::uint64_t>()->default_value("0"));
    options.add_options()("fail-every",
                          "answer every Nth request with 500; 0 for none",
                          cxxopts::value<std::uint32_t>()->default_value("0"));
    options.add_options()(
        "cut-every", "truncate every Nth answer; 0 for none", cxxopts::value<std::uint32_t>()->default_value("0"));
    options.add_options()("silent-running", "omit the number of requests in progress from heartbeats");
    options.add_options()("help", "print this");
    return options;
}

FakeUpstreamOptions fromArguments(const cxxopts::ParseResult &arguments)
{
    FakeUpstreamOptions options;
    options.executor = arguments["executor"].as<std::string>();
    options.incarnation = arguments["incarnation"].as<std::uint64_t>();
    options.address = arguments["address"].as<std::string>();
    options.port = arguments["port"].as<std::uint16_t>();
    options.slots = arguments["slots"].as<std::uint32_t>();
    options.connections = arguments["connections"].as<std::uint32_t>();
    options.services = arguments["service"].as<std::vector<std::string>>();
    if (arguments.count("entry") > 0) {
        options.entries = arguments["entry"].as<std::vector<std::string>>();
    }
    options.delay = std::chrono::microseconds(arguments["delay-us"].as<std::uint64_t>());
    options.failEvery = arguments["fail-every"].as<std::uint32_t>();
    options.cutEvery = arguments["cut-every"].as<std::uint32_t>();
    options.reportsRunning = arguments.count("silent-running") == 0;
    return options;
}

void printCounts(const FakeUpstreamCounts &counts)
{
    fmt::print(
        "{{\"requests\":{},\"answered\":{},\"max_running\":{},\"max_connections\":{},\"most_runs_of_one_key\":{},"
        "\"after_leaving\":{},\"last_after_leaving_ms\":{}}}\n",
        counts.requests,
        counts.answered,
        counts.maxRunning,
        counts.maxConnections,
        counts.maxRunsPerKey,
        counts.afterLeaving,
        counts.lastAfterLeaving.count());
    std::fflush(stdout);
}

int run(const FakeUpstreamOptions &options)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGUSR1);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    FakeUpstream upstream(options);
    fmt::print("port={}\n", upstream.port());
    std::fflush(stdout);
    int signal = 0;
    while (sigwait(&signals, &signal) == 0 && signal == SIGUSR1) {
        upstream.leave();
    }
    const FakeUpstreamCounts counts = upstream.counts();
    printCounts(counts);
    const bool over = counts.maxRunning > options.slots || counts.maxConnections > options.connections;
    return over ? ExitOverLimit : 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        auto options = usage();
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            fmt::print("{}", options.help());
            return 0;
        }
        return run(fromArguments(arguments));
    } catch (const std::exception &error) {
        fmt::print(stderr, "fake-upstream: {}\n", error.what());
        return ExitUsage;
    }
}
