#pragma once

#include "daemon/daemon.h"
#include "http/server.h"
#include "protocol/messages.h"
#include "protocol/peer.h"
#include "settings/token_file.h"
#include "store/store_client.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace yuccawheel::entry
{

/// The operators' HTTP interface (docs/protocols.md): checks the token and forwards requests to the store's leader or
/// to the zones' schedulers.
class OperatorApi
{
public:
    /// Responds with the upstreams that this entry knows.
    using ListUpstreams = std::function<void(const http::Responder &)>;

    OperatorApi(daemon::Context &context, store::StoreClient &store, ListUpstreams listUpstreams);

private:
    static constexpr std::chrono::milliseconds StoreTimeout{8'000}; ///< Maximum wait for the store leader's answer.

    /// Collected answers of all schedulers to one query.
    struct SchedulerAnswers {
        std::vector<std::string> answers;
        std::vector<protocol::RequestError> errors;
        std::size_t pending = 0; ///< Schedulers whose answer is outstanding.
        std::function<void(SchedulerAnswers &)> onComplete;
    };

    bool isAuthorized(std::string_view authorization);
    void handle(const http::Request &request, const http::Responder &respond);
    void route(const http::Request &request, const http::Responder &respond);
    void submit(const http::Request &request, const http::Responder &respond);
    void cancel(const std::string &job, const http::Responder &respond);
    void explain(const std::string &job, const http::Responder &respond);
    void drain(const std::string &worker, bool drain, const http::Responder &respond);
    void listWorkers(const http::Responder &respond);
    /// Responds with one job or a list of jobs, each with its numbers of running and waiting tasks.
    void showJobs(protocol::QueryKind kind, std::string argument, const http::Responder &respond);
    void showReport(const std::string &since, const http::Responder &respond);
    void queryStore(protocol::QueryKind kind, std::string argument, const http::Responder &respond);
    void resolveJob(const std::string &job, const http::Responder &respond, std::function<void(placement::JobId)> then);
    void querySchedulers(const protocol::Query &query, std::function<void(SchedulerAnswers &)> done);

    daemon::Context &context_;
    store::StoreClient &store_;
    ListUpstreams listUpstreams_;
    settings::TokenFile token_;
    std::vector<std::unique_ptr<protocol::Peer>> schedulers_;
    std::optional<http::Server> server_;
};

} // namespace yuccawheel::entry
