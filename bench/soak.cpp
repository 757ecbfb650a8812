#include "soak.h"

#include "http/client.h"
#include "settings/endpoint.h"

#include <cxxopts.hpp>
#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace yuccawheel::bench
{

namespace
{

using namespace std::chrono_literals;

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

struct Daemon {
    std::string name;
    std::string pid;
    settings::Endpoint health;
};

/// Counters of one process at one time.
struct Sample {
    double processorSeconds = 0;
    double residentMib = 0;
    double sentBytes = 0;
    double receivedBytes = 0;
};

Daemon parseDaemon(const std::string &text)
{
    const auto equals = text.find('=');
    const auto at = text.find('@');
    const auto health = at == std::string::npos ? std::nullopt : settings::parseEndpoint(text.substr(at + 1));
    if (equals == std::string::npos || !health || equals > at) {
        throw std::runtime_error("expected NAME=PID@IP:PORT, got: " + text);
    }
    return {text.substr(0, equals), text.substr(equals + 1, at - equals - 1), *health};
}

/// Returns the sum of utime and stime, fields 14 and 15 of /proc/PID/stat. Parsing starts after the last ')', because
/// the process name in brackets may contain spaces.
double processorSeconds(const std::string &pid)
{
    std::ifstream file("/proc/" + pid + "/stat");
    std::string line;
    std::getline(file, line);
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    std::string ignored;
    for (int field = 3; field < 14; ++field) {
        fields >> ignored;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentMib(const std::string &pid)
{
    std::ifstream file("/proc/" + pid + "/statm");
    double size = 0;
    double resident = 0;
    file >> size >> resident;
    constexpr double BytesPerMib = 1024 * 1024;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / BytesPerMib;
}

double metric(const std::string &text, const std::string &name)
{
    const auto found = text.find("\n" + name + " ");
    return found == std::string::npos ? 0 : std::stod(text.substr(found + name.size() + 2));
}

Sample takeSample(const Daemon &daemon)
{
    const auto answer = http::call(daemon.health, {"GET", "/metrics", {}, ""}, 5s);
    if (!answer) {
        throw std::runtime_error(daemon.name + ": " + answer.error().text);
    }
    const std::string text = "\n" + answer->body;
    return {processorSeconds(daemon.pid),
            residentMib(daemon.pid),
            metric(text, "yw_control_sent_bytes"),
            metric(text, "yw_control_received_bytes")};
}

std::vector<Sample> takeSamples(const std::vector<Daemon> &daemons)
{
    std::vector<Sample> samples;
    samples.reserve(daemons.size());
    for (const Daemon &daemon : daemons) {
        samples.push_back(takeSample(daemon));
    }
    return samples;
}

void measure(const std::vector<Daemon> &daemons, std::chrono::seconds interval)
{
    const auto begin = std::chrono::steady_clock::now();
    const auto before = takeSamples(daemons);
    std::this_thread::sleep_for(interval);
    const auto after = takeSamples(daemons);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    nlohmann::ordered_json report = nlohmann::ordered_json::array();
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        const double seconds = elapsed.count();
        report.push_back({{"daemon", daemons[i].name},
                          {"core_percent", 100 * (after[i].processorSeconds - before[i].processorSeconds) / seconds},
                          {"resident_mib", after[i].residentMib},
                          {"sent_bytes_per_second", (after[i].sentBytes - before[i].sentBytes) / seconds},
                          {"received_bytes_per_second", (after[i].receivedBytes - before[i].receivedBytes) / seconds}});
    }
    fmt::print("{}\n", report.dump());
}

} // namespace

int runSoak(int argc, char **argv)
{
    cxxopts::Options options("yw-bench soak", "Measures running daemons over an interval.");
    options.add_options()(
        "daemon", "daemon as NAME=PID@IP:PORT, with its health address", cxxopts::value<std::vector<std::string>>());
    options.add_options()("seconds", "length of the measured interval", cxxopts::value<int>()->default_value("10"));
    try {
        const auto arguments = options.parse(argc, argv);
        std::vector<Daemon> daemons;
        for (const std::string &text : arguments["daemon"].as<std::vector<std::string>>()) {
            daemons.push_back(parseDaemon(text));
        }
        measure(daemons, std::chrono::seconds(arguments["seconds"].as<int>()));
    } catch (const cxxopts::exceptions::exception &error) {
        fmt::print(stderr, "yw-bench soak: {}\n{}", error.what(), options.help());
        return ExitUsage;
    } catch (const std::exception &error) {
        fmt::print(stderr, "yw-bench soak: {}\n", error.what());
        return ExitFailed;
    }
    return 0;
}

} // namespace yuccawheel::bench
