#include "replay_trace.h"

#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include <stdexcept>

namespace yuccawheel::bench
{

namespace
{

using namespace placement;
using Json = nlohmann::json;

Resources resourcesOf(const Json &json)
{
    return {json.at(0).get<std::int64_t>(), json.at(1).get<std::int64_t>(), json.at(2).get<std::int64_t>()};
}

milliseconds timeOf(const Json &json, const char *key, std::int64_t otherwise = 0)
{
    return milliseconds(json.value(key, otherwise));
}

TaskProfile profileOf(const Json &json, const JobSpec &spec)
{
    TaskProfile profile;
    profile.usage = json.contains("usage") ? resourcesOf(json["usage"]) : spec.perTask;
    profile.runTime = timeOf(json, "run_ms", spec.declaredRunTime.count());
    profile.failures = json.value("failures", 0);
    return profile;
}

JobArrives jobOf(const Json &json)
{
    JobArrives job;
    JobSpec &spec = job.spec;
    spec.id = json.at("id").get<JobId>();
    spec.name = json.value("name", fmt::format("job-{}-x", spec.id));
    spec.team = json.value("team", "team");
    const std::string kind = json.value("kind", "batch");
    spec.kind = kind == "service" ? JobKind::Service : kind == "gang" ? JobKind::Gang : JobKind::Batch;
    spec.tasks = json.value("tasks", 1U);
    spec.perTask = resourcesOf(json.at("size"));
    spec.declaredRunTime = timeOf(json, "declared_ms", spec.kind == JobKind::Service ? 0 : 60'000);
    spec.priority = json.value("priority", 0);
    spec.urgent = json.value("urgent", false);
    spec.repeatable = json.value("repeatable", true);
    spec.maxDisruption = json.value("max_disruption", 1U);
    if (json.contains("deadline_ms")) {
        spec.deadline = timeOf(json, "deadline_ms");
    }
    for (const Json &profile : json.value("truths", Json::array({Json::object()}))) {
        job.profiles.push_back(profileOf(profile, spec));
    }
    return job;
}

WorkerFault faultOf(const std::string &name)
{
    const std::map<std::string, WorkerFault> names{{"silent", WorkerFault::Silent},
                                                   {"back", WorkerFault::Back},
                                                   {"leases_expired", WorkerFault::LeasesExpired},
                                                   {"rejoin", WorkerFault::Rejoin},
                                                   {"drain", WorkerFault::Drain},
                                                   {"undrain", WorkerFault::Undrain},
                                                   {"fails_all", WorkerFault::FailsAll},
                                                   {"healed", WorkerFault::Healed}};
    const auto found = names.find(name);
    if (found == names.end()) {
        throw std::runtime_error(fmt::format("unknown fault \"{}\"", name));
    }
    return found->second;
}

Action actionOf(const Json &json)
{
    if (json.contains("workers")) {
        const Json &workers = json["workers"];
        return WorkersJoin{workers.value("first", 0U),
                           workers.at("count").get<std::uint32_t>(),
                           workers.value("rack_size", 8U),
                           resourcesOf(workers.at("capacity"))};
    }
    if (json.contains("job")) {
        return jobOf(json["job"]);
    }
    if (json.contains("cancel")) {
        return JobsCancelled{json["cancel"].at(0).get<JobId>(), json["cancel"].at(1).get<JobId>()};
    }
    if (json.contains("fault")) {
        return WorkersFail{json.value("worker", 0U), json.value("count", 1U), faultOf(json["fault"])};
    }
    if (json.contains("quotas")) {
        QuotasSet quotas;
        for (const auto &[team, amount] : json["quotas"].items()) {
            quotas.quotas.push_back({team, resourcesOf(amount)});
        }
        return quotas;
    }
    if (json.contains("owner_change")) {
        return OwnerChanges{json["owner_change"].value("starts_recorded", true)};
    }
    throw std::runtime_error("the object holds no known action");
}

Expectation expectationOf(const Json &json)
{
    Expectation expectation;
    expectation.metric = json.at("expect").get<std::string>();
    if (json.contains("job")) {
        expectation.job = json["job"].get<std::uint64_t>();
    }
    if (json.contains("worker")) {
        expectation.worker = json["worker"].get<WorkerId>();
    }
    expectation.from = timeOf(json, "from_ms");
    expectation.to = timeOf(json, "to_ms", milliseconds::max().count());
    expectation.minValue = json.value("at_least", json.value("equals", expectation.minValue));
    expectation.maxValue = json.value("at_most", json.value("equals", expectation.maxValue));
    return expectation;
}

void readLine(const Json &json, Trace &trace)
{
    if (json.contains("trace")) {
        trace.title = json["trace"].get<std::string>();
        trace.objective = json.value("objective", "packing") == "waiting" ? Objective::Waiting : Objective::Packing;
        trace.length = timeOf(json, "length_ms");
    } else if (json.contains("expect")) {
        trace.expectations.push_back(expectationOf(json));
    } else {
        trace.actions.emplace(timeOf(json, "at_ms"), actionOf(json));
    }
}

} // namespace

Trace readTrace(std::istream &input)
{
    Trace trace;
    std::string line;
    for (int number = 1; std::getline(input, line); ++number) {
        if (line.empty()) {
            continue;
        }
        try {
            readLine(Json::parse(line), trace);
        } catch (const std::exception &error) {
            throw std::runtime_error(fmt::format("line {}: {}", number, error.what()));
        }
    }
    return trace;
}

} // namespace yuccawheel::bench
