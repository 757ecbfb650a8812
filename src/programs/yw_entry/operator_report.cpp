// Answers to operators that join what the agreed log knows with what only the zones' schedulers know.

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
constexpr double NinetyNinth = 0.99;

/// Running tasks by zone and job, of the zones that answered.
using RunningTasks = std::map<std::string, std::map<std::uint64_t, std::int64_t>>;

RunningTasks runningTasks(const std::vector<std::string> &answers)
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

// A count is null while a zone that holds a share gives no answer: a smaller number would be wrong.
void addCounts(json &job, const RunningTasks &running)
{
    std::int64_t ended = 0;
    for (const char *const key : {"succeeded", "failed", "not_run", "may_have_run"}) {
        ended += job.at(key).get<std::int64_t>();
    }
    const std::int64_t open = std::max<std::int64_t>(job.at("tasks").get<std::int64_t>() - ended, 0);
    std::int64_t live = 0;
    for (const json &share : job.at("zones")) {
        const auto zone = running.find(share.at("zone").get<std::string>());
        if (open > 0 && zone == running.end()) {
            job["running"] = nullptr;
            job["waiting"] = nullptr;
            return;
        }
        if (open > 0 && zone->second.count(job.at("id").get<std::uint64_t>()) > 0) {
            live += zone->second.at(job.at("id").get<std::uint64_t>());
        }
    }
    job["running"] = std::min(live, open);
    job["waiting"] = open - std::min(live, open);
}

/// What the schedulers started, summed.
struct Starts {
    std::int64_t starts = 0;
    std::int64_t retries = 0;
    std::map<std::int64_t, std::int64_t> waits; ///< Count by upper bound in ms.
    std::map<std::uint64_t, std::int64_t> retried; ///< Count by job.
};

Starts sumStarts(const std::vector<std::string> &answers)
{
    Starts sum;
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

/// Upper bound of the waiting time of a share of the starts; null without any.
json quantile(const Starts &sum, double share)
{
    double seen = 0;
    for (const auto &[bound, count] : sum.waits) {
        seen += static_cast<double>(count);
        if (seen >= share * static_cast<double>(sum.starts)) {
            return bound;
        }
    }
    return nullptr;
}

json mostRetried(const Starts &sum)
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

void OperatorApi::jobs(QueryKind kind, std::string argument, const http::Responder &respond)
{
    store_.request(
        protocol::Query{kind, std::move(argument)}, StoreTimeout, [this, kind, respond](const auto &fromStore) {
            if (!fromStore) {
                respond(daemon::errorResponse(fromStore.error()));
                return;
            }
            askSchedulers({QueryKind::RunningTasks, {}},
                          [kind, respond, body = json::parse(fromStore->json)](const Gathering &gathering) mutable {
                              const RunningTasks running = runningTasks(gathering.answers);
                              if (kind == QueryKind::Job) {
                                  addCounts(body, running);
                              } else {
                                  for (json &job : body.at("jobs")) {
                                      addCounts(job, running);
                                  }
                              }
                              respond(daemon::jsonResponse(200, body));
                          });
        });
}

void OperatorApi::report(const std::string &since, const http::Responder &respond)
{
    store_.request(
        protocol::Query{QueryKind::Report, since}, StoreTimeout, [this, since, respond](const auto &fromStore) {
            if (!fromStore) {
                respond(daemon::errorResponse(fromStore.error()));
                return;
            }
            auto body = json::parse(fromStore->json);
            askSchedulers({QueryKind::Starts, since}, [this, respond, body](const Gathering &gathering) mutable {
                const Starts sum = sumStarts(gathering.answers);
                body["starts"] = sum.starts;
                body["retries"] = sum.retries;
                body["wait_p50_ms"] = quantile(sum, Median);
                body["wait_p99_ms"] = quantile(sum, NinetyNinth);
                body["retried"] = mostRetried(sum);
                surveyCosts(context_, [respond, body](const json &costs) mutable {
                    body["daemons"] = costs;
                    respond(daemon::jsonResponse(200, body));
                });
            });
        });
}

} // namespace yuccawheel::entry
