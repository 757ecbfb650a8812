#include "fakes/fake_worker.h"

#include "base/scope_guard.h"

#include <cxxopts.hpp>
#include <fmt/core.h>

#include <array>
#include <chrono>
#include <csignal>
#include <memory>
#include <poll.h>
#include <sstream>
#include <string>
#include <sys/signalfd.h>
#include <unistd.h>
#include <vector>

namespace
{

using namespace yuccawheel;
using fakes::FakeWorker;

constexpr std::chrono::milliseconds TickInterval{10};
constexpr int ExitUsage = 2;

struct Fleet {
    std::vector<std::string> names;
    std::vector<std::unique_ptr<FakeWorker>> workers;
};

std::vector<settings::Endpoint> endpoints(const std::vector<std::string> &texts)
{
    std::vector<settings::Endpoint> found;
    for (const std::string &text : texts) {
        const auto endpoint = settings::parseEndpoint(text);
        if (!endpoint) {
            throw std::runtime_error(fmt::format("not an address: {}", text));
        }
        found.push_back(*endpoint);
    }
    return found;
}

FakeWorker::Options workerOptions(const cxxopts::ParseResult &arguments, int number)
{
    FakeWorker::Options options;
    const int count = arguments["count"].as<int>();
    const auto name = arguments["name"].as<std::string>();
    options.worker.name = count == 1 ? name : fmt::format("{}-{}", name, number + 1);
    const int rack = number / arguments["rack-size"].as<int>() + 1;
    options.worker.rack = fmt::format("{}{}", arguments["rack"].as<std::string>(), rack);
    options.worker.capacity = {arguments["milli-cpu"].as<std::int64_t>(),
                               arguments["memory-mib"].as<std::int64_t>(),
                               arguments["accelerators"].as<std::int64_t>()};
    // A real worker keeps this counter on disk across restarts; the wall clock replaces it here.
    options.worker.incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count());
    options.worker.wait = std::chrono::milliseconds(arguments["wait-ms"].as<int>());
    options.worker.usageLag = std::chrono::milliseconds(arguments["usage-lag-ms"].as<int>());
    options.worker.runTime = std::chrono::milliseconds(arguments["run-ms"].as<int>());
    options.ip = arguments["ip"].as<std::string>();
    options.zone = arguments["zone"].as<std::string>();
    options.schedulers = endpoints(arguments["scheduler"].as<std::vector<std::string>>());
    options.entries = arguments["entry"].as<std::vector<std::string>>();
    return options;
}

/// Applies a line `FAULT WORKER VALUE`, for example `fail w-a-1 on`; the worker `*` means all workers.
void runCommand(const std::string &line, Fleet &fleet)
{
    std::istringstream words(line);
    std::string fault;
    std::string name;
    std::string value;
    words >> fault >> name >> value;
    for (std::size_t i = 0; i < fleet.workers.size(); ++i) {
        if (name != "*" && name != fleet.names[i]) {
            continue;
        }
        FakeWorker &worker = *fleet.workers[i];
        fakes::WorkerFaults faults = worker.faults();
        if (fault == "power") {
            worker.losePower();
        } else if (fault == "fail") {
            faults.failEverything = value == "on";
        } else if (fault == "hang") {
            faults.hang = value == "on";
        } else if (fault == "slow") {
            faults.runTimeFactor = std::stod(value);
        } else if (fault == "grow") {
            faults.usageFactor = std::stod(value);
        }
        worker.setFaults(faults);
    }
}

/// Ticks the workers and reads commands from standard input until SIGTERM or SIGINT arrives.
void serve(Fleet &fleet, int signals)
{
    std::string pending;
    std::vector<pollfd> waits{{signals, POLLIN, 0}, {STDIN_FILENO, POLLIN, 0}};
    while (true) {
        poll(waits.data(), waits.size(), static_cast<int>(TickInterval.count()));
        if ((waits[0].revents & POLLIN) != 0) {
            return;
        }
        for (const auto &worker : fleet.workers) {
            worker->tick();
        }
        if (waits.size() < 2 || (waits[1].revents & (POLLIN | POLLHUP)) == 0) {
            continue;
        }
        std::array<char, 4096> buffer{};
        const ssize_t length = read(STDIN_FILENO, buffer.data(), buffer.size());
        if (length <= 0) {
            waits.pop_back();
            continue;
        }
        pending.append(buffer.data(), static_cast<std::size_t>(length));
        for (auto newline = pending.find('\n'); newline != std::string::npos; newline = pending.find('\n')) {
            runCommand(pending.substr(0, newline), fleet);
            pending.erase(0, newline + 1);
        }
    }
}

cxxopts::Options describeOptions()
{
    cxxopts::Options options("fake-worker", "Stand-in for workers: simulates tasks as their payloads describe.");
    options.add_options()("help", "print this text")(
        "name", "worker name, or prefix if there are several", cxxopts::value<std::string>());
    options.add_options()("count", "number of workers in this process", cxxopts::value<int>()->default_value("1"));
    options.add_options()("zone", "availability zone", cxxopts::value<std::string>()->default_value("a"));
    options.add_options()("rack", "prefix of rack names", cxxopts::value<std::string>()->default_value("r"));
    options.add_options()("rack-size", "workers per rack", cxxopts::value<int>()->default_value("8"));
    options.add_options()(
        "scheduler", "worker addresses of the schedulers", cxxopts::value<std::vector<std::string>>());
    options.add_options()("entry", "upstream addresses of the entries", cxxopts::value<std::vector<std::string>>());
    options.add_options()(
        "milli-cpu", "CPU capacity in thousandths of a core", cxxopts::value<std::int64_t>()->default_value("64000"));
    options.add_options()(
        "memory-mib", "memory capacity in MiB", cxxopts::value<std::int64_t>()->default_value("262144"));
    options.add_options()("accelerators", "number of accelerators", cxxopts::value<std::int64_t>()->default_value("0"));
    options.add_options()("wait-ms", "maximum wait of a poll", cxxopts::value<int>()->default_value("1000"));
    options.add_options()(
        "usage-lag-ms", "time until polls report the usage of a task", cxxopts::value<int>()->default_value("500"));
    options.add_options()(
        "run-ms", "run time of tasks whose payload sets none", cxxopts::value<int>()->default_value("200"));
    options.add_options()(
        "ip", "address on which the upstreams listen", cxxopts::value<std::string>()->default_value("127.0.0.1"));
    options.add_options()("journal", "file for task starts and ends", cxxopts::value<std::string>()->default_value(""));
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    sigset_t mask;
    sigemptyset(&mask);
    sigaddset(&mask, SIGTERM);
    sigaddset(&mask, SIGINT);
    sigprocmask(SIG_BLOCK, &mask, nullptr);
    const int signals = signalfd(-1, &mask, SFD_CLOEXEC);
    const base::ScopeGuard closer([signals] { close(signals); });
    try {
        auto options = describeOptions();
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            fmt::print("{}\n", options.help());
            return 0;
        }
        fakes::Journal journal(arguments["journal"].as<std::string>());
        Fleet fleet;
        for (int i = 0; i < arguments["count"].as<int>(); ++i) {
            auto worker = workerOptions(arguments, i);
            fleet.names.push_back(worker.worker.name);
            fleet.workers.push_back(std::make_unique<FakeWorker>(std::move(worker), journal));
        }
        serve(fleet, signals);
    } catch (const std::exception &error) {
        fmt::print(stderr, "fake-worker: {}\n", error.what());
        return ExitUsage;
    }
    return 0;
}
