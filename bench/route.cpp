#include "route.h"

#include "fakes/fake_upstream.h"
#include "http/proxy_server.h"
#include "route_load.h"

#include <cxxopts.hpp>
#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <unistd.h>

namespace yuccawheel::bench
{

namespace
{

using Json = nlohmann::json;
using Milliseconds = std::chrono::milliseconds;
using routing::ChoiceKind;

constexpr int ExitUsage = 2;
constexpr std::uint32_t SlotsPerUpstream = 8;
constexpr double SlotUtilization = 0.7; ///< Offered load as a fraction of the upstreams' slots.
constexpr int SlowdownFactor = 10;
constexpr Milliseconds AnnouncementInterval{500};

struct RouteOptions {
    std::size_t upstreams = 50;
    Milliseconds responseTime{40}; ///< Of each upstream.
    Milliseconds duration{4000};
    std::uint64_t seed = 1;
};

/// Fake upstreams that announce themselves to entries in the same process, regularly and after each change.
class FakeUpstreams
{
public:
    FakeUpstreams(const RouteOptions &options, bool degraded)
    {
        for (std::size_t i = 0; i < options.upstreams; ++i) {
            fakes::FakeUpstreamOptions fake;
            fake.executor = fmt::format("e{}", i);
            fake.slots = SlotsPerUpstream;
            fake.delay = options.responseTime;
            if (degraded && i == 0) {
                fake.delay *= SlowdownFactor;
            }
            if (degraded && i == 1) {
                fake.failEvery = 1;
            }
            upstreams_.push_back(std::make_unique<fakes::FakeUpstream>(fake));
        }
        announcer_ = std::thread([this] { announceUntilStopped(); });
    }
    ~FakeUpstreams()
    {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        wake_.notify_all();
        announcer_.join();
    }
    FakeUpstreams(const FakeUpstreams &) = delete;
    FakeUpstreams &operator=(const FakeUpstreams &) = delete;

    void setEntries(std::vector<http::ProxyServer *> entries)
    {
        const std::lock_guard lock(mutex_);
        entries_ = std::move(entries);
        announceAll();
    }
    fakes::FakeUpstream &at(std::size_t index)
    {
        return *upstreams_[index];
    }
    std::size_t size() const
    {
        return upstreams_.size();
    }
    void leave(std::size_t index)
    {
        const std::lock_guard lock(mutex_);
        upstreams_[index]->leave();
        announceAll();
    }

private:
    void announceUntilStopped()
    {
        std::unique_lock lock(mutex_);
        while (!stopping_) {
            wake_.wait_for(lock, AnnouncementInterval);
            announceAll();
        }
    }
    void announceAll()
    {
        for (http::ProxyServer *entry : entries_) {
            for (const auto &upstream : upstreams_) {
                entry->applyHeartbeat(upstream->announcement(), nullptr);
            }
        }
    }

