#pragma once

#include "http/client.h"
#include "programs/yuccactl/exit_code.h"

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace yuccawheel::programs::yuccactl
{

using Json = nlohmann::ordered_json;

/// Exit code and message of a command that did not succeed.
struct Failure {
    ExitCode code = ExitCode::Failed;
    std::string message;
    Json details; ///< Body of the answer or problems of the document, if any.
};

/// HTTP client of the operator API. Tries the entries in order until one answers without a server error.
class EntryClient
{
public:
    EntryClient(std::vector<settings::Endpoint> entries, std::string token, std::chrono::milliseconds timeout);

    tl::expected<Json, Failure> get(const std::string &target) const;
    /// Sends a request, which must be idempotent: after a lost answer it is sent to the next entry.
    tl::expected<Json, Failure>
    post(const std::string &target, std::vector<http::Header> headers, const std::string &body) const;

private:
    tl::expected<Json, Failure> send(const http::ClientRequest &request) const;

    std::vector<settings::Endpoint> entries_;
    std::string token_;
    std::chrono::milliseconds timeout_;
};

/// Percent-encodes a name for the path of a request.
std::string escapePath(std::string_view text);

} // namespace yuccawheel::programs::yuccactl
