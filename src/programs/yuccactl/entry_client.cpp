#include "programs/yuccactl/entry_client.h"

#include <fmt/core.h>

#include <utility>

namespace yuccawheel::programs::yuccactl
{

namespace
{

constexpr int StatusBadRequest = 400;
constexpr int StatusUnauthorized = 401;
constexpr int StatusForbidden = 403;
constexpr int StatusConflict = 409;
constexpr int StatusTooLarge = 413;
constexpr int StatusServerError = 500;

std::string stringField(const Json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

ExitCode exitCodeOf(int status)
{
    switch (status) {
    case StatusBadRequest:
    case StatusTooLarge:
        return ExitCode::Usage;
    case StatusUnauthorized:
    case StatusForbidden:
        return ExitCode::Refused;
    case StatusConflict:
        return ExitCode::Conflict;
    default:
        return ExitCode::Failed;
    }
}

Failure toFailure(const http::ClientResponse &response, Json body)
{
    const std::string message = stringField(body, "message");
    std::string text = message.empty() ? fmt::format("the entry answered {}", response.status) : message;
    const ExitCode code = exitCodeOf(response.status);
    if (code == ExitCode::Refused) {
        text += "; check --token-file";
    }
    return {code, std::move(text), std::move(body)};
}

// An entry that answers a server error may have forwarded the request, unless its verdict is `not-run`.
base::Verdict serverErrorVerdict(const Json &body)
{
    return stringField(body, "verdict") == base::toString(base::Verdict::NotRun) ? base::Verdict::NotRun
                                                                                 : base::Verdict::MayHaveRun;
}

Failure noAnswerFailure(base::Verdict verdict, const std::string &entryErrors)
{
    if (verdict == base::Verdict::NotRun) {
        return {ExitCode::NotRun, "no entry accepted the request, it did not run:" + entryErrors, {}};
    }
    return {ExitCode::MayHaveRun,
            "no answer, the request may have run; it is safe to repeat the same command:" + entryErrors,
            {}};
}

} // namespace

EntryClient::EntryClient(std::vector<settings::Endpoint> entries, std::string token, std::chrono::milliseconds timeout)
    : entries_(std::move(entries))
    , token_(std::move(token))
    , timeout_(timeout)
{
}

tl::expected<Json, Failure> EntryClient::get(const std::string &target) const
{
    return send({"GET", target, {}, ""});
}

tl::expected<Json, Failure>
EntryClient::post(const std::string &target, std::vector<http::Header> headers, const std::string &body) const
{
    return send({"POST", target, std::move(headers), body});
}

tl::expected<Json, Failure> EntryClient::send(const http::ClientRequest &request) const
{
    http::ClientRequest authorized = request;
    if (!token_.empty()) {
        authorized.headers.push_back({"Authorization", "Bearer " + token_});
    }
    base::Verdict verdict = base::Verdict::NotRun;
    std::string entryErrors;
    for (const settings::Endpoint &entry : entries_) {
        const auto response = http::call(entry, authorized, timeout_);
        if (!response) {
            verdict = base::combine(verdict, response.error().verdict);
            entryErrors += "\n  " + response.error().text;
            continue;
        }
        Json body = Json::parse(response->body, nullptr, false);
        if (response->status >= StatusServerError) {
            verdict = base::combine(verdict, serverErrorVerdict(body));
            entryErrors +=
                fmt::format("\n  {}: {} {}", toString(entry), response->status, stringField(body, "message"));
            continue;
        }
        if (response->status >= StatusBadRequest) {
            return tl::unexpected(toFailure(*response, std::move(body)));
        }
        if (body.is_discarded()) {
            return tl::unexpected(Failure{ExitCode::Failed, toString(entry) + ": the answer is not JSON", {}});
        }
        return body;
    }
    return tl::unexpected(noAnswerFailure(verdict, entryErrors));
}

std::string escapePath(std::string_view text)
{
    constexpr std::string_view Plain = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    std::string result;
    for (const char c : text) {
        result += Plain.find(c) != std::string_view::npos ? std::string(1, c)
                                                          : fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
    return result;
}

} // namespace yuccawheel::programs::yuccactl
