#include "platform/eligibility_client.h"

#include "base/log.h"
#include "platform/json_fields.h"

namespace yuccawheel::platform
{

namespace
{

constexpr std::size_t MaxConnections = 2; ///< The next call is sent while one is served.

workflow::EligibilityRows decodeRows(const http::ClientResponse &response)
{
    const Json body = parseObject(response.body);
    std::vector<std::pair<std::string, std::string>> rows;
    for (const Json &row : arrayField(body, "good")) {
        if (!row.is_array() || row.size() < 2 || !row[0].is_string() || !row[1].is_string()) {
            throw FormatError("a row of field good is not a pair of worker and ticket");
        }
        rows.emplace_back(row[0].get<std::string>(), row[1].get<std::string>());
    }
    return rows;
}

} // namespace

EligibilityClient::EligibilityClient(boost::asio::io_context &io, const settings::Endpoint &service)
    : pool_(io, service, {MaxConnections, 64, 1U << 20U})
{
}

void EligibilityClient::query(const std::string &step,
                              const std::vector<std::string> &workers,
                              std::chrono::milliseconds timeout,
                              std::function<void(workflow::EligibilityRows)> done)
{
    const Json body{{"step", step}, {"workers", workers}};
    pool_.call({"POST", "/advise", {{"Content-Type", "application/json"}}, body.dump()},
               timeout,
               [step, done = std::move(done)](const tl::expected<http::ClientResponse, http::CallError> &answer) {
                   try {
                       if (answer && answer->status == 200) {
                           done(decodeRows(*answer));
                           return;
                       }
                       base::logInfo("eligibility_refused")
                           .with("step", step)
                           .with("reason", answer ? std::to_string(answer->status) : answer.error().text);
                   } catch (const FormatError &error) {
                       base::logWarning("eligibility_unreadable").with("step", step).with("reason", error.what());
                   }
                   done(std::nullopt);
               });
}

} // namespace yuccawheel::platform
