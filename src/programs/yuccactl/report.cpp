#include "programs/yuccactl/commands.h"

#include <fmt/core.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace yuccawheel::programs::yuccactl
{

namespace
{

constexpr std::size_t MaxExplainedJobs = 20;
constexpr std::int64_t MaxOwnerSilenceMs = 10'000;

Json listField(const Json &answer, const char *key)
{
    return answer.is_object() && answer.contains(key) && answer.at(key).is_array() ? answer.at(key) : Json::array();
}

std::int64_t numberField(const Json &object, const char *key)
{
    const bool isNumber = object.is_object() && object.contains(key) && object.at(key).is_number();
    return isNumber ? object.at(key).get<std::int64_t>() : 0;
}

std::string stringField(const Json &object, const char *key)
{
    const bool isText = object.is_object() && object.contains(key) && object.at(key).is_string();
    return isText ? object.at(key).get<std::string>() : "";
}

/// Builds the report from several queries. `attention` lists what needs an operator, including queries that failed.
class Report
{
public:
    explicit Report(const EntryClient &client) : client_(client)
    {
    }

    tl::expected<Json, Failure> build(std::chrono::milliseconds since)
    {
        const auto jobs = client_.get(fmt::format("/v1/report?since={}", since.count()));
        if (!jobs) {
            return tl::unexpected(jobs.error());
        }
        addJobs(*jobs);
        addWorkers(fetch("/v1/workers"));
        addDaemons(fetch("/v1/configuration/status"));
        addZones(fetch("/v1/store"));
        Json report{{"since_at_ms", since.count()}, {"succeeded", numberField(*jobs, "succeeded")}};
        report.update(summary_);
        report["attention"] = attention_;
        report["waiting"] = waiting_;
        // All other fields of the entry's report are passed through unchanged.
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
            addAttention(target, "cannot be fetched: " + answer.error().message, "yuccactl config status");
        }
        return answer ? *answer : Json::object();
    }

    void addAttention(const std::string &item, const std::string &why, const std::string &next)
    {
        attention_.push_back({{"item", item}, {"why", why}, {"next", next}});
    }

    void addJobs(const Json &jobs)
    {
        for (const Json &job : listField(jobs, "failed")) {
            addAttention(jobTitle(job),
                         fmt::format("{} of {} tasks failed", numberField(job, "failed"), numberField(job, "tasks")),
                         fmt::format("yuccactl get {}", numberField(job, "id")));
        }
        for (const Json &job : listField(jobs, "may_have_run")) {
            addAttention(
                jobTitle(job),
                fmt::format("{} tasks may have run; they are not started again", numberField(job, "may_have_run")),
                "check their effects before submitting them again");
        }
        const Json unfinished = listField(jobs, "unfinished");
        summary_["unfinished"] = unfinished.size();
        for (const Json &job : unfinished) {
            if (waiting_.size() < MaxExplainedJobs) {
                waiting_.push_back({{"id", numberField(job, "id")},
                                    {"name", stringField(job, "name")},
                                    {"team", stringField(job, "team")},
                                    {"state", stringField(job, "state")},
                                    {"why", fetchWaitReason(numberField(job, "id"))}});
            }
        }
    }

    static std::string jobTitle(const Json &job)
    {
        return fmt::format("job {} {}", numberField(job, "id"), stringField(job, "name"));
    }

    std::string fetchWaitReason(std::int64_t job)
    {
        const auto answer = client_.get(fmt::format("/v1/jobs/{}/explain", job));
        std::string text;
        for (const Json &zone : answer ? listField(*answer, "zones") : Json::array()) {
            text +=
                fmt::format("{}{}: {}", text.empty() ? "" : "; ", stringField(zone, "zone"), stringField(zone, "text"));
        }
        return text;
    }

    // Returns the reserved fraction of the worker's most heavily reserved resource.
    static double maxReservedFraction(const Json &reserved, const Json &capacity)
    {
        double maxFraction = 0;
        for (const char *const resource : {"milli_cpu", "memory_mib", "accelerators"}) {
            const auto total = static_cast<double>(numberField(capacity, resource));
            maxFraction = total > 0
                ? std::max(maxFraction, static_cast<double>(numberField(reserved, resource)) / total)
                : maxFraction;
        }
        return maxFraction;
    }

    // Packing is the mean reserved fraction of the busy VMs; the higher it is, the more VMs can stay idle.
    void addWorkers(const Json &answer)
    {
        std::int64_t busy = 0;
        std::int64_t reserved = 0;
        std::int64_t capacity = 0;
        double reservedFractions = 0;
        const Json workers = listField(answer, "workers");
        for (const Json &worker : workers) {
            if (const std::string state = stringField(worker, "state"); state != "active") {
                const std::string reason = stringField(worker, "reason");
                addAttention("worker " + stringField(worker, "name"),
                             reason.empty() ? state : fmt::format("{}: {}", state, reason),
                             "yuccactl workers");
            }
            if (!listField(worker, "tasks").empty() && worker.contains("reserved") && worker.contains("capacity")) {
                ++busy;
                reservedFractions += maxReservedFraction(worker["reserved"], worker["capacity"]);
                reserved += numberField(worker["reserved"], "milli_cpu");
                capacity += numberField(worker["capacity"], "milli_cpu");
            }
        }
        constexpr std::int64_t Percent = 100;
        summary_["workers"] = workers.size();
        summary_["busy_workers"] = busy;
        summary_["packing_percent"] =
            busy == 0 ? 0 : std::llround(Percent * reservedFractions / static_cast<double>(busy));
        summary_["cpu_reserved_on_busy_percent"] = capacity == 0 ? 0 : reserved * Percent / capacity;
    }

    void addDaemons(const Json &status)
    {
        for (const Json &daemon : listField(status, "daemons")) {
            if (numberField(daemon, "behind") > 0) {
                addAttention("daemon " + stringField(daemon, "node"),
                             fmt::format("{} versions behind", numberField(daemon, "behind")),
                             "yuccactl config status");
            }
        }
    }

    void addZones(const Json &store)
    {
        for (const Json &zone : listField(store, "zones")) {
            const std::int64_t silent = numberField(zone, "silent_ms");
            if (stringField(zone, "owner").empty() || silent > MaxOwnerSilenceMs) {
                addAttention("zone " + stringField(zone, "zone"),
                             fmt::format("no message from its owner for {} ms", silent),
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
    return session.printOrFail(Report(session.client()).build(now - session.options().since));
}

} // namespace yuccawheel::programs::yuccactl