    std::vector<std::unique_ptr<fakes::FakeUpstream>> upstreams_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::vector<http::ProxyServer *> entries_;
    std::thread announcer_;
};

http::ProxyOptions proxyOptions(const std::string &entry,
                                const std::vector<routing::EntryInfo> &entries,
                                ChoiceKind choice,
                                std::uint64_t incarnation = 1)
{
    http::ProxyOptions options;
    options.router.entry = entry;
    options.router.zone = "z1";
    options.router.entries = entries;
    options.router.choice = choice;
    options.router.incarnation = incarnation;
    return options;
}

HttpLoadOptions loadOptions(const RouteOptions &options)
{
    HttpLoadOptions load;
    const double slots = static_cast<double>(options.upstreams) * SlotsPerUpstream;
    load.ratePerSecond = slots * SlotUtilization / std::chrono::duration<double>(options.responseTime).count();
    load.duration = options.duration;
    load.warmUp = options.duration / 4;
    load.seed = options.seed;
    return load;
}

Json toJson(const HttpLoadResult &result)
{
    return {{"sent", result.sent},
            {"answered", result.answered},
            {"server_errors", result.serverErrors},
            {"lost", result.lost},
            {"requests_per_second", result.requestsPerSecond},
            {"p50_ms", result.p50Ms},
            {"p99_ms", result.p99Ms},
            {"p999_ms", result.p999Ms}};
}

HttpLoadResult runDirect(const RouteOptions &options, FakeUpstreams &upstreams)
{
    HttpLoadOptions load = loadOptions(options);
    std::size_t next = 0;
    load.target = "/x";
    load.nextPort = [&] {
        return upstreams.at(next++ % upstreams.size()).port();
    };
    return runHttpLoad(load);
}

Json runProxy(const RouteOptions &options, FakeUpstreams &upstreams, ChoiceKind choice, HttpLoadResult &result)
{
    http::ProxyServer proxy(proxyOptions("a", {{"a", "z1"}}, choice), nullptr);
    const std::uint16_t port = proxy.start().value();
    upstreams.setEntries({&proxy});
    HttpLoadOptions load = loadOptions(options);
    load.nextPort = [&] {
        return port;
    };
    result = runHttpLoad(load);
    const http::ProxyStatistics statistics = proxy.statistics();
    upstreams.setEntries({});
    Json json = toJson(result);
    json["processor_us_per_request"] = std::chrono::duration<double, std::micro>(statistics.processorTime).count()
        / static_cast<double>(std::max<std::uint64_t>(statistics.requests, 1));
    json["queued"] = statistics.router.queued;
    json["ejections"] = statistics.router.ejections;
    return json;
}

Json compareChoices(const RouteOptions &options)
{
    Json json;
    const std::vector<std::pair<std::string, ChoiceKind>> choices{{"round_robin", ChoiceKind::RoundRobin},
                                                                  {"least_outstanding", ChoiceKind::LeastOutstanding},
                                                                  {"two_choices", ChoiceKind::TwoChoices}};
    for (const bool degraded : {false, true}) {
        FakeUpstreams upstreams(options, degraded);
        Json &results = json[degraded ? "one_slow_one_failing" : "all_good"];
        const HttpLoadResult direct = runDirect(options, upstreams);
        results["direct"] = toJson(direct);
        for (const auto &[name, choice] : choices) {
            HttpLoadResult result;
            results[name] = runProxy(options, upstreams, choice, result);
            results[name]["added_p50_ms"] = result.p50Ms - direct.p50Ms;
            results[name]["added_p99_ms"] = result.p99Ms - direct.p99Ms;
            if (degraded) {
                results[name]["p99_ratio"] = result.p99Ms / json["all_good"][name]["p99_ms"].get<double>();
            }
        }
    }
    return json;
}

Json measureLeaving(const RouteOptions &options)
{
    FakeUpstreams upstreams(options, false);
    http::ProxyServer proxy(proxyOptions("a", {{"a", "z1"}}, ChoiceKind::TwoChoices), nullptr);
    const std::uint16_t port = proxy.start().value();
    upstreams.setEntries({&proxy});
    HttpLoadOptions load = loadOptions(options);
    load.nextPort = [&] {
        return port;
    };
    bool left = false;
    load.onProgress = [&](Milliseconds time) {
        if (!left && time >= options.duration / 2) {
            left = true;
            upstreams.leave(0);
        }
    };
    const HttpLoadResult result = runHttpLoad(load);
    upstreams.setEntries({});
    const auto counts = upstreams.at(0).counts();
    return {{"last_request_after_ms", counts.lastAfterLeaving.count()},
            {"requests_after", counts.afterLeaving},
            {"lost", result.lost + result.serverErrors}};
}

/// Runs two entries behind a load balancer that checks readiness, and drains and replaces each in turn under load.
class RollingRestart
{
public:
    explicit RollingRestart(const RouteOptions &options) : options_(options), upstreams_(options, false)
    {
        for (std::size_t i = 0; i < EntryCount; ++i) {
            start(i);
        }
        announceToAllEntries();
    }
    ~RollingRestart()
    {
        upstreams_.setEntries({});
    }
    RollingRestart(const RollingRestart &) = delete;
    RollingRestart &operator=(const RollingRestart &) = delete;

    Json run()
    {
        HttpLoadOptions load = loadOptions(options_);
        load.ratePerSecond /= 4;
        load.duration = options_.duration * 2;
        load.nextPort = [this] {
            return pickReadyPort();
        };
        while (!proxies_[0]->isReady() || !proxies_[1]->isReady()) {
            std::this_thread::sleep_for(Milliseconds(10));
        }
        std::thread restarts([this] { restartAll(); });
        const HttpLoadResult result = runHttpLoad(load);
        restarts.join();
        Json json = toJson(result);
        json["restarts"] = EntryCount;
        json["cut_requests"] = cutRequests_.load();
        json["lost"] = result.lost + result.serverErrors;
        std::uint32_t maxRunning = 0;
        for (std::size_t i = 0; i < upstreams_.size(); ++i) {
            maxRunning = std::max(maxRunning, upstreams_.at(i).counts().maxRunning);
        }
        json["most_running_at_one_upstream"] = maxRunning;
        return json;
    }

private:
    static constexpr std::size_t EntryCount = 2;
    static constexpr Milliseconds DrainDelay{500};
    static constexpr std::chrono::seconds DrainTimeout{10};

