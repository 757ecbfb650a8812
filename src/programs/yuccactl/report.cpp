#include "programs/yuccactl/commands.h"

#include <fmt/core.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace yuccawheel::programs::yuccactl
{

namespace
{

constexpr std::size_t MostExplained = 20;
constexpr std::int64_t LongestSilenceMs = 10'000;

Json listIn(const Json &answer, const char *key)
{
    return answer.is_object() && answer.contains(key) && answer.at(key).is_array() ? answer.at(key) : Json::array();
}

std::int64_t numberIn(const Json &object, const char *key)
{
    const bool isNumber = object.is_object() && object.contains(key) && object.at(key).is_number();
    return isNumber ? object.at(key).get<std::int64_t>() : 0;
}

std::string textIn(const Json &object, const char *key)
{
    const bool isText = object.is_object() && object.contains(key) && object.at(key).is_string();
    return isText ? object.at(key).get<std::string>() : "";
}

/// Gathers the parts of the report, and what needs a person. A part that can't be had is itself such an item.
class Report
{
public:
    explicit Report(const EntryClient &client) : client_(client)
    {
    }

    tl::expected<Json, Failure> gather(std::chrono::milliseconds since)
    {
        const auto jobs = client_.get(fmt::format("/v1/report?since={}", since.count()));
        if (!jobs) {
            return tl::unexpected(jobs.error());
        }
        takeJobs(*jobs);
        takeWorkers(fetch("/v1/workers"));
        takeDaemons(fetch("/v1/configuration/status"));
        takeZones(fetch("/v1/store"));
        Json report{{"since_at_ms", since.count()}, {"succeeded", numberIn(*jobs, "succeeded")}};
        report.update(summary_);
        report["attention"] = attention_;
        report["waiting"] = waiting_;
        // Whatever else the entry reports stands as it is.
        for (const auto &[key, value] : jobs->items()) {
            if (!report.contains(key) && key != "unfinished") {
                report[key] = value;
            }
        }
        return report;
    }

private:
    Json fetch(const std::string &target)
    {
        const auto answer = client_.get(target);
        if (!answer) {
            needs(target, "cannot be had: " + answer.error().message, "yuccactl config status");
        }
        return answer ? *answer : Json::object();
    }

    void needs(const std::string &item, const std::string &why, const std::string &next)
    {
        attention_.push_back({{"item", item}, {"why", why}, {"next", next}});
    }

    void takeJobs(const Json &jobs)
    {
        for (const Json &job : listIn(jobs, "failed")) {
            needs(jobTitle(job),
                  fmt::format("{} of {} tasks failed", numberIn(job, "failed"), numberIn(job, "tasks")),
                  fmt::format("yuccactl get {}", numberIn(job, "id")));
        }
        for (const Json &job : listIn(jobs, "may_have_run")) {
            needs(jobTitle(job),
                  fmt::format("{} tasks may have run; they are not started again", numberIn(job, "may_have_run")),
                  "find out what they did before you submit them again");
        }
        const Json unfinished = listIn(jobs, "unfinished");
        summary_["unfinished"] = unfinished.size();
        for (const Json &job : unfinished) {
            if (waiting_.size() < MostExplained) {
                waiting_.push_back({{"id", numberIn(job, "id")},
                                    {"name", textIn(job, "name")},
                                    {"team", textIn(job, "team")},
                                    {"state", textIn(job, "state")},
                                    {"why", explain(numberIn(job, "id"))}});
            }
        }
    }

    static std::string jobTitle(const Json &job)
    {
        return fmt::format("job {} {}", numberIn(job, "id"), textIn(job, "name"));
    }

    std::string explain(std::int64_t job)
    {
        const auto answer = client_.get(fmt::format("/v1/jobs/{}/explain", job));
        std::string text;
        for (const Json &zone : answer ? listIn(*answer, "zones") : Json::array()) {
            text += fmt::format("{}{}: {}", text.empty() ? "" : "; ", textIn(zone, "zone"), textIn(zone, "text"));
        }
        return text;
    }

    // Says which part of a worker's scarcest resource is reserved.
    static double tightest(const Json &reserved, const Json &capacity)
    {
        double most = 0;
        for (const char *const resource : {"milli_cpu", "memory_mib", "accelerators"}) {
            const auto held = static_cast<double>(numberIn(capacity, resource));
            most = held > 0 ? std::max(most, static_cast<double>(numberIn(reserved, resource)) / held) : most;
        }
        return most;
    }

    // Packing: how full the VMs are that run something, so that the others can idle.
    void takeWorkers(const Json &answer)
    {
        std::int64_t busy = 0;
        std::int64_t reserved = 0;
        std::int64_t capacity = 0;
        double fullness = 0;
        const Json workers = listIn(answer, "workers");
        for (const Json &worker : workers) {
            if (const std::string state = textIn(worker, "state"); state != "active") {
                const std::string reason = textIn(worker, "reason");
                needs("worker " + textIn(worker, "name"),
                      reason.empty() ? state : fmt::format("{}: {}", state, reason),
                      "yuccactl workers");
            }
            if (!listIn(worker, "tasks").empty() && worker.contains("reserved") && worker.contains("capacity")) {
                ++busy;
                fullness += tightest(worker["reserved"], worker["capacity"]);
                reserved += numberIn(worker["reserved"], "milli_cpu");
                capacity += numberIn(worker["capacity"], "milli_cpu");
            }
        }
        constexpr std::int64_t Percent = 100;
        summary_["workers"] = workers.size();
        summary_["busy_workers"] = busy;
        summary_["packing_percent"] = busy == 0 ? 0 : std::llround(Percent * fullness / static_cast<double>(busy));
        summary_["cpu_reserved_on_busy_percent"] = capacity == 0 ? 0 : reserved * Percent / capacity;
    }

    void takeDaemons(const Json &status)
    {
        for (const Json &daemon : listIn(status, "daemons")) {
            if (numberIn(daemon, "behind") > 0) {
                needs("daemon " + textIn(daemon, "node"),
                      fmt::format("{} versions behind", numberIn(daemon, "behind")),
                      "yuccactl config status");
            }
        }
    }

    void takeZones(const Json &store)
    {
        for (const Json &zone : listIn(store, "zones")) {
            const std::int64_t silent = numberIn(zone, "silent_ms");
            if (textIn(zone, "owner").empty() || silent > LongestSilenceMs) {
                needs("zone " + textIn(zone, "zone"),
                      fmt::format("no word of its owner for {} ms", silent),
                      "see the runbook: an availability zone is cut off");
            }
        }
    }

    const EntryClient &client_;
    Json summary_ = Json::object();
    Json attention_ = Json::array();
    Json waiting_ = Json::array();
};

} // namespace

ExitCode runReport(const Session &session)
{
    using namespace std::chrono;
    const auto now = duration_cast<milliseconds>(system_clock::now().time_since_epoch());
    return session.finish(Report(session.client()).gather(now - session.options().since));
}

} // namespace yuccawheel::programs::yuccactl
