// Answers to operators' queries, as JSON.

#include "placement/resources_json.h"
#include "settings/document_json.h"
#include "store/store_core.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace yuccawheel::store
{

namespace
{

using nlohmann::json;
using protocol::ErrorCode;
using protocol::QueryKind;

constexpr std::size_t MaxJobsListed = 5'000;

std::string_view kindName(placement::JobKind kind)
{
    switch (kind) {
    case placement::JobKind::Service:
        return "service";
    case placement::JobKind::Batch:
        return "batch";
    case placement::JobKind::Gang:
        return "all_at_once";
    }
    return "batch";
}

std::string_view stateName(const JobRecord &record)
{
    if (record.isDone()) {
        if (record.cancelled) {
            return "cancelled";
        }
        return record.succeeded.size() == record.spec.tasks ? "succeeded" : "failed";
    }
    if (record.cancelled) {
        return "cancelling";
    }
    return record.shares.empty() ? "waiting_for_zone" : "assigned";
}

json toJson(const JobRecord &record)
{
    json zones = json::array();
    for (const Share &share : record.shares) {
        zones.push_back({{"zone", share.zone}, {"first", share.firstIndex}, {"count", share.count}});
    }
    return {{"id", record.spec.id},
            {"name", record.spec.name},
            {"team", record.spec.team},
            {"kind", kindName(record.spec.kind)},
            {"state", stateName(record)},
            {"verdict", base::toString(record.verdict())},
            {"tasks", record.spec.tasks},
            {"resources", record.spec.perTask},
            {"priority", record.spec.priority},
            {"urgent", record.spec.urgent},
            {"repeatable", record.spec.repeatable},
            {"succeeded", record.succeeded.size()},
            {"failed", record.failed.size()},
            {"not_run", record.notRun.size()},
            {"may_have_run", record.mayHaveRun.size()},
            {"accepted_at_ms", record.acceptedAt.count()},
            {"done_at_ms", record.doneAt.count()},
            {"zones", std::move(zones)}};
}

// `text` is a job's id or name. Names are not unique: the newest job of that name is returned.
const JobRecord *findJobByIdOrName(const ClusterState &state, const std::string &text)
{
    placement::JobId id = 0;
    const char *const end = text.data() + text.size();
    const auto [next, error] = std::from_chars(text.data(), end, id);
    if (error == std::errc() && next == end) {
        return state.findJob(id);
    }
    for (auto job = state.jobs().rbegin(); job != state.jobs().rend(); ++job) {
        if (job->second.spec.name == text) {
            return &job->second;
        }
    }
    return nullptr;
}

json jobsJson(const ClusterState &state, const std::string &stateFilter)
{
    json jobs = json::array();
    for (auto job = state.jobs().rbegin(); job != state.jobs().rend() && jobs.size() < MaxJobsListed; ++job) {
        if (stateFilter.empty() || stateName(job->second) == stateFilter) {
            jobs.push_back(toJson(job->second));
        }
    }
    return {{"jobs", std::move(jobs)}};
}

// Teams and services have the format of operators' documents, so that the two can be compared.
json configurationJson(const ClusterState &state)
{
    json teams = json::array();
    for (const auto &[name, quota] : state.teams()) {
        teams.emplace_back(settings::toJson(quota));
    }
    json services = json::array();
    for (const auto &[name, job] : state.services()) {
        services.emplace_back(settings::toJson(state.findJob(job)->spec));
    }
    return {{"version", state.configurationVersion()}, {"teams", std::move(teams)}, {"services", std::move(services)}};
}

// Outcomes of jobs that finished since `since`, and all unfinished jobs, for an operator's morning report.
json reportJson(const ClusterState &state, WallTime since)
{
    json failed = json::array();
    json unfinished = json::array();
    json mayHaveRun = json::array();
    std::size_t succeeded = 0;
    for (const auto &[id, record] : state.jobs()) {
        const bool recent = record.doneAt >= since;
        if (!record.isDone() && record.spec.kind != placement::JobKind::Service) {
            unfinished.push_back(toJson(record));
        } else if (record.isDone() && recent && !record.failed.empty()) {
            failed.push_back(toJson(record));
        } else if (record.isDone() && recent && record.succeeded.size() == record.spec.tasks) {
            ++succeeded;
        }
        if (recent && !record.mayHaveRun.empty()) {
            mayHaveRun.push_back(toJson(record));
        }
    }
    return {{"succeeded", succeeded},
            {"failed", std::move(failed)},
            {"may_have_run", std::move(mayHaveRun)},
            {"unfinished", std::move(unfinished)}};
}

WallTime parseTime(const std::string &text)
{
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return WallTime(value);
}

} // namespace

tl::expected<std::string, protocol::RequestError> StoreCore::answerQuery(const protocol::Query &query,
                                                                         base::TimePoint now) const
{
    switch (query.kind) {
    case QueryKind::Configuration:
        return configurationJson(state_).dump();
    case QueryKind::ConfigurationStatus:
        return configurationStatus();
    case QueryKind::Jobs:
        return jobsJson(state_, query.argument).dump();
    case QueryKind::Job:
        if (const JobRecord *const record = findJobByIdOrName(state_, query.argument)) {
            return toJson(*record).dump();
        }
        return tl::make_unexpected(
            protocol::RequestError{ErrorCode::NotFound, base::Verdict::NotRun, "no such job", {}});
    case QueryKind::Store:
        return storeStatus(now);
    case QueryKind::Report:
        return reportJson(state_, parseTime(query.argument)).dump();
    default:
        return tl::make_unexpected(protocol::RequestError{
            ErrorCode::BadRequest, base::Verdict::NotRun, "not a query for a store replica", {}});
    }
}

std::string StoreCore::configurationStatus() const
{
    json daemons = json::array();
    for (const auto &[client, watcher] : watchers_) {
        daemons.push_back({{"node", watcher.identity.node},
                           {"role", protocol::toString(watcher.identity.role)},
                           {"zone", watcher.identity.zone},
                           {"version", watcher.version},
                           {"behind", state_.configurationVersion() - watcher.version}});
    }
    return json{{"version", state_.configurationVersion()}, {"daemons", std::move(daemons)}}.dump();
}

std::string StoreCore::storeStatus(base::TimePoint now) const
{
    json replicas = json::array();
    for (const coordination::Member &member : replica_.log().replicaSet().members) {
        replicas.push_back({{"node", nodeName(member.id.node)},
                            {"generation", member.id.generation},
                            {"voter", member.voter},
                            {"leader", member.id == replica_.log().self()}});
    }
    json zones = json::array();
    for (const auto &[zone, status] : zones_) {
        const protocol::ZoneOwner *const owner = state_.owner(zone);
        const auto silent = std::chrono::duration_cast<std::chrono::milliseconds>(now - status.lastRenewal);
        zones.push_back({{"zone", zone},
                         {"owner", owner == nullptr ? std::string() : owner->node},
                         {"epoch", owner == nullptr ? 0 : owner->epoch},
                         {"silent_ms", silent.count()},
                         {"workers", status.summary.workers},
                         {"capacity", status.summary.capacity},
                         {"reserved", status.summary.reserved}});
    }
    return json{{"leader", nodeName(replica_.log().self().node)},
                {"term", replica_.log().term()},
                {"commit", replica_.log().commitIndex()},
                {"replicas", std::move(replicas)},
                {"zones", std::move(zones)}}
        .dump();
}

} // namespace yuccawheel::store