    void start(std::size_t index)
    {
        const std::vector<routing::EntryInfo> entries{{"a", "z1"}, {"b", "z1"}};
        auto proxy = std::make_unique<http::ProxyServer>(
            proxyOptions(entries[index].entry, entries, ChoiceKind::TwoChoices, ++incarnation_), nullptr);
        proxy->setPeerSink([this, index](auto updates, auto messages) {
            const std::lock_guard lock(mutex_);
            http::ProxyServer *other = proxies_[1 - index].get();
            for (auto &message : messages) {
                other != nullptr ? other->receive(std::move(message)) : void();
            }
            for (auto &update : updates) {
                other != nullptr ? other->receive(std::move(update)) : void();
            }
        });
        const std::uint16_t port = proxy->start().value();
        const std::lock_guard lock(mutex_);
        proxies_[index] = std::move(proxy);
        ports_[index] = port;
    }
    void announceToAllEntries()
    {
        std::vector<http::ProxyServer *> entries;
        for (const auto &proxy : proxies_) {
            entries.push_back(proxy.get());
        }
        upstreams_.setEntries(entries);
    }
    std::uint16_t pickReadyPort()
    {
        const std::lock_guard lock(mutex_);
        for (std::size_t i = 0; i < EntryCount; ++i) {
            const std::size_t index = next_++ % EntryCount;
            if (proxies_[index] != nullptr && proxies_[index]->isReady()) {
                return ports_[index];
            }
        }
        return ports_[0];
    }
    void restartAll()
    {
        for (std::size_t i = 0; i < EntryCount; ++i) {
            std::this_thread::sleep_for(options_.duration / 2);
            std::promise<http::DrainReport> drained;
            proxies_[i]->drain(DrainDelay, DrainTimeout, [&](http::DrainReport report) { drained.set_value(report); });
            cutRequests_ += drained.get_future().get().cutRequests;
            upstreams_.setEntries({proxies_[1 - i].get()});
            std::unique_ptr<http::ProxyServer> old;
            {
                const std::lock_guard lock(mutex_);
                old = std::move(proxies_[i]);
            }
            old.reset();
            start(i);
            announceToAllEntries();
        }
    }

    const RouteOptions options_;
    FakeUpstreams upstreams_;
    std::mutex mutex_;
    std::array<std::unique_ptr<http::ProxyServer>, EntryCount> proxies_;
    std::array<std::uint16_t, EntryCount> ports_{};
    std::size_t next_ = 0;
    std::uint64_t incarnation_ = 0;
    std::atomic<std::size_t> cutRequests_{0};
};

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

Json measureMemory()
{
    constexpr std::size_t Connections = 1000;
    fakes::FakeUpstream upstream({});
    http::ProxyServer proxy(proxyOptions("a", {{"a", "z1"}}, ChoiceKind::TwoChoices), nullptr);
    const std::uint16_t port = proxy.start().value();
    proxy.applyHeartbeat(upstream.announcement(), nullptr);
    withIdleConnections(port, 1, [] {});
    const std::size_t before = residentBytes();
    std::size_t after = 0;
    withIdleConnections(port, Connections, [&] { after = residentBytes(); });
    return {{"connections", Connections}, {"bytes", after - std::min(before, after)}};
}

void printText(const Json &json)
{
    fmt::print("{}\n", json.dump(2));
}

} // namespace

int runRoute(int argc, char **argv)
{
    try {
        cxxopts::Options usage("yw-bench route", "Measures the request path on loopback");
        usage.add_options()("format", "json or text", cxxopts::value<std::string>()->default_value("text"));
        usage.add_options()("upstreams", "number of upstreams", cxxopts::value<std::size_t>()->default_value("50"));
        usage.add_options()("service-ms", "response time of an upstream", cxxopts::value<int>()->default_value("40"));
        usage.add_options()("duration-ms", "length of each run", cxxopts::value<int>()->default_value("4000"));
        usage.add_options()("seed", "seed of the arrival times", cxxopts::value<std::uint64_t>()->default_value("1"));
        const auto arguments = usage.parse(argc, argv);
        RouteOptions options;
        options.upstreams = arguments["upstreams"].as<std::size_t>();
        options.responseTime = Milliseconds(arguments["service-ms"].as<int>());
        options.duration = Milliseconds(arguments["duration-ms"].as<int>());
        options.seed = arguments["seed"].as<std::uint64_t>();
        Json json;
        json["memory"] = measureMemory();
        json["load"] = compareChoices(options);
        json["leaving"] = measureLeaving(options);
        json["rolling_restart"] = RollingRestart(options).run();
        arguments["format"].as<std::string>() == "json" ? fmt::print("{}\n", json.dump()) : printText(json);
        return 0;
    } catch (const std::exception &error) {
        fmt::print(stderr, "yw-bench route: {}\n", error.what());
        return ExitUsage;
    }
}

} // namespace yuccawheel::bench
