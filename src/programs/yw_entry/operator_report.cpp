// Operators' queries that combine state from the replicated log with state that only the zones' schedulers have.

#include "cost_survey.h"
#include "daemon/json_api.h"
#include "operator_api.h"

#include <algorithm>
#include <map>

namespace yuccawheel::entry
{

namespace
{

using nlohmann::json;
using protocol::QueryKind;

constexpr std::size_t MaxRetriedJobs = 20;
constexpr double Median = 0.5;
constexpr double Percentile99 = 0.99;

/// Number of running tasks by zone and job, for the zones that answered.
using RunningTasks = std::map<std::string, std::map<std::uint64_t, std::int64_t>>;

RunningTasks parseRunningTasks(const std::vector<std::string> &answers)
{
    RunningTasks running;
    for (const std::string &answer : answers) {
        const json part = json::parse(answer);
        auto &zone = running[part.at("zone").get<std::string>()];
        for (const json &pair : part.at("running")) {
            zone[pair.at(0).get<std::uint64_t>()] = pair.at(1).get<std::int64_t>();
        }
    }
    return running;
}

// The counts are null if a zone that holds an unfinished share did not answer: a partial count would be too small.
void addTaskCounts(json &job, const RunningTasks &running)
{
    std::int64_t ended = 0;
    for (const char *const key : {"succeeded", "failed", "not_run", "may_have_run"}) {
        ended += job.at(key).get<std::int64_t>();
    }
    const std::int64_t unfinished = std::max<std::int64_t>(job.at("tasks").get<std::int64_t>() - ended, 0);
    std::int64_t runningCount = 0;
    for (const json &share : job.at("zones")) {
        const auto zone = running.find(share.at("zone").get<std::string>());
        if (unfinished > 0 && zone == running.end()) {
            job["running"] = nullptr;
            job["waiting"] = nullptr;
            return;
        }
        if (unfinished > 0 && zone->second.count(job.at("id").get<std::uint64_t>()) > 0) {
            runningCount += zone->second.at(job.at("id").get<std::uint64_t>());
        }
    }
    job["running"] = std::min(runningCount, unfinished);
    job["waiting"] = unfinished - std::min(runningCount, unfinished);
}

/// Sum of all schedulers' start statistics.
struct StartStatistics {
    std::int64_t starts = 0;
    std::int64_t retries = 0;
    std::map<std::int64_t, std::int64_t> waits; ///< Number of starts by upper bound of their waiting time (ms).
    std::map<std::uint64_t, std::int64_t> retried; ///< Number of retries by job id.
};

StartStatistics sumStarts(const std::vector<std::string> &answers)
{
    StartStatistics sum;
    for (const std::string &answer : answers) {
        const json part = json::parse(answer);
        sum.starts += part.at("starts").get<std::int64_t>();
        sum.retries += part.at("retries").get<std::int64_t>();
        for (const json &pair : part.at("waits")) {
            sum.waits[pair.at(0).get<std::int64_t>()] += pair.at(1).get<std::int64_t>();
        }
        for (const json &pair : part.at("retried")) {
            sum.retried[pair.at(0).get<std::uint64_t>()] += pair.at(1).get<std::int64_t>();
        }
    }
    return sum;
}

/// Returns the upper bound of the waiting time (ms) for this fraction of the starts; null if there were none.
json quantile(const StartStatistics &sum, double fraction)
{
    double seen = 0;
    for (const auto &[bound, count] : sum.waits) {
        seen += static_cast<double>(count);
        if (seen >= fraction * static_cast<double>(sum.starts)) {
            return bound;
        }
    }
    return nullptr;
}

json mostRetried(const StartStatistics &sum)
{
    std::vector<std::pair<std::int64_t, std::uint64_t>> jobs;
    for (const auto &[job, count] : sum.retried) {
        jobs.emplace_back(count, job);
    }
    std::sort(jobs.rbegin(), jobs.rend());
    json list = json::array();
    for (const auto &[count, job] : jobs) {
        if (list.size() < MaxRetriedJobs) {
            list.push_back({{"id", job}, {"retries", count}});
        }
    }
    return list;
}

} // namespace

void OperatorApi::showJobs(QueryKind kind, std::string argument, const http::Responder &respond)
{
    store_.request(
        protocol::Query{kind, std::move(argument)}, StoreTimeout, [this, kind, respond](const auto &fromStore) {
            if (!fromStore) {
                respond(daemon::errorResponse(fromStore.error()));
                return;
            }
            querySchedulers(
                {QueryKind::RunningTasks, {}},
                [kind, respond, body = json::parse(fromStore->json)](const SchedulerAnswers &collected) mutable {
                    const RunningTasks running = parseRunningTasks(collected.answers);
                    if (kind == QueryKind::Job) {
                        addTaskCounts(body, running);
                    } else {
                        for (json &job : body.at("jobs")) {
                            addTaskCounts(job, running);
                        }
                    }
                    respond(daemon::jsonResponse(200, body));
                });
        });
}

void OperatorApi::showReport(const std::string &since, const http::Responder &respond)
{
    store_.request(
        protocol::Query{QueryKind::Report, since}, StoreTimeout, [this, since, respond](const auto &fromStore) {
            if (!fromStore) {
                respond(daemon::errorResponse(fromStore.error()));
                return;
            }
            auto body = json::parse(fromStore->json);
            querySchedulers({QueryKind::Starts, since},
                            [this, respond, body](const SchedulerAnswers &collected) mutable {
                                const StartStatistics sum = sumStarts(collected.answers);
                                body["starts"] = sum.starts;
                                body["retries"] = sum.retries;
                                body["wait_p50_ms"] = quantile(sum, Median);
                                body["wait_p99_ms"] = quantile(sum, Percentile99);
                                body["retried"] = mostRetried(sum);
                                surveyCosts(context_, [respond, body](const json &costs) mutable {
                                    body["daemons"] = costs;
                                    respond(daemon::jsonResponse(200, body));
                                });
                            });
        });
}

} // namespace yuccawheel::entry
