#include "operator_api.h"

#include "base/log.h"
#include "daemon/json_api.h"
#include "settings/document.h"

#include <algorithm>
#include <charconv>

namespace yuccawheel::entry
{

namespace
{

using nlohmann::json;
using protocol::QueryKind;

constexpr std::chrono::milliseconds SchedulerTimeout{2'000};
constexpr std::string_view BearerScheme = "Bearer ";
constexpr std::size_t MaxSubmissionIdLength = 128;

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [next, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || next != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

bool isValidSubmissionId(std::string_view id)
{
    return !id.empty() && id.size() <= MaxSubmissionIdLength
        && std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c <= '~'; });
}

json problemsJson(const settings::Problems &problems)
{
    json list = json::array();
    for (const settings::Problem &problem : problems) {
        list.push_back(
            {{"line", problem.line}, {"key", problem.key}, {"found", problem.found}, {"allowed", problem.allowed}});
    }
    return list;
}

protocol::Submit toSubmit(settings::Document document)
{
    protocol::Submit submit;
    submit.teams = std::move(document.teams);
    submit.services = std::move(document.services);
    submit.removedTeams = std::move(document.removedTeams);
    submit.removedServices = std::move(document.removedServices);
    submit.jobs = std::move(document.batch);
    submit.jobs.insert(submit.jobs.end(), document.allAtOnce.begin(), document.allAtOnce.end());
    return submit;
}

http::Response submitResponse(const protocol::SubmitReply &reply)
{
    switch (reply.outcome) {
    case protocol::SubmitOutcome::Accepted: {
        json jobs = json::array();
        for (const protocol::NamedJob &job : reply.jobs) {
            jobs.push_back({{"name", job.name}, {"id", job.id}});
        }
        return daemon::jsonResponse(200,
                                    {{"version", reply.version}, {"jobs", std::move(jobs)}, {"resent", reply.resent}});
    }
    case protocol::SubmitOutcome::VersionConflict:
        return daemon::jsonResponse(
            409,
            {{"error", "version_conflict"},
             {"message", "another submission has already created this version; review it and submit again"},
             {"verdict", "not-run"},
             {"version", reply.version},
             {"winner", {{"version", reply.winnerVersion}, {"submission", reply.winnerSubmission}}}});
    case protocol::SubmitOutcome::SubmissionConflict:
        return daemon::errorResponse(409, "submission_conflict", reply.message);
    case protocol::SubmitOutcome::Rejected:
        return daemon::errorResponse(400, "rejected", reply.message);
    }
    return daemon::errorResponse(500, "internal", "unknown outcome");
}

} // namespace

OperatorApi::OperatorApi(daemon::Context &context, store::StoreClient &store, ListUpstreams listUpstreams)
    : context_(context)
    , store_(store)
    , listUpstreams_(std::move(listUpstreams))
    , token_(context.settings.tokenFile)
{
    for (const settings::Peer &peer : context.settings.schedulers) {
        schedulers_.push_back(std::make_unique<protocol::Peer>(
            context.io, daemon::toAsio(peer.address), context.members, protocol::Peer::Callbacks{}));
    }
    server_.emplace(context.io,
                    daemon::toAsio(*context.settings.listen.operators),
                    http::ServerOptions{},
                    [this](const http::Request &request, const http::Responder &respond) { handle(request, respond); });
    base::logInfo("listening").with("on", "operator").with("port", server_->address().port());
}

bool OperatorApi::isAuthorized(std::string_view authorization)
{
    return authorization.substr(0, BearerScheme.size()) == BearerScheme
        && token_.matches(authorization.substr(BearerScheme.size()));
}

void OperatorApi::handle(const http::Request &request, const http::Responder &respond)
{
    if (!isAuthorized(request.header("authorization"))) {
        base::logWarning("operator_refused").with("peer", request.peer).with("path", request.path);
        context_.metrics.counter("yw_operator_refused_total").add();
        respond(daemon::errorResponse(401, "unauthorized", "a valid operator token is required"));
        return;
    }
    route(request, respond);
}

void OperatorApi::route(const http::Request &request, const http::Responder &respond)
{
    const std::string_view path = request.path;
    const bool get = request.method == "GET";
    const bool post = request.method == "POST";
    const auto pathParameter = [path](std::string_view prefix, std::string_view suffix) -> std::optional<std::string> {
        if (path.size() <= prefix.size() + suffix.size() || path.substr(0, prefix.size()) != prefix
            || path.substr(path.size() - suffix.size()) != suffix) {
            return std::nullopt;
        }
        const auto middle = path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
        return middle.find('/') == std::string_view::npos ? std::optional(std::string(middle)) : std::nullopt;
    };
    if (path == "/v1/submissions" && post) {
        submit(request, respond);
    } else if (path == "/v1/configuration" && get) {
        queryStore(QueryKind::Configuration, {}, respond);
    } else if (path == "/v1/configuration/status" && get) {
        queryStore(QueryKind::ConfigurationStatus, {}, respond);
    } else if (path == "/v1/jobs" && get) {
        showJobs(QueryKind::Jobs, std::string(request.parameter("state")), respond);
    } else if (path == "/v1/store" && get) {
        queryStore(QueryKind::Store, {}, respond);
    } else if (path == "/v1/report" && get) {
        showReport(std::string(request.parameter("since")), respond);
    } else if (path == "/v1/workers" && get) {
        listWorkers(respond);
    } else if (path == "/v1/upstreams" && get) {
        listUpstreams_(respond);
    } else if (const auto cancelled = pathParameter("/v1/jobs/", "/cancel"); cancelled && post) {
        cancel(*cancelled, respond);
    } else if (const auto explained = pathParameter("/v1/jobs/", "/explain"); explained && get) {
        explain(*explained, respond);
    } else if (const auto shown = pathParameter("/v1/jobs/", ""); shown && get) {
        showJobs(QueryKind::Job, *shown, respond);
    } else if (const auto drained = pathParameter("/v1/workers/", "/drain"); drained && post) {
        drain(*drained, true, respond);
    } else if (const auto undrained = pathParameter("/v1/workers/", "/undrain"); undrained && post) {
        drain(*undrained, false, respond);
    } else if (!get && !post) {
        respond(daemon::errorResponse(405, "method_not_allowed", "the method must be GET or POST"));
    } else {
        respond(daemon::errorResponse(404, "not_found", "unknown path or method"));
    }
}

void OperatorApi::submit(const http::Request &request, const http::Responder &respond)
{
    const std::string submission(request.header("yw-submission"));
    if (!isValidSubmissionId(submission)) {
        respond(
            daemon::errorResponse(400, "bad_request", "Yw-Submission: must have 1 to 128 visible ASCII characters"));
        return;
    }
    auto document = settings::parseDocument(request.body, "document");
    if (!document) {
        json body{{"error", "bad_document"},
                  {"message", settings::toString(document.error())},
                  {"verdict", "not-run"},
                  {"problems", problemsJson(document.error())}};
        respond(daemon::jsonResponse(400, body));
        return;
    }
    protocol::Submit submit = toSubmit(std::move(*document));
    submit.submission = submission;
    const std::string_view expected = request.header("yw-expected-version");
    if (!expected.empty()) {
        submit.expectedVersion = parseNumber(expected);
    }
    if (submit.changesConfiguration() && !submit.expectedVersion) {
        respond(daemon::errorResponse(
            400, "bad_request", "Yw-Expected-Version: the current version is required to change the configuration"));
        return;
    }
    store_.request(submit, StoreTimeout, [respond, submission](const auto &answer) {
        base::logInfo("submission")
            .with("id", submission)
            .with("outcome", answer ? std::to_string(static_cast<int>(answer->outcome)) : answer.error().message);
        respond(answer ? submitResponse(*answer) : daemon::errorResponse(answer.error()));
    });
}

void OperatorApi::queryStore(QueryKind kind, std::string argument, const http::Responder &respond)
{
    store_.request(protocol::Query{kind, std::move(argument)}, StoreTimeout, [respond](const auto &answer) {
        respond(answer ? http::Response{200, answer->json, "application/json", {}}
                       : daemon::errorResponse(answer.error()));
    });
}

// Resolves a job id or name to the job's id.
void OperatorApi::resolveJob(const std::string &job,
                             const http::Responder &respond,
                             std::function<void(placement::JobId)> then)
{
    store_.request(
        protocol::Query{QueryKind::Job, job}, StoreTimeout, [respond, then = std::move(then)](const auto &answer) {
            if (!answer) {
                respond(daemon::errorResponse(answer.error()));
                return;
            }
            then(json::parse(answer->json).at("id").template get<placement::JobId>());
        });
}

void OperatorApi::cancel(const std::string &job, const http::Responder &respond)
{
    resolveJob(job, respond, [this, respond](placement::JobId id) {
        store_.request(protocol::CancelJob{id}, StoreTimeout, [respond, id](const auto &answer) {
            if (!answer) {
                respond(daemon::errorResponse(answer.error()));
                return;
            }
            respond(daemon::jsonResponse(
                200, {{"id", id}, {"verdict", base::toString(answer->verdict)}, {"done", answer->done}}));
        });
    });
}

void OperatorApi::querySchedulers(const protocol::Query &query, std::function<void(SchedulerAnswers &)> done)
{
    const auto collected = std::make_shared<SchedulerAnswers>();
    collected->onComplete = std::move(done);
    collected->pending = schedulers_.size();
    for (const auto &scheduler : schedulers_) {
        scheduler->request(query, SchedulerTimeout, [collected](const auto &answer) {
            if (answer) {
                collected->answers.push_back(answer->json);
            } else {
                collected->errors.push_back(answer.error());
            }
            if (--collected->pending == 0) {
                collected->onComplete(*collected);
            }
        });
    }
}

void OperatorApi::explain(const std::string &job, const http::Responder &respond)
{
    resolveJob(job, respond, [this, respond](placement::JobId id) {
        querySchedulers({QueryKind::Explain, std::to_string(id)}, [respond, id](const SchedulerAnswers &collected) {
            json zones = json::array();
            for (const std::string &answer : collected.answers) {
                zones.push_back(json::parse(answer));
            }
            respond(daemon::jsonResponse(200, {{"job", id}, {"zones", std::move(zones)}}));
        });
    });
}

void OperatorApi::listWorkers(const http::Responder &respond)
{
    querySchedulers({QueryKind::Workers, {}}, [respond](const SchedulerAnswers &collected) {
        json workers = json::array();
        for (const std::string &answer : collected.answers) {
            json part = json::parse(answer);
            for (json &worker : part.at("workers")) {
                workers.push_back(std::move(worker));
            }
        }
        respond(daemon::jsonResponse(200, {{"workers", std::move(workers)}}));
    });
}

void OperatorApi::drain(const std::string &worker, bool drain, const http::Responder &respond)
{
    querySchedulers({drain ? QueryKind::Drain : QueryKind::Undrain, worker},
                    [respond](const SchedulerAnswers &collected) {
                        if (!collected.answers.empty()) {
                            respond(daemon::jsonResponse(200, json::object()));
                            return;
                        }
                        respond(daemon::errorResponse(404, "not_found", "no reachable zone has this worker"));
                    });
}

} // namespace yuccawheel::entry
